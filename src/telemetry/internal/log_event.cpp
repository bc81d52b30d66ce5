#include "telemetry/log_event.h"

#include "base/clock.h"
#include "telemetry/internal/event_history.h"
#include "telemetry/line_writer.h"

#include <ctime>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace heatherdrift {

namespace {

    constexpr log_event_definition catalogue[] = {
        { log_event::node_started, "node_started", log_level::info, "The process listens on all its addresses." },
        { log_event::node_stopping, "node_stopping", log_level::info, "A stop was asked for; the drain begins." },
        { log_event::node_stopped, "node_stopped", log_level::info, "The process ends with nothing in progress." },
        { log_event::settings_rejected, "settings_rejected", log_level::error,
            "The settings file has an error; nothing was started." },
        { log_event::settings_reloaded, "settings_reloaded", log_level::info, "The settings file was read again." },
        { log_event::event_loop_late, "event_loop_late", log_level::warning,
            "The event loop ran a timer more than 0.25 s late; its instance is short of processor time." },
        { log_event::member_registered, "member_registered", log_level::info,
            "The instance wrote its membership row." },
        { log_event::member_left, "member_left", log_level::info, "The instance marked its membership row as left." },
        { log_event::member_changed, "member_changed", log_level::info,
            "Another node's row changed: its backend server, address or state." },
        { log_event::member_removed, "member_removed", log_level::info, "Another node's row was removed." },
        { log_event::member_not_removed, "member_not_removed", log_level::warning,
            "The store did not remove a lost node's row; the next read of the table brings it back." },
        { log_event::member_row_outdated, "member_row_outdated", log_level::warning,
            "A restored store lacks another node's row or has an older one; what is known is kept." },
        { log_event::lease_acquired, "lease_acquired", log_level::info, "A majority of witnesses granted the lease." },
        { log_event::lease_lost, "lease_lost", log_level::warning,
            "The lease ended; owned keys are refused until it is renewed." },
        { log_event::witness_set_changed, "witness_set_changed", log_level::info,
            "The instance changed its witnesses." },
        { log_event::takeover_started, "takeover_started", log_level::warning,
            "This instance began to take over the partitions of another." },
        { log_event::takeover_finished, "takeover_finished", log_level::info,
            "All partitions of the lost instance have new owners." },
        { log_event::takeover_blocked, "takeover_blocked", log_level::error,
            "No majority of witnesses can answer; an operator must declare the instance lost." },
        { log_event::partitions_assigned, "partitions_assigned", log_level::info,
            "Partitions without an owner were assigned." },
        { log_event::partition_moved, "partition_moved", log_level::info,
            "A planned move of a partition took effect." },
        { log_event::hot_key_isolated, "hot_key_isolated", log_level::info, "A hot key got a partition of its own." },
        { log_event::drain_started, "drain_started", log_level::info,
            "The instance takes no new partitions and hands over its own." },
        { log_event::drain_finished, "drain_finished", log_level::info,
            "The instance owns no partition and has no request in progress." },
        { log_event::range_map_changed, "range_map_changed", log_level::info,
            "A newer range map is known; who wrote it, and why if it was this node." },
        { log_event::range_map_write_failed, "range_map_write_failed", log_level::warning,
            "The store did not confirm a change of the range map." },
        { log_event::holds_renewed, "holds_renewed", log_level::info,
            "The backend server is given keys that it did not hold before, or fewer." },
        { log_event::holds_not_renewed, "holds_not_renewed", log_level::warning,
            "A heartbeat renewed no holds, since the range map is not confirmed." },
        { log_event::range_map_written, "range_map_written", log_level::info,
            "This node changed the range map; the line names the keys, their owners, and why earlier ones were "
            "removed." },
        { log_event::configuration_applied, "configuration_applied", log_level::info,
            "A newer configuration is in force on this node." },
        { log_event::configuration_rejected, "configuration_rejected", log_level::error,
            "A stored configuration could not be parsed." },
        { log_event::route_type_unknown, "route_type_unknown", log_level::warning,
            "The type of a route is missing or not known; its requests run at most once." },
        { log_event::table_fetched, "table_fetched", log_level::info,
            "Changes of a table arrived from another node: bytes, time and attempt." },
        { log_event::table_fetch_failed, "table_fetch_failed", log_level::warning,
            "Another node did not deliver changes of a table; the next one that knows them is asked." },
        { log_event::table_read, "table_read", log_level::info,
            "The store delivered rows of a table: bytes and time." },
        { log_event::table_read_failed, "table_read_failed", log_level::warning,
            "The store did not deliver a table or its changes." },
        { log_event::table_row_rejected, "table_row_rejected", log_level::warning,
            "A row of a table could not be decoded; the others are followed." },
        { log_event::zone_evacuated, "zone_evacuated", log_level::warning,
            "The operator has evacuated a zone; its backend servers get no requests." },
        { log_event::zone_returned, "zone_returned", log_level::info,
            "The evacuation of a zone is withdrawn; its backend servers get requests again." },
        { log_event::evacuation_without_effect, "evacuation_without_effect", log_level::warning,
            "The operator has evacuated a zone in which no instance is known." },
        { log_event::evacuation_closed_on_keys, "evacuation_closed_on_keys", log_level::warning,
            "The time of an evacuation ended before all keys had moved; requests for the others are refused until "
            "then." },
        { log_event::store_unavailable, "store_unavailable", log_level::warning,
            "The table service does not answer; changes wait." },
        { log_event::store_available, "store_available", log_level::info, "The table service answers again." },
        { log_event::store_write_resolved, "store_write_resolved", log_level::info,
            "A write with a lost answer was read back." },
        { log_event::store_restored, "store_restored", log_level::warning,
            "The table service came back from an older copy; tables are read anew." },
        { log_event::peer_message_rejected, "peer_message_rejected", log_level::warning,
            "A control message could not be decoded; its connection was closed." },
        { log_event::peer_lost, "peer_lost", log_level::warning,
            "Another node does not answer; its work goes elsewhere." },
        { log_event::peer_regained, "peer_regained", log_level::info, "Another node answers again." },
        { log_event::backend_announced, "backend_announced", log_level::info,
            "The backend server beside this process announced itself." },
        { log_event::backend_lost, "backend_lost", log_level::warning,
            "The backend server does not answer; its partitions are handed over." },
        { log_event::backend_recovered, "backend_recovered", log_level::info, "The backend server answers again." },
        { log_event::announcement_rejected, "announcement_rejected", log_level::warning,
            "A heartbeat could not be read or names another backend server." },
        { log_event::announcement_outdated, "announcement_outdated", log_level::info,
            "A heartbeat is older than one that was taken." },
        { log_event::departure_not_recorded, "departure_not_recorded", log_level::warning,
            "The store did not take a departure in time; the shutdown notice is not acknowledged." },
        { log_event::backend_crashed, "backend_crashed", log_level::warning,
            "The backend server ended while requests were at work; the line names them by their fingerprints." },
        { log_event::server_load_rejected, "server_load_rejected", log_level::warning,
            "The backend server stated its load in a form that cannot be read; the statement is ignored." },
        { log_event::server_load_implausible, "server_load_implausible", log_level::warning,
            "The slowdown that the backend server states contradicts its service times and is ignored for now." },
        { log_event::server_load_plausible, "server_load_plausible", log_level::info,
            "The slowdown that the backend server states agrees with its service times again and is used." },
        { log_event::backend_cold, "backend_cold", log_level::info,
            "The backend server is cold, or it is not known whether it is; requests to it are limited to its cold "
            "rate." },
        { log_event::backend_warm, "backend_warm", log_level::info,
            "The backend server states that it is warm; the cold rate no longer limits the requests to it." },
        { log_event::health_check_failed, "health_check_failed", log_level::warning,
            "The backend server did not answer a health check, or without its state." },
        { log_event::life_undecided, "life_undecided", log_level::info,
            "A heartbeat is not taken, because by the clock its life started before the present one." },
        { log_event::life_taken_against_clock, "life_taken_against_clock", log_level::warning,
            "A life of the backend server is taken as the present one although by the clock it started earlier." },
        { log_event::departure_undecided, "departure_undecided", log_level::warning,
            "A shutdown notice is not acknowledged, because two lives of the backend server may have sent it." },
        { log_event::life_ended, "life_ended", log_level::warning,
            "A backend server counts as ended, so that its keys go to others at once; the line names the evidence." },
        { log_event::ended_life_continues, "ended_life_continues", log_level::error,
            "A backend server that counted as ended sends heartbeats." },
        { log_event::evidence_ignored, "evidence_ignored", log_level::info,
            "Something that may show the end of a backend server is ignored: it is about an earlier life, older than a "
            "heartbeat, or the backend server still runs." },
        { log_event::request_quarantined, "request_quarantined", log_level::warning,
            "A request was refused because requests with its content crashed backend servers." },
        { log_event::foreign_answer_dropped, "foreign_answer_dropped", log_level::warning,
            "An answer did not belong to its request and was dropped." },
        { log_event::suspect_refused, "suspect_refused", log_level::warning,
            "A request was at work in so many crashes without an answer in between that it is refused from now on." },
        { log_event::suspect_cleared, "suspect_cleared", log_level::info,
            "A request that was at work in crashes has been answered; they no longer count." },
        { log_event::suspect_tried, "suspect_tried", log_level::warning,
            "A refused request is run once more; the run counts as a crash until it is answered." },
        { log_event::request_refused, "request_refused", log_level::warning,
            "A caller was told that its request has not run." },
        { log_event::request_failed, "request_failed", log_level::warning,
            "A caller got a failure made by this node." },
        { log_event::request_abandoned, "request_abandoned", log_level::info, "A caller left before its answer." },
        { log_event::request_lost, "request_lost", log_level::warning,
            "A backend server got a request, and its answer was lost or late at the gate." },
        { log_event::request_refused_for_calls, "request_refused_for_calls", log_level::warning,
            "A gate refused a request before it ran, since its nested calls would find no capacity." },
        { log_event::execution_lost_call, "execution_lost_call", log_level::warning,
            "An execution ended badly after one of its nested calls was refused; its work was thrown away." },
        { log_event::request_hedged, "request_hedged", log_level::info,
            "A second attempt was sent against a slow answer; which one the caller got the answer of." },
        { log_event::return_refused, "return_refused", log_level::info,
            "A request was refused again after its caller had sent it a second time, at its assigned time or not." },
        { log_event::refused_without_attempt, "refused_without_attempt", log_level::info,
            "A request was sent to no gate, since no backend server of its service can start it in time." },
    };

