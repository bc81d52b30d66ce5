#pragma once

#include "base/identifiers.h"
#include "store/table_store.h"

#include <string>
#include <vector>

namespace heatherdrift {

/// Partitions in one page of a pool. Hot partitions stand in a page of their own, hotPageNumber.
constexpr partition_index partitionsPerPage = 256;
constexpr std::uint32_t hotPageNumber = hotPartitionBase / partitionsPerPage;
/// Most hot keys of one pool that have a partition of their own.
constexpr std::size_t maximumHotKeys = 64;

/// Assignment of one partition. epoch 0: never assigned; an empty owner with a positive epoch: released.
struct page_entry {
    instance_ref owner;
    epoch number = 0;
    instance_ref previousOwner;

    bool operator==(const page_entry&) const = default;
};

/// A key that has a hot partition although its hash belongs to an ordinary one, with the epoch at which it got it.
struct isolated_key {
    std::string key;
    epoch number = 0;

    bool operator==(const isolated_key&) const = default;
};

/// Row of the table "pages": the assignments of partitionsPerPage consecutive partitions of a pool (fewer if the pool
/// has fewer). Entry i belongs to partition number * partitionsPerPage + i.
struct page_row {
    std::string pool;
    std::uint32_t number = 0;
    std::vector<page_entry> entries;
    /// Keys of the hot partitions, in the order of the entries, with an empty key for each unused one; empty on other
    /// pages.
    std::vector<std::string> hotKeys;
    std::string operationId; ///< Of the last write of the row.
    /// Keys of the page's partitions that have a hot partition; empty on the page of the hot partitions.
    std::vector<isolated_key> isolatedKeys {};

    partition_index firstPartition() const { return number * partitionsPerPage; }
    bool operator==(const page_row&) const = default;
};

struct versioned_page {
    row_version version = 0;
    page_row row;

    bool operator==(const versioned_page&) const = default;
};

constexpr const char* pageTable = "pages";

/// Key "pool/number".
row_key pageKey(const std::string& pool, std::uint32_t number);
/// Compact JSON: each instance is named once and entries refer to it.
std::string toJsonText(const page_row&);
/// Fails with `internal` if the text is not a page row.
result<page_row> parsePageRow(std::string_view text);

} // namespace heatherdrift
