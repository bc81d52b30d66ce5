#pragma once

#include "admission/return_schedule.h"
#include "base/clock.h"
#include "base/verdict.h"
#include "store/watched_store.h"
#include "telemetry/metrics.h"

namespace heatherdrift {

struct backend_health_counts;

/// Metrics of one node; docs/OPERATIONS.md lists them.
class mesh_metrics {
public:
    mesh_metrics();

    /// A request of a caller was answered or abandoned.
    void requestEnded(const std::string& service, std::string_view outcome, duration latency);
    /// A forwarded request of another node completed at the gate.
    void gateEnded(verdict, std::string_view reason);
    void storeCall(std::string_view kind, bool isAnswered, duration latency);
    void rangeMapChanged(std::uint64_t version, std::uint32_t ownKeys, std::size_t ranges);
    void configurationApplied(std::uint64_t version);
    void evacuationsChanged(std::size_t zones, bool isOwnEvacuated);
    /// How late the event loop ran a timer.
    void loopLag(duration);
    /// Totals since the start: executions refused because of their calls, and those that ended badly after a refused
    /// call.
    void nestedCalls(std::uint64_t refused, std::uint64_t lost);
    /// Totals since the start of the returns that the gate or the entry node has planned.
    void returns(const std::string& where, const return_counts&);
    /// A request was refused because no backend server could start it in time.
    void refusedWithoutAttempt() { m_refusedWithoutAttempt.Increment(); }
    /// Statuses of backend servers that were passed on to other nodes, or learned from them.
    void statusesExchanged(std::string_view direction, std::size_t count);
    /// A decision about a hedge, or `won` if the caller got the hedge's answer.
    void hedgeDecided(const std::string& service, std::string_view outcome);
    void statusesKnown(const std::string& service, std::size_t count);
    void gateLoad(double load, double demand, std::size_t waiting);
    void backendHealth(bool isCold, const backend_health_counts&);
    /// Bytes of the bodies of requests that the backend server has and has not answered.
    void bytesAtBackend(std::size_t now, std::size_t most);

    std::string text() const { return m_registry.text(); }

private:
    metrics_registry m_registry;
    prometheus::Gauge& m_mapVersion;
    prometheus::Gauge& m_ownKeys;
    prometheus::Gauge& m_ranges;
    prometheus::Counter& m_mapChanges;
    prometheus::Gauge& m_configurationVersion;
    prometheus::Gauge& m_evacuatedZones;
    prometheus::Gauge& m_isEvacuated;
    prometheus::Gauge& m_load;
    prometheus::Gauge& m_demand;
    prometheus::Gauge& m_waiting;
    prometheus::Counter& m_refusedForCalls;
    prometheus::Counter& m_lostCalls;
    prometheus::Counter& m_refusedWithoutAttempt;
    prometheus::Gauge& m_isCold;
    prometheus::Counter& m_coldStarts;
    prometheus::Counter& m_checks;
    prometheus::Counter& m_failedChecks;
    prometheus::Gauge& m_bytesAtBackend;
    prometheus::Gauge& m_mostBytesAtBackend;
};

/// Records metrics of the calls to a store.
class counting_store : public watched_store {
public:
    counting_store(std::unique_ptr<watched_store>, mesh_metrics&);

    void read(std::string table, time_point deadline, std::function<void(result<row_snapshot>)>) override;
    void write(conditional_write, time_point deadline, std::function<void(result<write_outcome>)>) override;
    void watch(std::string table, row_version after, duration wait, time_point deadline,
        std::function<void(result<row_snapshot>)>) override;
    void onRestored(std::function<void(store_era)>) override;

private:
    template <typename Value>
    std::function<void(result<Value>)> counted(const char* kind, std::function<void(result<Value>)> done);

    std::unique_ptr<watched_store> m_store;
    mesh_metrics& m_metrics;
};

} // namespace heatherdrift
