#include "control/row_replica.h"

#include "base/hash.h"

namespace heatherdrift {

namespace {

    std::size_t bucketOf(const std::string& key) { return hashBytes(key) % replicaBuckets; }

    std::uint64_t rowHash(const stored_row& row)
    {
        return hashBytes(row.key.key, static_cast<std::uint64_t>(row.version));
    }

} // namespace

bool row_replica::merge(const stored_row& row)
{
    auto& table = m_tables[row.key.table];
    auto [found, isNew] = table.rows.try_emplace(row.key.key);
    auto& existing = found->second;
    if (!isNew && existing.version >= row.version)
        return false;
    // Row hashes are combined with XOR, so that one row can be replaced without rehashing the others.
    auto& bucket = table.buckets[bucketOf(row.key.key)];
    if (!isNew)
        bucket ^= rowHash(existing);
    m_bytes += row.value.size();
    m_bytes -= existing.value.size();
    existing = row;
    bucket ^= rowHash(existing);
    return true;
}

const stored_row* row_replica::find(const row_key& key) const
{
    const auto table = m_tables.find(key.table);
    if (table == m_tables.end())
        return nullptr;
    const auto row = table->second.rows.find(key.key);
    return row == table->second.rows.end() ? nullptr : &row->second;
}

row_version row_replica::versionOf(const row_key& key) const
{
    const auto* row = find(key);
    return row ? row->version : 0;
}

std::vector<const stored_row*> row_replica::rows(const std::string& table) const
{
    std::vector<const stored_row*> found;
    const auto copy = m_tables.find(table);
    if (copy == m_tables.end())
        return found;
    for (const auto& [key, row] : copy->second.rows)
        found.push_back(&row);
    return found;
}

std::uint64_t row_replica::hashOf(const std::string& table) const
{
    std::uint64_t hash = 0;
    for (const auto bucket : bucketHashes(table))
        hash ^= bucket;
    return hash;
}

bucket_hashes row_replica::bucketHashes(const std::string& table) const
{
    const auto copy = m_tables.find(table);
    return copy == m_tables.end() ? bucket_hashes {} : copy->second.buckets;
}

std::vector<row_key> row_replica::differing(const std::string& table, const bucket_hashes& other) const
{
    std::vector<row_key> keys;
    const auto copy = m_tables.find(table);
    if (copy == m_tables.end())
        return keys;
    for (const auto& [key, row] : copy->second.rows) {
        const auto bucket = bucketOf(key);
        if (copy->second.buckets[bucket] != other[bucket])
            keys.push_back(row.key);
    }
    return keys;
}

} // namespace heatherdrift
