#pragma once

#include "admission/admission_level.h"

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace heatherdrift {

/// Fair queueing among the workspaces of one level: the next call comes from the workspace that holds the fewest slots
/// of the class and, among equals, from the one that received the least service time. Operations take O(log n) in the
/// number of workspaces. State is kept only for workspaces that have waiting calls or that received more service than
/// the others.
class workspace_fairness {
public:
    void addWaiting(admission_level, const std::string& workspace);
    void removeWaiting(admission_level, const std::string& workspace);

    /// The workspace whose call runs next, or null if no call waits at the level.
    const std::string* next(admission_level) const;
    /// The workspace with the most waiting calls, or null.
    const std::string* longestQueue(admission_level) const;

    /// A waiting call of the workspace starts; its expected service time is charged.
    void startWaiting(admission_level, const std::string& workspace, duration expected);
    /// A call starts without waiting: no other workspace competed, so only its slot is counted.
    void startAtOnce(call_length, const std::string& workspace);
    /// A call ends; `countedAs` is its current class. Corrects the charge from the expected to the used service time.
    void finish(admission_level, const std::string& workspace, call_length countedAs, duration expected, duration used);
    /// A running short call is counted as long from now on.
    void reclassifyAsLong(const std::string& workspace);

    std::size_t workspaces(admission_level) const;
    std::size_t waiting(admission_level, const std::string& workspace) const;
    int heldSlots(call_length, const std::string& workspace) const;

private:
    struct workspace_state {
        std::size_t waiting = 0;
        double tag = 0;
    };
    struct level_state {
        std::map<std::string, workspace_state> shares;
        std::set<std::tuple<int, double, std::string>> order; // Workspaces with waiting calls, by slots held and tag.
        std::set<std::pair<std::size_t, std::string>> queueLengths; // Workspaces by number of waiting calls.
        std::set<std::pair<double, std::string>> idle; // Workspaces without waiting calls, by tag.
        double virtualTime = 0;
    };

    level_state& at(admission_level level) { return m_levels[level.index()]; }
    const level_state& at(admission_level level) const { return m_levels[level.index()]; }
    void changeHeldSlots(call_length, const std::string& workspace, int change);
    void link(level_state&, int slots, const std::string& workspace, const workspace_state&);
    void unlink(level_state&, int slots, const std::string& workspace, const workspace_state&);
    void evictIdle(level_state&);

    std::array<level_state, levelCount> m_levels;
    std::array<std::map<std::string, int>, 2> m_heldSlots;
};

} // namespace heatherdrift
