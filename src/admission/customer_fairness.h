#pragma once

#include "admission/admission_level.h"

#include <array>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace heatherdrift {

/// Chooses whose turn it is among customers that compete at one level: the customer that holds the fewest slots of the
/// class and, among equals, the one that received the least service time. Operations take O(log n) in the number of
/// customers; customers that neither wait nor are ahead of the others take no memory.
class customer_fairness {
public:
    void addWaiting(admission_level, const std::string& customer);
    void removeWaiting(admission_level, const std::string& customer);

    /// The customer whose call runs next, or null if none waits at the level.
    const std::string* next(admission_level) const;
    /// The customer with the most waiting calls, or null.
    const std::string* longest(admission_level) const;

    /// A waiting call of the customer starts; its expected service time is charged.
    void startWaiting(admission_level, const std::string& customer, duration expected);
    /// A call starts that did not wait: nobody else competed, so only the slot counts.
    void startAtOnce(call_length, const std::string& customer);
    /// A call ends; the class is the one it counts for now. Corrects the charge to the time used.
    void finish(admission_level, const std::string& customer, call_length countedAs, duration expected, duration used);
    /// A running short call counts as long from now on.
    void moveToLong(const std::string& customer);

    std::size_t customers(admission_level) const;
    std::size_t waiting(admission_level, const std::string& customer) const;
    int held(call_length, const std::string& customer) const;

private:
    struct share {
        std::size_t waiting = 0;
        double tag = 0;
    };
    struct level_state {
        std::map<std::string, share> shares;
        std::set<std::tuple<int, double, std::string>> order; // Waiting customers by slots held and tag.
        std::set<std::pair<std::size_t, std::string>> lengths; // Waiting customers by number of waiting calls.
        std::set<std::pair<double, std::string>> idle; // Customers without waiting calls, by tag.
        double virtualTime = 0;
    };

    level_state& at(admission_level level) { return m_levels[level.index()]; }
    const level_state& at(admission_level level) const { return m_levels[level.index()]; }
    void changeHeld(call_length, const std::string& customer, int change);
    void link(level_state&, int held, const std::string& customer, const share&);
    void unlink(level_state&, int held, const std::string& customer, const share&);
    void forgetIdle(level_state&);

    std::array<level_state, levelCount> m_levels;
    std::array<std::map<std::string, int>, 2> m_held;
};

} // namespace heatherdrift
