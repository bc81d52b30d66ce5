#pragma once

#include "admission/server_load.h"
#include "base/clock.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace heatherdrift {

/// The load that a backend server states, compared with the service times that its gate observes. Statements lose their
/// meaning within a fraction of a second, and they may be wrong: they are ignored while they predict the service times
/// worse than no statement would. Designed for some hundred answers per second, each with a statement.
class stated_load {
public:
    void record(const server_load&, time_point now);
    /// A request of this kind was answered without failure; it was sent to the backend server at the given time.
    /// Requests of one kind have similar service times.
    void observe(const std::string& kind, time_point startedAt, time_point now);
    /// Forgets everything, for a new life of the backend server.
    void clear() { *this = {}; }

    const std::optional<server_load>& last() const { return m_last; }
    /// How long work takes now, relative to usualServiceTime(); fades to 1 as the statement becomes old. Without a
    /// plausible statement, it is derived from the mean service time of the most recent requests.
    double slowdown(duration recentServiceTime, time_point now) const;
    /// Mean service time over hundreds of requests, slow periods included; empty before the first one.
    std::optional<duration> usualServiceTime() const;
    /// Wait at the backend server for a slot, behind the requests that it states to be waiting; zero if it cannot have
    /// as many. Not more requests can wait there than the gate has sent.
    duration wait(std::size_t sentRequests) const;
    bool isPlausible() const { return m_isPlausible; }

private:
    struct statement {
        time_point at {};
        double slowdown = 1;
    };

    /// Average that gives all values the same weight until there are many, and less to older ones from then on.
    struct average {
        double value = 0;
        int count = 0;

        void add(double);
    };

    double meanStatement(time_point from, time_point to) const;
    void checkPlausibility(double observedRatio, double statedRatio);

    std::optional<server_load> m_last;
    std::deque<statement> m_statements;
    std::unordered_map<std::string, average> m_serviceTimes; ///< Seconds by kind.
    average m_serviceTime; ///< Seconds, of all kinds.
    average m_usualStatement; ///< Weighted like m_serviceTime, so that both have the same slow periods.
    average m_errorWithout; ///< Of predicting the usual service time of the kind.
    average m_errorWith; ///< Of predicting it multiplied by the statement.
    bool m_isPlausible = true;
};

} // namespace heatherdrift
