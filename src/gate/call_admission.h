#pragma once

#include "admission/decaying_sum.h"
#include "admission/server_status.h"
#include "base/clock.h"
#include "gate/call_capacity.h"

#include <limits>
#include <map>
#include <optional>
#include <string>

namespace heatherdrift {

/// Requests of one kind at one urgency level.
struct execution_class {
    std::string kind;
    std::size_t level = 0;

    auto operator<=>(const execution_class&) const = default;
};

/// Limits the rate at which executions start, so that few are thrown away because a nested call of theirs finds no
/// capacity.
///
/// A class of executions is unlimited until one of them is thrown away, or the called services report that they are
/// full. Its rate falls with losses and grows with executions that are not lost, so that the mean probability of a loss
/// settles at a small target. The less urgent a class is, the smaller is its target, so that it gives way first. The
/// reports are too old to set the rate alone; they scale its growth and lower it before calls are refused. Losses that
/// also occur while the called services have free capacity do not lower it.
class call_admission {
public:
    /// Executions per second at which a request is let through, 0 if this is only to learn whether there is capacity
    /// again; empty if the request is to be refused.
    std::optional<double> admit(const execution_class&, const std::optional<call_capacity>&, time_point now);
    /// rate: as returned by admit(). lossProbability: expected share of executions that lose a call, from how calls
    /// fared lately. Without a reported capacity, each loss counts as one that a lower rate would have avoided.
    void onEnded(const execution_class&, double rate, bool isLost, double lossProbability,
        const std::optional<call_capacity>&, time_point now);

    /// Share of the requests of the class that is let through.
    double share(const execution_class&, time_point now) const;

private:
    static constexpr double unlimited = std::numeric_limits<double>::infinity();

    struct class_state {
        double rate = unlimited; ///< Executions per second.
        double credit = 1; ///< Executions that may start now.
        time_point updatedAt {};
        time_point lossAt {};
        double endedSinceLoss = 0;
        time_point busyAt {}; ///< Last execution that ended while the called services had little free capacity.
        time_point pressedAt {}; ///< Last decrease because of the reported capacity.
        decaying_sum offered;
        decaying_sum admitted;
        decaying_average losses; ///< Share of the recent executions that were lost.
        decaying_average unavoidable; ///< The same at times when the called services had free capacity.

        class_state();
    };

    /// Share of a loss that a lower rate is expected to avoid.
    double avoidableShare(const class_state&, const std::optional<call_capacity>&, time_point now) const;
    void update(class_state&, const std::optional<call_capacity>&, double elapsed, double accepted, time_point now);

    std::map<execution_class, class_state> m_classes;
};

} // namespace heatherdrift
