#pragma once

#include "base/identifiers.h"
#include "configuration/configuration.h"
#include "store/page_row.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Ordinary partition of a key. The number of partitions is a power of two.
partition_index partitionOf(std::string_view key, std::uint32_t partitions);

constexpr std::uint32_t pageOf(partition_index index) { return index / partitionsPerPage; }
constexpr bool isHotPartition(partition_index index) { return index >= hotPartitionBase; }
/// Number of ordinary pages of a pool.
std::uint32_t pageCount(std::uint32_t partitions);
/// Number of entries of an ordinary page of a pool; 0 if the pool has no such page.
std::uint32_t pageSize(std::uint32_t partitions, std::uint32_t page);

/// Assignment of a partition. The pointers are valid while the map or a copy of it exists.
struct partition_view {
    partition_index index = 0;
    epoch number = 0;
    const instance_ref* owner = nullptr; ///< Null: no owner.
    const instance_ref* previousOwner = nullptr; ///< Null: no previous owner.

    bool isOwnedBy(const instance_ref& instance) const { return owner && *owner == instance; }
};

class instance_table;
struct pool_pages;

/// Immutable view of all pages that a node has received. Copies share their pages; replacing one page copies only that
/// page and the pool's list of pages.
class partition_map {
public:
    partition_map();

    /// Returns a view in which each given page replaces its older version; pages that are not newer are ignored. Rows
    /// written by one transaction must be passed together.
    partition_map with(std::span<const versioned_page>) const;

    /// Assignment of the key's hot partition if it has one, else of its ordinary partition. Empty if the pages in the
    /// view do not determine it.
    std::optional<partition_view> find(const pool_configuration&, std::string_view key) const;
    std::optional<partition_view> find(std::string_view pool, partition_index) const;

    /// Partitions owned by the instance, in ascending order.
    std::vector<partition_index> ownedBy(std::string_view pool, const instance_ref&) const;
    /// Calls the function for each partition in use, in ascending order; unused hot slots are skipped.
    void forEach(std::string_view pool, const std::function<void(const partition_view&)>&) const;
    /// Calls the function for each page, ordered by pool and number.
    void forEachPage(const std::function<void(const std::string& pool, std::uint32_t page, row_version)>&) const;

    /// Key of a hot partition; empty for ordinary partitions and unused slots.
    std::string hotKeyOf(std::string_view pool, partition_index) const;
    /// The stored row of a page.
    std::optional<versioned_page> page(const std::string& pool, std::uint32_t page) const;
    /// Estimated heap memory of the view in bytes.
    std::size_t memoryBytes() const;

private:
    const pool_pages* findPool(std::string_view) const;
    std::optional<partition_view> findHot(const pool_pages&, std::uint64_t hash, std::string_view key) const;
    void compact();

    std::map<std::string, std::shared_ptr<const pool_pages>, std::less<>> m_pools;
    std::shared_ptr<const instance_table> m_instances;
};

} // namespace heatherdrift