    const log_event_definition& definitionOf(log_event event)
    {
        for (const auto& definition : catalogue) {
            if (definition.event == event)
                return definition;
        }
        return catalogue[0];
    }

    log4cplus::LogLevel toLibraryLevel(log_level level)
    {
        switch (level) {
        case log_level::info:
            return log4cplus::INFO_LOG_LEVEL;
        case log_level::warning:
            return log4cplus::WARN_LOG_LEVEL;
        case log_level::error:
            return log4cplus::ERROR_LOG_LEVEL;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    struct event_window {
        time_point end;
        int lines = 0;
        int leftOut = 0;
    };

    /// Bounds the lines per event, so that a fault that repeats quickly cannot flood the log.
    class rate_limiter {
    public:
        /// Lines left out since the last one if this one may be written, otherwise -1.
        int admit(log_event event, int burst, time_point now)
        {
            std::lock_guard lock(m_mutex);
            auto& window = m_windows[event];
            if (now >= window.end)
                window = { now + std::chrono::seconds(logWindowSeconds), 0, window.leftOut };
            if (window.lines >= burst) {
                ++window.leftOut;
                return -1;
            }
            ++window.lines;
            return std::exchange(window.leftOut, 0);
        }

    private:
        std::mutex m_mutex;
        std::map<log_event, event_window> m_windows;
    };

    event_history& history()
    {
        static event_history value(logHistory);
        return value;
    }

    /// Set once by startStructuredLogging().
    struct structured_log {
        line_writer writer;
        std::string source;
        log_level least;
        int linesPerWindow;
    };

    std::unique_ptr<structured_log>& structuredLog()
    {
        static std::unique_ptr<structured_log> value;
        return value;
    }

    std::string_view nameOf(log_level level)
    {
        switch (level) {
        case log_level::info:
            return "info";
        case log_level::warning:
            return "warning";
        case log_level::error:
            break;
        }
        return "error";
    }

    std::string utcTime()
    {
        timespec now {};
        clock_gettime(CLOCK_REALTIME, &now);
        tm parts {};
        gmtime_r(&now.tv_sec, &parts);
        char text[64];
        const auto length = std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text + length, sizeof(text) - length, ".%03ldZ", now.tv_nsec / 1000000);
        return text;
    }

    void writeStructured(structured_log& log, const log_event_definition& definition,
        std::initializer_list<log_field> fields, int leftOut)
    {
        if (definition.level < log.least)
            return;
        nlohmann::ordered_json line { { "time", utcTime() }, { "level", nameOf(definition.level) },
            { "number", static_cast<int>(definition.event) }, { "event", definition.name },
            { "instance", log.source } };
        for (const auto& field : fields)
            line[std::string(field.name)] = field.value;
        if (leftOut > 0)
            line["left_out"] = leftOut;
        log.writer.write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    std::string formatLine(const log_event_definition& definition, std::initializer_list<log_field> fields, int leftOut)
    {
        std::string line
            = "E" + std::to_string(static_cast<int>(definition.event)) + " " + std::string(definition.name);
        for (const auto& field : fields)
            line.append(" ").append(field.name).append("=").append(field.value);
        if (leftOut > 0)
            line += " left_out=" + std::to_string(leftOut);
        return line;
    }

} // namespace

std::span<const log_event_definition> logEventCatalogue() { return catalogue; }

void startLogging(log_level least)
{
    static log4cplus::Initializer initializer;
    // The library's thread pool serves asynchronous appenders only, which are not used here.
    log4cplus::setThreadPoolSize(1);
    log4cplus::helpers::Properties properties;
    properties.setProperty(LOG4CPLUS_TEXT("log4cplus.rootLogger"), LOG4CPLUS_TEXT("INFO, STDERR"));
    properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR"), LOG4CPLUS_TEXT("log4cplus::ConsoleAppender"));
    properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR.logToStdErr"), LOG4CPLUS_TEXT("true"));
    properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR.ImmediateFlush"), LOG4CPLUS_TEXT("true"));
    properties.setProperty(
        LOG4CPLUS_TEXT("log4cplus.appender.STDERR.layout"), LOG4CPLUS_TEXT("log4cplus::PatternLayout"));
    properties.setProperty(LOG4CPLUS_TEXT("log4cplus.appender.STDERR.layout.ConversionPattern"),
        LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q}Z %p %m%n"));
    log4cplus::PropertyConfigurator(properties).configure();
    log4cplus::Logger::getRoot().setLogLevel(toLibraryLevel(least));
}

void startStructuredLogging(log_level least, const std::string& source, int linesPerWindow)
{
    constexpr std::size_t mostBufferedBytes = 64 * 1024; // About 300 lines while the reader is slow.
    structuredLog() = std::make_unique<structured_log>(
        structured_log { line_writer(STDOUT_FILENO, mostBufferedBytes), source, least, linesPerWindow });
}

void logEvent(log_event event, std::initializer_list<log_field> fields)
{
    static rate_limiter limiter;
    const auto& definition = definitionOf(event);
    auto* structured = structuredLog().get();
    const int burst = structured ? structured->linesPerWindow : logBurst;
    const int leftOut = limiter.admit(event, burst, boot_clock::now());
    if (leftOut < 0)
        return;
    if (structured)
        return writeStructured(*structured, definition, fields, leftOut);
    history().add(event, fields);
    const auto level = toLibraryLevel(definition.level);
    auto logger = log4cplus::Logger::getRoot();
    if (logger.isEnabledFor(level))
        logger.log(level, formatLine(definition, fields, leftOut));
}

recorded_events recordedEvents(std::uint64_t after) { return history().after(after); }

} // namespace heatherdrift
