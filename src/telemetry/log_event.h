#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heatherdrift {

/// Numbers of the log events. A number is never reused; docs/events.md lists them.
enum class log_event : int {
    node_started = 1001,
    node_stopping = 1002,
    node_stopped = 1003,
    settings_rejected = 1004,
    member_registered = 1101,
    member_left = 1102,
    lease_acquired = 1201,
    lease_lost = 1202,
    witness_set_changed = 1203,
    takeover_started = 1301,
    takeover_finished = 1302,
    takeover_blocked = 1303,
    partitions_assigned = 1401,
    partition_moved = 1402,
    hot_key_isolated = 1403,
    drain_started = 1404,
    drain_finished = 1405,
    configuration_applied = 1501,
    configuration_rejected = 1502,
    route_type_unknown = 1503,
    table_fetched = 1504,
    table_fetch_failed = 1505,
    table_read = 1506,
    table_read_failed = 1507,
    table_row_rejected = 1510,
    zone_evacuated = 1511,
    zone_returned = 1512,
    evacuation_without_effect = 1513,
    evacuation_closed_on_keys = 1514,
    store_unavailable = 1601,
    store_available = 1602,
    store_write_resolved = 1603,
    store_restored = 1604,
    peer_message_rejected = 1701,
    backend_announced = 1801,
    backend_lost = 1802,
    backend_recovered = 1803,
    backend_crashed = 1807,
    server_load_rejected = 1808,
    server_load_implausible = 1809,
    server_load_plausible = 1810,
    backend_cold = 1811,
    backend_warm = 1812,
    health_check_failed = 1813,
    request_quarantined = 1901,
    foreign_answer_dropped = 1902,
    suspect_refused = 1903,
    suspect_cleared = 1904,
    suspect_tried = 1905,
    request_refused = 1911,
    request_failed = 1912,
    request_abandoned = 1913,
    request_lost = 1914,
    request_refused_for_calls = 1915,
    execution_lost_call = 1916,
    request_hedged = 1917,
    return_refused = 1918,
    refused_without_attempt = 1919,
    range_map_changed = 1451,
    range_map_write_failed = 1452,
    holds_renewed = 1453,
    holds_not_renewed = 1454,
    range_map_written = 1455,
    member_changed = 1103,
    member_removed = 1104,
    member_not_removed = 1105,
    member_row_outdated = 1106,
    announcement_rejected = 1804,
    announcement_outdated = 1805,
    departure_not_recorded = 1806,
    life_undecided = 1814,
    life_taken_against_clock = 1815,
    departure_undecided = 1816,
    life_ended = 1817,
    ended_life_continues = 1818,
    evidence_ignored = 1819,
    settings_reloaded = 1005,
    event_loop_late = 1006,
    peer_lost = 1702,
    peer_regained = 1703,
};

enum class log_level { info, warning, error };

struct log_event_definition {
    log_event event;
    std::string_view name;
    log_level level;
    std::string_view meaning;
};

/// All events, in the order of their numbers.
std::span<const log_event_definition> logEventCatalogue();

struct log_field {
    std::string_view name;
    std::string value;
};

/// Sends log lines to standard error. Call once per process.
void startLogging(log_level least);
/// Sends log lines as JSON objects to standard output, never waiting for its reader. Call once per process, instead of
/// startLogging(). linesPerWindow bounds each event as logBurst does otherwise.
void startStructuredLogging(log_level least, const std::string& source, int linesPerWindow);

/// Writes one line. At most logBurst lines of one event go out in logWindow; the next line after that tells how many
/// were left out. May be called from any thread.
void logEvent(log_event, std::initializer_list<log_field> = {});

/// An event that logEvent() let through its limit, whatever the least level of the log is.
struct recorded_event {
    std::uint64_t sequence = 0; ///< 1 for the first event of the process.
    std::chrono::system_clock::time_point time;
    log_event event = log_event::node_started;
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const recorded_event&) const = default;
};

struct recorded_events {
    std::vector<recorded_event> events; ///< Oldest first.
    std::uint64_t last = 0; ///< Sequence of the newest event of the process; 0 if there was none.
};

/// The process keeps its newest logHistory events; those with a higher sequence are returned. From any thread.
recorded_events recordedEvents(std::uint64_t after);

constexpr std::size_t logHistory = 512;
constexpr int logBurst = 10;
constexpr int logWindowSeconds = 10;

} // namespace heatherdrift
