#include "assignment/internal/compact_page.h"

#include "base/hash.h"

#include <algorithm>

namespace heatherdrift {

compact_page::compact_page(const versioned_page& page, instance_interner& interner)
    : version(page.version)
    , operationId(page.row.operationId)
{
    entries.reserve(page.row.entries.size());
    for (const auto& entry : page.row.entries)
        entries.push_back({ entry.number, interner.intern(entry.owner), interner.intern(entry.previousOwner) });
    keys.reserve(page.row.hotKeys.size() + page.row.isolatedKeys.size());
    for (const auto& key : page.row.hotKeys)
        keys.push_back({ hashBytes(key), 0, key });
    for (const auto& isolated : page.row.isolatedKeys)
        keys.push_back({ hashBytes(isolated.key), isolated.number, isolated.key });
}

const page_key* compact_page::findKey(std::uint64_t hash, std::string_view key) const
{
    // With at most maximumHotKeys elements, a linear scan of the hashes is fast enough.
    const auto found
        = std::ranges::find_if(keys, [&](const page_key& entry) { return entry.hash == hash && entry.key == key; });
    return found == keys.end() ? nullptr : &*found;
}

versioned_page compact_page::toPage(const std::string& pool, std::uint32_t page, const instance_table& instances) const
{
    versioned_page result;
    result.version = version;
    result.row.pool = pool;
    result.row.number = page;
    result.row.operationId = operationId;
    result.row.entries.reserve(entries.size());
    for (const auto& entry : entries)
        result.row.entries.push_back({ instances.at(entry.owner), entry.number, instances.at(entry.previousOwner) });
    for (const auto& entry : keys) {
        if (page == hotPageNumber)
            result.row.hotKeys.push_back(entry.key);
        else
            result.row.isolatedKeys.push_back({ entry.key, entry.number });
    }
    return result;
}

std::size_t compact_page::memoryBytes() const
{
    std::size_t bytes = sizeof(compact_page) + entries.capacity() * sizeof(compact_entry)
        + keys.capacity() * sizeof(page_key) + operationId.capacity();
    for (const auto& key : keys)
        bytes += key.key.capacity();
    return bytes;
}

const compact_page* pool_pages::find(std::uint32_t page) const
{
    if (page == hotPageNumber)
        return hot.get();
    return page < ordinary.size() ? ordinary[page].get() : nullptr;
}

void pool_pages::replace(std::uint32_t page, std::shared_ptr<const compact_page> content)
{
    if (page == hotPageNumber) {
        hot = std::move(content);
        return;
    }
    if (page >= ordinary.size())
        ordinary.resize(page + 1);
    ordinary[page] = std::move(content);
}

} // namespace heatherdrift
