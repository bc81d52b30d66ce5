#pragma once

#include "admission/admission_request.h"
#include "admission/random_function.h"

#include <functional>
#include <string>
#include <vector>

namespace heatherdrift::simulation {

/// A call of the synthetic load. The service time is used by the simulated server only, not by the scheduler.
struct call {
    std::uint64_t id = 0;
    admission_level level;
    std::string workspace;
    time_point arrival {};
    time_point deadline {};
    duration service {};
    int attempt = 1;
};

enum class call_end { good, late, refused };

struct call_result {
    call_end end = call_end::refused;
    time_point startedAt {};
    time_point endedAt {};
};

/// Queueing discipline under test.
class scheduler {
public:
    virtual ~scheduler() = default;
    virtual admission_actions submit(const call&, time_point now) = 0;
    virtual admission_actions finish(const call&, call_end, time_point now) = 0;
    virtual admission_actions advance(time_point) { return {}; }
    virtual time_point nextEvent(time_point) const { return time_point::max(); }
    /// Whether the server receives the deadline and aborts a call there.
    virtual bool sendsDeadlines() const { return true; }
};

/// One stream of calls with the same distribution. Arrivals are a Poisson process.
struct call_stream {
    admission_level level;
    std::vector<std::string> workspaces { "a" };
    std::vector<duration> timeouts { std::chrono::seconds(5) };
    std::function<double(time_point)> slotsOffered; ///< Offered load, in slots.
    double maxSlotsOffered = 0; ///< Upper bound of slotsOffered.
    duration meanService {};
    std::function<duration(const random_function&)> service;
};

/// Log-normal distribution with this mean; sigma is the standard deviation of the logarithm.
std::function<duration(const random_function&)> logNormal(duration mean, double sigma);
std::function<duration(const random_function&)> uniform(duration min, duration max);

/// Calls of all streams from 0 to the end, by arrival; ids count from 1. Each stream has its own random sequence, so
/// that a stream is the same with and without the others.
std::vector<call> generate(const std::vector<call_stream>&, time_point end, std::uint64_t seed);

/// Retry policy of the caller: the time at which it resends a failed call, or nullopt. A call fails when it is refused
/// or when its deadline passes.
using retry_rule = std::function<std::optional<time_point>(const call& failed, time_point now)>;

/// All calls including retries, and their results; the call with id i is at position i - 1.
struct run_log {
    std::vector<call> calls;
    std::vector<call_result> results;
};

/// Runs the calls on one server.
run_log run(scheduler&, std::vector<call>, const retry_rule& = {});

/// Quantile of the sorted values; 0 without values.
double quantile(const std::vector<double>& sorted, double share);
double median(std::vector<double>);

/// Median of a figure over several runs.
template <typename Figures, typename Get> double medianOf(const std::vector<Figures>& runs, Get get)
{
    std::vector<double> values;
    for (const auto& one : runs)
        values.push_back(get(one));
    return median(std::move(values));
}

} // namespace heatherdrift::simulation
