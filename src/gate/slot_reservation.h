#pragma once

#include <array>

namespace heatherdrift {

/// Most levels of nested calls that are told apart. Requests that cause more, or calls in a cycle, count as this many.
constexpr int maxCallHeight = 3;

/// Limits the slots of requests that wait for calls of theirs, so that callers which wait for each other cannot take
/// all slots.
///
/// The height of a request is the number of levels of nested calls that it causes. At most `slots - h` requests of
/// height h or more run at the same time. Requests without calls can therefore always start, hence those end that only
/// wait for them, and so on for each height. On a server with fewer slots than heights, the greatest heights share the
/// last slot; with one slot nothing is reserved.
class slot_reservation {
public:
    void setSlots(int slots) { m_slots = slots; }
    /// Nothing is reserved before the first nested request: a server without any cannot be part of a deadlock.
    void enable() { m_isEnabled = true; }

    void onStarted(int height);
    void onEnded(int height);
    bool mayStart(int height) const;

    /// Heights that the number of slots allows to tell apart.
    int levelOf(int height) const;
    /// Slots that requests of this level or higher may take.
    int slotsFor(int level) const { return m_slots - level; }
    /// Running requests of this level or higher.
    int runningFrom(int level) const;

private:
    int m_slots = 1;
    bool m_isEnabled = false;
    std::array<int, maxCallHeight + 1> m_running {}; ///< By height.
};

} // namespace heatherdrift
