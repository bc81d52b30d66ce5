#pragma once

#include "base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace heatherdrift {

using request_number = std::uint64_t;

/// What the queue needs to know of a request.
struct queued_request {
    request_number id = 0;
    bool isNested = false; ///< Made by a request that already holds a slot of a backend server.
    int priority = 0; ///< 0 is the highest.
    std::string kind; ///< Requests of one kind take about the same time.
    time_point objective {}; ///< An answer until then is worth most.
    time_point deadline {}; ///< An answer after that is worth nothing.

    bool operator==(const queued_request&) const = default;
};

enum class queue_decision {
    run, ///< The request has a slot.
    wait,
    refuse, ///< It could not be served in time.
};

struct slot_queue_settings {
    int slots = 1;
    duration initialServiceTime = std::chrono::milliseconds(100); ///< Until the first request of a kind has ended.

    bool operator==(const slot_queue_settings&) const = default;
};

/// Decides which request gets the next free slot of one backend server. Nested requests go first, since their callers
/// hold slots meanwhile; then those of higher priority; then those that can still meet their objective, the earliest
/// first; then the rest by deadline.
class slot_queue {
public:
    explicit slot_queue(const slot_queue_settings&);

    /// Pattern "crest of a wave": a request that cannot be served before its deadline is refused at once instead of
    /// taking the place of others until it fails.
    queue_decision submit(const queued_request&, time_point now);
    /// A running request ended; serviceTime is empty if it says nothing of the time that requests take.
    void finish(request_number, std::optional<duration> serviceTime);
    /// Removes a waiting request; false if it does not wait.
    bool cancel(request_number);
    /// Waiting requests that will not be served in time any more; they are removed.
    std::vector<request_number> takeHopeless(time_point now);
    /// Next request to run, if a slot is free.
    std::optional<request_number> takeNext(time_point now);

    void setSlots(int);
    int slots() const { return m_settings.slots; }
    std::size_t running() const { return m_running.size(); }
    std::size_t waiting() const { return m_waiting.size(); }
    /// Expected time until a request that comes now gets a slot.
    duration expectedWait() const;
    duration serviceTime(const std::string& kind) const;
    /// Share of the slots in use or waited for.
    double load() const;
    duration meanServiceTime() const { return m_meanServiceTime; }

private:
    struct running_request {
        std::string kind;
        time_point startedAt;
    };

    duration waitBehind(std::size_t ahead) const;
    bool isLate(const queued_request&, time_point now) const;
    bool isWorthWaiting(const queued_request&, time_point now) const;
    /// When a late request would be answered with so many before it, while requests that are not late pass it.
    time_point lateEnd(const queued_request&, std::size_t ahead, time_point now) const;
    bool goesBefore(const queued_request&, const queued_request&, time_point now) const;
    std::size_t countAhead(const queued_request&, time_point now) const;
    void learn(const std::string& kind, duration);

    slot_queue_settings m_settings;
    std::vector<queued_request> m_waiting;
    std::unordered_map<request_number, running_request> m_running;
    std::unordered_map<std::string, duration> m_serviceTimes;
    duration m_meanServiceTime;
    double m_passingShare = 0; ///< Of the slots that became free while a late request waited, given to another one.
};

} // namespace heatherdrift
