#include "assignment/partition_map.h"

#include "assignment/internal/compact_page.h"
#include "base/hash.h"

namespace heatherdrift {

namespace {

    partition_view viewOf(const compact_page& page, partition_index index, const instance_table& instances)
    {
        const auto& entry = page.entries[index % partitionsPerPage];
        return { index, entry.number, instances.find(entry.owner), instances.find(entry.previousOwner) };
    }

    bool isUnusedSlot(const compact_page& page, std::uint32_t number, std::size_t position)
    {
        return number == hotPageNumber && (position >= page.keys.size() || page.keys[position].key.empty());
    }

    template <typename Function> void visitPages(const pool_pages& pages, Function function)
    {
        for (std::uint32_t i = 0; i < pages.ordinary.size(); ++i) {
            if (pages.ordinary[i])
                function(i, *pages.ordinary[i]);
        }
        if (pages.hot)
            function(hotPageNumber, *pages.hot);
    }

} // namespace

partition_index partitionOf(std::string_view key, std::uint32_t partitions)
{
    return static_cast<partition_index>(hashBytes(key) & (partitions - 1));
}

std::uint32_t pageCount(std::uint32_t partitions) { return (partitions + partitionsPerPage - 1) / partitionsPerPage; }

std::uint32_t pageSize(std::uint32_t partitions, std::uint32_t page)
{
    if (page >= pageCount(partitions))
        return 0;
    return std::min(partitionsPerPage, partitions - page * partitionsPerPage);
}

partition_map::partition_map()
    : m_instances(std::make_shared<const instance_table>())
{
}

const pool_pages* partition_map::findPool(std::string_view name) const
{
    const auto found = m_pools.find(name);
    return found == m_pools.end() ? nullptr : found->second.get();
}

partition_map partition_map::with(std::span<const versioned_page> pages) const
{
    partition_map next(*this);
    instance_interner interner(m_instances);
    for (const auto& page : pages) {
        auto& pool = next.m_pools[page.row.pool];
        const auto* existing = pool ? pool->find(page.row.number) : nullptr;
        if (page.row.number > hotPageNumber || (existing && existing->version >= page.version))
            continue;
        auto copy = pool ? std::make_shared<pool_pages>(*pool) : std::make_shared<pool_pages>();
        copy->replace(page.row.number, std::make_shared<const compact_page>(page, interner));
        pool = std::move(copy);
    }
    std::erase_if(next.m_pools, [](const auto& entry) { return !entry.second; });
    next.m_instances = interner.table();
    if (next.m_instances->needsCompaction())
        next.compact();
    return next;
}

void partition_map::compact()
{
    auto table = std::make_shared<instance_table>();
    instance_interner interner(table);
    for (auto& [name, pages] : m_pools) {
        auto copy = std::make_shared<pool_pages>();
        visitPages(*pages, [&, &pool = name](std::uint32_t number, const compact_page& page) {
            const auto row = page.toPage(pool, number, *m_instances);
            copy->replace(number, std::make_shared<const compact_page>(row, interner));
        });
        pages = std::move(copy);
    }
    auto compacted = std::make_shared<instance_table>(*interner.table());
    compacted->updateCompactionThreshold();
    m_instances = std::move(compacted);
}

// The rows of the ordinary and of the hot page arrive independently, so either may be outdated. Every change of a key's
// partition or owner raises the key's epoch, so if the rows disagree, the one with the higher epoch is the later one.
// The epoch of the ordinary page is that of the partition if the page does not list the key, and that of the key's
// isolation if it does. In the latter case a lower epoch on the hot page comes from an earlier isolation, so the owner
// is unknown.
std::optional<partition_view> partition_map::find(const pool_configuration& pool, std::string_view key) const
{
    const auto* pages = findPool(pool.name);
    if (!pages)
        return std::nullopt;
    const auto hash = hashBytes(key);
    const auto index = static_cast<partition_index>(hash & (pool.partitions - 1));
    const auto* ordinary = pages->find(pageOf(index));
    if (ordinary && ordinary->entries.size() != pageSize(pool.partitions, pageOf(index)))
        return std::nullopt;

    const auto* isolated = ordinary ? ordinary->findKey(hash, key) : nullptr;
    std::optional<partition_view> found;
    if (ordinary && !isolated)
        found = viewOf(*ordinary, index, *m_instances);
    const auto minHotEpoch = isolated ? isolated->number : found ? found->number : 0;
    const auto hot = findHot(*pages, hash, key);
    return hot && hot->number >= minHotEpoch ? hot : found;
}

std::optional<partition_view> partition_map::findHot(
    const pool_pages& pages, std::uint64_t hash, std::string_view key) const
{
    const auto* hotKey = pages.hot && !key.empty() ? pages.hot->findKey(hash, key) : nullptr;
    if (!hotKey)
        return std::nullopt;
    const auto slot = static_cast<partition_index>(hotKey - pages.hot->keys.data());
    if (slot >= pages.hot->entries.size())
        return std::nullopt;
    return viewOf(*pages.hot, hotPartitionBase + slot, *m_instances);
}

std::optional<partition_view> partition_map::find(std::string_view pool, partition_index index) const
{
    const auto* pages = findPool(pool);
    const auto* page = pages ? pages->find(pageOf(index)) : nullptr;
    if (!page || index % partitionsPerPage >= page->entries.size())
        return std::nullopt;
    return viewOf(*page, index, *m_instances);
}

std::vector<partition_index> partition_map::ownedBy(std::string_view pool, const instance_ref& instance) const
{
    std::vector<partition_index> owned;
    const auto* pages = findPool(pool);
    const auto owner = m_instances->indexOf(instance);
    if (!pages || owner == 0)
        return owned;
    visitPages(*pages, [&](std::uint32_t number, const compact_page& page) {
        for (std::size_t i = 0; i < page.entries.size(); ++i) {
            if (page.entries[i].owner == owner)
                owned.push_back(number * partitionsPerPage + static_cast<partition_index>(i));
        }
    });
    return owned;
}

void partition_map::forEach(std::string_view pool, const std::function<void(const partition_view&)>& function) const
{
    const auto* pages = findPool(pool);
    if (!pages)
        return;
    visitPages(*pages, [&](std::uint32_t number, const compact_page& page) {
        for (std::size_t i = 0; i < page.entries.size(); ++i) {
            if (!isUnusedSlot(page, number, i))
                function(viewOf(page, number * partitionsPerPage + static_cast<partition_index>(i), *m_instances));
        }
    });
}

void partition_map::forEachPage(
    const std::function<void(const std::string&, std::uint32_t, row_version)>& function) const
{
    for (const auto& [name, pages] : m_pools) {
        visitPages(*pages, [&, &pool = name](std::uint32_t number, const compact_page& page) {
            function(pool, number, page.version);
        });
    }
}

std::string partition_map::hotKeyOf(std::string_view pool, partition_index index) const
{
    const auto* pages = findPool(pool);
    if (!pages || !pages->hot || pageOf(index) != hotPageNumber)
        return {};
    const auto slot = index - hotPartitionBase;
    return slot < pages->hot->keys.size() ? pages->hot->keys[slot].key : std::string();
}

std::optional<versioned_page> partition_map::page(const std::string& pool, std::uint32_t number) const
{
    const auto* pages = findPool(pool);
    const auto* page = pages ? pages->find(number) : nullptr;
    if (!page)
        return std::nullopt;
    return page->toPage(pool, number, *m_instances);
}

std::size_t partition_map::memoryBytes() const
{
    std::size_t bytes = m_instances->memoryBytes();
    for (const auto& [name, pages] : m_pools) {
        bytes += sizeof(pool_pages) + name.capacity() + pages->ordinary.capacity() * sizeof(pages->hot);
        visitPages(*pages, [&](std::uint32_t, const compact_page& page) { bytes += page.memoryBytes(); });
    }
    return bytes;
}

} // namespace heatherdrift
