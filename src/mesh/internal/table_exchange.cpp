#include "mesh/internal/table_exchange.h"

#include "base/hash.h"
#include "mesh/internal/peer_transfer.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <charconv>

namespace heatherdrift {

namespace {

    /// Check interval for nodes that get no table state with their requests.
    constexpr auto tickInterval = std::chrono::milliseconds(200);
    /// A node that reports its state no more may have been replaced or cut off.
    constexpr auto maxStatementAge = std::chrono::seconds(5);
    constexpr auto firstFetchTime = std::chrono::milliseconds(300); ///< Assumed before the first fetch.
    constexpr auto minFetchWait = std::chrono::milliseconds(50);
    constexpr const char* tableHeader = "heatherdrift-table";
    constexpr const char* afterHeader = "heatherdrift-after";
    constexpr const char* baseHeader = "heatherdrift-base"; ///< "no": the answer must not be a difference.
    constexpr int statusNotFound = 404;
    constexpr int statusBusy = 503;
    /// Smaller answers take no noticeable time on any link.
    constexpr std::size_t minSlotBytes = 24 * 1024;

} // namespace

table_exchange::table_exchange(event_base* base, const mesh_settings& settings, mesh_directory& directory,
    table_watcher& configuration, table_watcher& members, table_exchange_hooks hooks)
    : m_settings(settings)
    , m_directory(directory)
    , m_configuration { configuration, { base, [this] { retry(m_configuration); } } }
    , m_members { members, { base, [this] { retry(m_members); } } }
    , m_hooks(std::move(hooks))
    , m_random(seededRandom(hashBytes(settings.node)))
    , m_slots(maxSentTransfers, maxTransferTime)
    , m_nextReader(hashBytes(settings.node))
    , m_tick(base, [this] { askReader(); })
{
}

void table_exchange::start() { m_tick.startRepeating(tickInterval); }

std::optional<table_statements> table_exchange::statement() const
{
    if (!m_configuration.watcher.isRead() || !m_members.watcher.isRead())
        return std::nullopt;
    const auto now = boot_clock::now();
    const auto of = [now](const table_watcher& table) {
        return table_statement { table.copy().newestChange(), now - table.currentAt() };
    };
    return table_statements { of(m_configuration.watcher), of(m_members.watcher) };
}

fleet_place table_exchange::place() const
{
    const auto now = boot_clock::now();
    fleet_place place;
    for (const auto& [node, peer] : m_directory.peers()) {
        // This node is skipped because the directory lists it only after the first announcement of its backend server.
        if (node == m_settings.node || m_directory.isUnreachable(peer, now))
            continue;
        ++place.nodes;
        place.rank += node < m_settings.node;
    }
    return place;
}

void table_exchange::handleStatements(const instance_id& node, const table_statements& tables, time_point askedAt)
{
    handleStatement(m_configuration, node, tables.configuration, askedAt);
    handleStatement(m_members, node, tables.members, askedAt);
}

void table_exchange::handleStatement(
    table_state& table, const instance_id& node, const table_statement& statement, time_point askedAt)
{
    if (statement.newestChange > table.watcher.copy().newestChange()) {
        table.newer[node] = { statement.newestChange, boot_clock::now() };
        if (statement.newestChange > table.newest) {
            table.newest = statement.newestChange;
            forgetFailures(table);
        }
        if (statement.newestChange == table.newest)
            table.newestStatedAt = boot_clock::now();
        return fetchNewest(table);
    }
    table.newer.erase(node);
    // The other node has no newer rows, so this node's copy was also current at that time.
    table.watcher.confirm(askedAt - statement.age);
}

std::vector<fetch_source> table_exchange::sources(table_state& table) const
{
    const auto now = boot_clock::now();
    std::erase_if(table.newer, [&](const auto& entry) {
        return entry.second.version <= table.watcher.copy().newestChange()
            || now - entry.second.statedAt >= maxStatementAge;
    });
    std::vector<fetch_source> out;
    for (const auto& [node, change] : table.newer) {
        const auto* peer = m_directory.find(node);
        if (!peer || m_directory.isUnreachable(*peer, now))
            continue;
        if (!peer->member.isDraining && !peer->load.isDraining)
            out.push_back({ node, peer->member.zone, change.version });
    }
    return out;
}

void table_exchange::fetchNewest(table_state& table)
{
    // Before the first read from the store, the copy takes no changes of other nodes.
    if (table.isFetching || !table.watcher.isRead())
        return;
    auto candidates = sources(table);
    if (candidates.empty())
        return;
    std::erase_if(candidates, [&](const auto& source) { return table.tried.contains(source.node); });
    const auto* source = selectSource(candidates, m_settings.zone, m_random());
    if (source)
        return fetchFrom(table, source->node);
    if (!table.retryTimer.isPending())
        table.retryTimer.startOnce(fetchRetryDelay(++table.failedRounds, m_random()));
}

void table_exchange::forgetFailures(table_state& table)
{
    table.retryTimer.stop();
    table.tried.clear();
    table.failedRounds = 0;
}

void table_exchange::retry(table_state& table)
{
    table.tried.clear();
    fetchNewest(table);
}

void table_exchange::fetchFrom(table_state& table, const instance_id& node)
{
    table.isFetching = true;
    http_request request;
    request.target = target;
    request.headers.add(targetNodeHeader, node);
    request.headers.add(tableHeader, table.watcher.table());
    request.headers.add(afterHeader, std::to_string(table.watcher.copy().newestChange()));
    if (table.needsWhole)
        request.headers.add(baseHeader, "no");
    table.fetchStartedAt = boot_clock::now();
    ++table.attempts;
    fetchWithProgress(m_directory.client(node), std::move(request), peerTransferLimits(),
        [this, &table, node](const result<http_response>& answer) { handleFetched(table, node, answer); });
}

void table_exchange::handleFetched(table_state& table, const instance_id& node, const result<http_response>& answer)
{
    table.isFetching = false;
    const auto stated = table.newer.find(node);
    const row_version expected = stated == table.newer.end() ? 0 : stated->second.version;
    if (applyAnswer(table, node, answer) && table.watcher.copy().newestChange() >= expected)
        forgetFailures(table);
    else
        table.tried.insert(node);
    fetchNewest(table);
}

bool table_exchange::applyAnswer(table_state& table, const instance_id& node, const result<http_response>& answer)
{
    const auto elapsed = boot_clock::now() - table.fetchStartedAt;
    if (answer.has_error() || answer.value().head.status != 200) {
        logEvent(log_event::table_fetch_failed,
            { { "table", table.watcher.table() }, { "node", node }, { "ms", millisecondsText(elapsed) },
                { "attempt", std::to_string(table.attempts) },
                { "reason",
                    answer.has_error() ? answer.error().message
                                       : "status " + std::to_string(answer.value().head.status) } });
        return false;
    }
    logEvent(log_event::table_fetched,
        { { "table", table.watcher.table() }, { "node", node }, { "ms", millisecondsText(elapsed) },
            { "attempt", std::to_string(table.attempts) }, { "bytes", std::to_string(answer.value().body.size()) } });
    table.attempts = 0;
    table.fetchTime = elapsed;
    const auto update = decodeUpdate(answer.value().body, table.watcher.copy());
    table.needsWhole = update.has_error();
    if (update.has_error()) {
        logEvent(log_event::peer_message_rejected, { { "target", node }, { "reason", update.error().message } });
        return false;
    }
    table.watcher.applyUpdate(update.value());
    return true;
}

std::optional<duration> table_exchange::configurationWait() const
{
    const auto now = boot_clock::now();
    const auto& table = m_configuration;
    // A report stays valid until the copy is known to match the store at a later time, also if nobody repeats it.
    const bool isBehind
        = table.newest > table.watcher.copy().newestChange() && table.watcher.currentAt() <= table.newestStatedAt;
    if (!isBehind)
        return std::nullopt;
    const duration expected = table.fetchTime > duration::zero() ? table.fetchTime : duration(firstFetchTime);
    const duration elapsed = table.isFetching ? now - table.fetchStartedAt : duration::zero();
    return std::max<duration>(expected - elapsed, minFetchWait);
}

void table_exchange::handle(const http_exchange_ptr& exchange)
{
    const auto& headers = exchange->request().headers;
    const auto name = headers.find(tableHeader).value_or("");
    row_version after = 0;
    const auto text = headers.find(afterHeader).value_or("");
    const bool isNumber = std::from_chars(text.data(), text.data() + text.size(), after).ec == std::errc();
    const bool hasBase = headers.find(baseHeader) != "no";
    for (auto* table : { &m_configuration, &m_members }) {
        if (isNumber && table->watcher.table() == name && table->watcher.isRead())
            return send(exchange, *table->encoder.encode(after, hasBase));
    }
    exchange->respond({ { statusNotFound, {} }, "" });
}

void table_exchange::send(const http_exchange_ptr& exchange, const std::string& body)
{
    if (body.size() < minSlotBytes)
        return exchange->respond({ { 200, {} }, body });
    const auto slot = m_slots.begin(boot_clock::now());
    // The other node asks another one, which is sooner than a share of this node's link.
    if (!slot)
        return exchange->respond({ { statusBusy, {} }, "" });
    exchange->onClosed([this, slot] { m_slots.end(*slot); });
    exchange->onDrained([this, slot, exchange] {
        m_slots.end(*slot);
        exchange->finish();
    });
    exchange->start({ 200, { { "Content-Length", std::to_string(body.size()) } } });
    exchange->sendData(body);
}

void table_exchange::askReader()
{
    const auto now = boot_clock::now();
    if (!m_configuration.watcher.needsReader(now) && !m_members.watcher.needsReader(now))
        return;
    const std::size_t wanted = m_nextReader++ % place().readers();
    std::size_t position = 0;
    for (const auto& [node, peer] : m_directory.peers()) {
        if (!m_directory.isUnreachable(peer, now) && position++ == wanted)
            return m_hooks.ask(node);
    }
}

} // namespace heatherdrift
