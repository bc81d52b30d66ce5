#include "mesh/internal/table_exchange.h"

#include "base/hash.h"
#include "base/json_reader.h"
#include "telemetry/log_event.h"

#include <charconv>

namespace heatherdrift {

namespace {

    constexpr auto fetchTimeout = std::chrono::milliseconds(300); ///< A slower node is not worth waiting for.
    constexpr auto tickInterval = std::chrono::milliseconds(200); ///< Of nodes whose requests tell them nothing.
    constexpr std::size_t answerLimitBytes = 4u << 20;
    constexpr const char* tableHeader = "heatherdrift-table";
    constexpr const char* afterHeader = "heatherdrift-after";
    constexpr int statusNotFound = 404;

    result<row_change> decodeRow(const json& entry, const std::string& path)
    {
        row_change row;
        std::string value;
        json_reader reader(entry, path, error_code::bad_request);
        reader.readString("table", row.key.table);
        reader.readString("key", row.key.key);
        reader.readInteger("version", row.version, { 1, INT64_MAX });
        reader.readString("value", value, json_reader::presence::optional);
        BOOST_OUTCOME_TRY(reader.finish());
        if (entry.contains("value"))
            row.value = std::move(value);
        return row;
    }

} // namespace

std::string encodeNews(const table_news& news)
{
    json rows = json::array();
    for (const auto& row : news.rows.rows) {
        json entry { { "table", row.key.table }, { "key", row.key.key }, { "version", row.version } };
        if (row.value)
            entry["value"] = *row.value;
        rows.push_back(std::move(entry));
    }
    return json { { "version", news.rows.version }, { "whole", news.isWhole }, { "rows", std::move(rows) } }.dump();
}

result<table_news> decodeNews(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    table_news out;
    json_reader reader(document, "", error_code::bad_request);
    reader.readInteger("version", out.rows.version, { 0, INT64_MAX });
    reader.readBool("whole", out.isWhole);
    reader.readValue("rows", [&](const json& rows, const std::string& path) -> result<void> {
        if (!rows.is_array())
            return notRun(error_code::bad_request, path + ": not a list");
        for (const auto& entry : rows) {
            BOOST_OUTCOME_TRY(row, decodeRow(entry, path));
            out.rows.rows.push_back(std::move(row));
        }
        return outcome::success();
    });
    BOOST_OUTCOME_TRY(reader.finish());
    return out;
}

table_exchange::table_exchange(event_base* base, const mesh_settings& settings, mesh_directory& directory,
    table_watcher& configuration, table_watcher& members, table_exchange_hooks hooks)
    : m_settings(settings)
    , m_directory(directory)
    , m_configuration(configuration)
    , m_members(members)
    , m_hooks(std::move(hooks))
    , m_nextReader(hashBytes(settings.node))
    , m_tick(base, [this] { askReader(); })
{
}

void table_exchange::start() { m_tick.startRepeating(tickInterval); }

std::optional<known_tables> table_exchange::statement() const
{
    if (!m_configuration.isRead() || !m_members.isRead())
        return std::nullopt;
    const auto now = boot_clock::now();
    const auto of = [now](const table_watcher& table) {
        return table_statement { table.copy().newestChange(), now - table.currentAt() };
    };
    return known_tables { of(m_configuration), of(m_members) };
}

fleet_place table_exchange::place() const
{
    const auto now = boot_clock::now();
    fleet_place place;
    for (const auto& [node, peer] : m_directory.peers()) {
        // This node itself is not among them before its backend server has announced itself.
        if (node == m_settings.node || m_directory.isUnreachable(peer, now))
            continue;
        ++place.nodes;
        place.rank += node < m_settings.node;
    }
    return place;
}

void table_exchange::notice(const instance_id& node, const known_tables& tables, time_point askedAt)
{
    notice(m_configuration, node, tables.configuration, askedAt);
    notice(m_members, node, tables.members, askedAt);
}

void table_exchange::notice(
    table_watcher& table, const instance_id& node, const table_statement& statement, time_point askedAt)
{
    if (statement.newestChange > table.copy().newestChange())
        return fetchFrom(table, node);
    // The other node's rows are not newer, so that this one's were those in the store at that time, too.
    table.confirm(askedAt - statement.age);
}

void table_exchange::fetchFrom(table_watcher& table, const instance_id& node)
{
    // The node may have been removed while its answer was on the way.
    if (!m_directory.find(node) || !m_fetching.insert(table.table()).second)
        return;
    http_request request;
    request.target = target;
    request.headers.add(targetNodeHeader, node);
    request.headers.add(tableHeader, table.table());
    request.headers.add(afterHeader, std::to_string(table.copy().newestChange()));
    fetch(m_directory.client(node), std::move(request), boot_clock::now() + fetchTimeout, answerLimitBytes,
        [this, &table, node](const result<http_response>& answer) {
            m_fetching.erase(table.table());
            // Each further answer of a node that knows more leads to another attempt.
            if (answer.has_error() || answer.value().head.status != 200)
                return;
            const auto news = decodeNews(answer.value().body);
            if (news.has_error()) {
                logEvent(log_event::peer_message_rejected, { { "target", node }, { "reason", news.error().message } });
                return;
            }
            table.take(news.value());
        });
}

void table_exchange::handle(const http_exchange_ptr& exchange) const
{
    const auto& headers = exchange->request().headers;
    const auto name = headers.find(tableHeader).value_or("");
    row_version after = 0;
    const auto text = headers.find(afterHeader).value_or("");
    const bool isNumber = std::from_chars(text.data(), text.data() + text.size(), after).ec == std::errc();
    for (const auto* table : { &m_configuration, &m_members }) {
        if (isNumber && table->table() == name && table->isRead())
            return exchange->respond({ { 200, {} }, encodeNews(table->copy().newsAfter(after)) });
    }
    exchange->respond({ { statusNotFound, {} }, "" });
}

void table_exchange::askReader()
{
    const auto now = boot_clock::now();
    if (!m_configuration.needsReader(now) && !m_members.needsReader(now))
        return;
    const std::size_t wanted = m_nextReader++ % place().readers();
    std::size_t position = 0;
    for (const auto& [node, peer] : m_directory.peers()) {
        if (!m_directory.isUnreachable(peer, now) && position++ == wanted)
            return m_hooks.ask(node);
    }
}

} // namespace heatherdrift
