#include "mesh/internal/mesh_metrics.h"

#include "mesh/internal/backend_health.h"

namespace heatherdrift {

namespace {

    double seconds(duration value) { return std::chrono::duration<double>(value).count(); }

} // namespace

mesh_metrics::mesh_metrics()
    : m_mapVersion(m_registry.gauge("heatherdrift_range_map_version", "Version of the range map that is known."))
    , m_ownKeys(m_registry.gauge("heatherdrift_owned_keys", "Keys that the backend server owns by the map."))
    , m_ranges(m_registry.gauge("heatherdrift_ranges", "Ranges of the range map."))
    , m_mapChanges(m_registry.counter("heatherdrift_range_map_changes_total", "Range maps that became known."))
    , m_configurationVersion(
          m_registry.gauge("heatherdrift_configuration_version", "Version of the configuration in force."))
    , m_evacuatedZones(m_registry.gauge("heatherdrift_evacuated_zones", "Zones that the operator has evacuated."))
    , m_isEvacuated(m_registry.gauge("heatherdrift_evacuated", "1 while the zone of this node is evacuated."))
    , m_load(m_registry.gauge("heatherdrift_gate_load", "Share of the slots in use or waited for."))
    , m_demand(m_registry.gauge("heatherdrift_gate_demand", "Slots that the keys need, per slot."))
    , m_waiting(m_registry.gauge("heatherdrift_gate_in_progress", "Requests that wait or run at the gate."))
    , m_refusedForCalls(m_registry.counter("heatherdrift_gate_refused_for_calls_total",
          "Requests refused before they ran, since their nested calls would find no capacity."))
    , m_lostCalls(m_registry.counter(
          "heatherdrift_gate_lost_calls_total", "Executions that ended badly after one of their calls was refused."))
    , m_refusedWithoutAttempt(m_registry.counter("heatherdrift_refused_without_attempt_total",
          "Requests sent to no gate, since no backend server could start them in time."))
    , m_isCold(m_registry.gauge("heatherdrift_backend_cold", "1 while the cold rate limits the backend server."))
    , m_coldStarts(m_registry.counter(
          "heatherdrift_cold_starts_total", "Requests sent to the backend server while it was cold."))
    , m_checks(m_registry.counter("heatherdrift_health_checks_total", "Health checks of the backend server."))
    , m_failedChecks(
          m_registry.counter("heatherdrift_health_checks_failed_total", "Health checks without a usable answer."))
    , m_bytesAtBackend(m_registry.gauge("heatherdrift_gate_backend_bytes",
          "Bytes of the bodies of requests that the backend server has not answered."))
    , m_mostBytesAtBackend(m_registry.gauge(
          "heatherdrift_gate_backend_bytes_most", "The most of them at the same time since the start of the process."))
{
}

void mesh_metrics::requestEnded(const std::string& service, std::string_view outcome, duration latency)
{
    m_registry
        .counter("heatherdrift_requests_total", "Requests of callers by their end.",
            { { "service", service }, { "outcome", std::string(outcome) } })
        .Increment();
    m_registry
        .latency(
            "heatherdrift_request_seconds", "Time from a caller's request to its answer.", { { "service", service } })
        .Observe(seconds(latency));
}

void mesh_metrics::gateEnded(verdict outcome, std::string_view reason)
{
    m_registry
        .counter("heatherdrift_gate_requests_total", "Requests at the gate by their verdict.",
            { { "verdict", std::string(toString(outcome)) }, { "reason", std::string(reason) } })
        .Increment();
}

void mesh_metrics::storeCall(std::string_view kind, bool isAnswered, duration latency)
{
    m_registry
        .counter("heatherdrift_store_calls_total", "Calls to the store.",
            { { "kind", std::string(kind) }, { "answered", isAnswered ? "yes" : "no" } })
        .Increment();
    if (kind != "watch") // The duration of a watch is the wait for a change, not the latency of the store.
        m_registry
            .latency("heatherdrift_store_seconds", "Time of a call to the store.", { { "kind", std::string(kind) } })
            .Observe(seconds(latency));
}

void mesh_metrics::evacuationsChanged(std::size_t zones, bool isOwnEvacuated)
{
    m_evacuatedZones.Set(static_cast<double>(zones));
    m_isEvacuated.Set(isOwnEvacuated ? 1 : 0);
}

void mesh_metrics::rangeMapChanged(std::uint64_t version, std::uint32_t ownKeys, std::size_t ranges)
{
    const bool isNew = m_mapVersion.Value() != static_cast<double>(version);
    m_mapVersion.Set(static_cast<double>(version));
    m_ownKeys.Set(ownKeys);
    m_ranges.Set(static_cast<double>(ranges));
    if (isNew)
        m_mapChanges.Increment();
}

void mesh_metrics::configurationApplied(std::uint64_t version)
{
    m_configurationVersion.Set(static_cast<double>(version));
}

void mesh_metrics::loopLag(duration lag)
{
    m_registry.latency("heatherdrift_event_loop_lag_seconds", "How late the event loop ran a timer.")
        .Observe(seconds(lag));
}

void mesh_metrics::nestedCalls(std::uint64_t refused, std::uint64_t lost)
{
    m_refusedForCalls.Increment(static_cast<double>(refused) - m_refusedForCalls.Value());
    m_lostCalls.Increment(static_cast<double>(lost) - m_lostCalls.Value());
}

void mesh_metrics::returns(const std::string& where, const return_counts& counts)
{
    const auto raise = [&](const char* event, std::uint64_t total) {
        auto& counter = m_registry.counter("heatherdrift_returns_total",
            "Return times of refused callers, and what became of them.", { { "at", where }, { "event", event } });
        counter.Increment(static_cast<double>(total) - counter.Value());
    };
    raise("assigned", counts.assigned);
    raise("on_time", counts.onTime);
    raise("refused_twice", counts.refusedTwice);
}

void mesh_metrics::statusesExchanged(std::string_view direction, std::size_t count)
{
    if (count == 0)
        return;
    m_registry
        .counter("heatherdrift_statuses_exchanged_total", "Statuses of backend servers passed on between nodes.",
            { { "direction", std::string(direction) } })
        .Increment(static_cast<double>(count));
}

void mesh_metrics::hedgeDecided(const std::string& service, std::string_view outcome)
{
    m_registry
        .counter("heatherdrift_hedges_total", "Decisions about second attempts against slow answers, and those won.",
            { { "service", service }, { "outcome", std::string(outcome) } })
        .Increment();
}

void mesh_metrics::statusesKnown(const std::string& service, std::size_t count)
{
    m_registry
        .gauge(
            "heatherdrift_known_statuses", "Backend servers whose recent status is known.", { { "service", service } })
        .Set(static_cast<double>(count));
}

void mesh_metrics::gateLoad(double load, double demand, std::size_t inProgress)
{
    m_load.Set(load);
    m_demand.Set(demand);
    m_waiting.Set(static_cast<double>(inProgress));
}

void mesh_metrics::backendHealth(bool isCold, const backend_health_counts& counts)
{
    const auto raise = [](prometheus::Counter& counter, std::uint64_t total) {
        counter.Increment(static_cast<double>(total) - counter.Value());
    };
    m_isCold.Set(isCold ? 1 : 0);
    raise(m_coldStarts, counts.coldStarts);
    raise(m_checks, counts.checks);
    raise(m_failedChecks, counts.failedChecks);
}

void mesh_metrics::bytesAtBackend(std::size_t now, std::size_t most)
{
    m_bytesAtBackend.Set(static_cast<double>(now));
    m_mostBytesAtBackend.Set(static_cast<double>(most));
}

counting_store::counting_store(std::unique_ptr<watched_store> store, mesh_metrics& metrics)
    : m_store(std::move(store))
    , m_metrics(metrics)
{
}

template <typename Value>
std::function<void(result<Value>)> counting_store::counted(const char* kind, std::function<void(result<Value>)> done)
{
    return [this, kind, done = std::move(done), startedAt = boot_clock::now()](result<Value> value) {
        m_metrics.storeCall(kind, value.has_value(), boot_clock::now() - startedAt);
        done(std::move(value));
    };
}

void counting_store::read(std::string table, time_point deadline, std::function<void(result<row_snapshot>)> done)
{
    m_store->read(std::move(table), deadline, counted("read", std::move(done)));
}

void counting_store::write(
    conditional_write write, time_point deadline, std::function<void(result<write_outcome>)> done)
{
    const char* kind = write.changes.empty() ? "check" : "write";
    m_store->write(std::move(write), deadline, counted(kind, std::move(done)));
}

void counting_store::watch(std::string table, row_version after, duration wait, time_point deadline,
    std::function<void(result<row_snapshot>)> done)
{
    m_store->watch(std::move(table), after, wait, deadline, counted("watch", std::move(done)));
}

void counting_store::onRestored(std::function<void(store_era)> restored) { m_store->onRestored(std::move(restored)); }

} // namespace heatherdrift
