#include "control/internal/replica_sync.h"

#include "configuration/configuration_store_rows.h"
#include "control/internal/wire_convert.h"
#include "store/member_row.h"
#include "store/page_row.h"

#include <algorithm>
#include <array>

namespace heatherdrift {

namespace {

    /// Digests differ briefly after each change; offers usually remove the difference within this time.
    constexpr duration differenceGracePeriod = std::chrono::milliseconds(300);
    constexpr duration compareInterval = std::chrono::milliseconds(500);
    /// If the row does not arrive within this time, it may be pulled from another neighbour.
    constexpr duration pullTimeout = std::chrono::milliseconds(500);
    /// Keeps an update well below the maximum frame size.
    constexpr std::size_t maxUpdateBytes = 256 * 1024;

    constexpr std::array<const char*, 3> replicatedTables { memberTable, pageTable, configurationTable };

    bool isReplicated(const std::string& table)
    {
        return std::ranges::any_of(replicatedTables, [&](const char* name) { return table == name; });
    }

} // namespace

replica_sync::replica_sync(peer_transport& transport, hooks callbacks)
    : m_transport(transport)
    , m_hooks(std::move(callbacks))
{
}

void replica_sync::setNeighbours(std::vector<peer_address> neighbours)
{
    m_neighbours = std::move(neighbours);
    const auto isNeighbour = [&](const instance_ref& instance) {
        return std::ranges::any_of(m_neighbours, [&](const auto& peer) { return peer.self == instance; });
    };
    std::erase_if(m_differsSince, [&](const auto& entry) { return !isNeighbour(entry.first); });
    std::erase_if(m_nextCompare, [&](const auto& entry) { return !isNeighbour(entry.first.first); });
}

void replica_sync::add(const std::vector<stored_row>& rows) { merge(rows, nullptr); }

wire::Digest replica_sync::digest() const
{
    wire::Digest value;
    value.__set_configurationVersion(m_configurationVersion);
    value.__set_pages(static_cast<std::int64_t>(m_rows.hashOf(pageTable)));
    value.__set_members(static_cast<std::int64_t>(m_rows.hashOf(memberTable)));
    return value;
}

void replica_sync::onDigest(const peer_address& from, const wire::Digest& theirs)
{
    const auto ours = digest();
    const bool differs = theirs != ours;
    if (!differs) {
        m_differsSince.erase(from.self);
        return;
    }
    const auto now = m_hooks.now();
    const auto since = m_differsSince.try_emplace(from.self, now).first->second;
    if (now < since + differenceGracePeriod)
        return;
    if (theirs.pages != ours.pages)
        compare(from, pageTable);
    if (theirs.members != ours.members)
        compare(from, memberTable);
    if (theirs.configurationVersion != ours.configurationVersion)
        compare(from, configurationTable);
}

bool replica_sync::onMessage(const peer_address& from, const wire::Message& message)
{
    if (message.__isset.offer)
        onOffer(from, message.offer);
    else if (message.__isset.pull)
        onPull(from, message.pull);
    else if (message.__isset.update)
        onUpdate(from, message.update);
    else if (message.__isset.compare)
        onCompare(from, message.compare);
    else if (message.__isset.digest)
        onDigest(from, message.digest);
    else
        return false;
    return true;
}

void replica_sync::onOffer(const peer_address& from, const wire::Offer& offered)
{
    const auto now = m_hooks.now();
    wire::Pull pull;
    for (const auto& entry : offered.rows) {
        const auto key = keyOf(entry);
        if (!isReplicated(key.table) || m_rows.versionOf(key) >= entry.version)
            continue;
        auto& [version, until] = m_pulls[key];
        if (version >= entry.version && now < until)
            continue;
        version = entry.version;
        until = now + pullTimeout;
        pull.rows.push_back(entry);
    }
    if (pull.rows.empty())
        return;
    wire::Message message;
    message.__set_pull(pull);
    m_transport.send(from, message);
}

void replica_sync::onPull(const peer_address& from, const wire::Pull& wanted)
{
    wire::Update update;
    std::size_t bytes = 0;
    const auto flush = [&] {
        if (update.rows.empty())
            return;
        wire::Message message;
        message.__set_update(update);
        m_transport.send(from, message);
        update = {};
        bytes = 0;
    };
    for (const auto& entry : wanted.rows) {
        const auto* row = m_rows.find(keyOf(entry));
        if (!row)
            continue;
        update.rows.push_back(toWire(*row));
        bytes += row->value.size();
        if (bytes >= maxUpdateBytes)
            flush();
    }
    flush();
}

void replica_sync::onUpdate(const peer_address& from, const wire::Update& update)
{
    std::vector<stored_row> rows;
    for (const auto& entry : update.rows) {
        if (isReplicated(entry.table) && entry.version > 0)
            rows.push_back(fromWire(entry));
    }
    merge(rows, &from.self);
}

void replica_sync::onCompare(const peer_address& from, const wire::Compare& theirs)
{
    if (!isReplicated(theirs.table) || theirs.bucketHashes.size() != replicaBuckets)
        return;
    bucket_hashes hashes {};
    std::ranges::transform(
        theirs.bucketHashes, hashes.begin(), [](std::int64_t value) { return static_cast<std::uint64_t>(value); });
    const auto keys = m_rows.differing(theirs.table, hashes);
    if (!keys.empty())
        offer(from, keys);
    // The peer may have rows that are missing here, so it gets the own hashes in turn.
    if (hashes != m_rows.bucketHashes(theirs.table))
        compare(from, theirs.table);
}

void replica_sync::merge(const std::vector<stored_row>& rows, const instance_ref* source)
{
    std::vector<stored_row> changed;
    std::vector<row_key> keys;
    for (const auto& row : rows) {
        if (!isReplicated(row.key.table) || !m_rows.merge(row))
            continue;
        m_pulls.erase(row.key);
        changed.push_back(row);
        keys.push_back(row.key);
    }
    if (changed.empty())
        return;
    for (const auto& neighbour : m_neighbours) {
        if (!source || neighbour.self != *source)
            offer(neighbour, keys);
    }
    m_hooks.changed(changed);
}

void replica_sync::offer(const peer_address& to, const std::vector<row_key>& keys)
{
    wire::Offer offered;
    for (const auto& key : keys)
        offered.rows.push_back(toWire(key, m_rows.versionOf(key)));
    wire::Message message;
    message.__set_offer(offered);
    m_transport.send(to, message);
}

void replica_sync::compare(const peer_address& to, const std::string& table)
{
    const auto now = m_hooks.now();
    auto& next = m_nextCompare[{ to.self, table }];
    if (now < next)
        return;
    next = now + compareInterval;
    wire::Compare hashes;
    hashes.__set_table(table);
    for (const auto hash : m_rows.bucketHashes(table))
        hashes.bucketHashes.push_back(static_cast<std::int64_t>(hash));
    wire::Message message;
    message.__set_compare(hashes);
    m_transport.send(to, message);
}

} // namespace heatherdrift
