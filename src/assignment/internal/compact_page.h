#pragma once

#include "assignment/internal/instance_table.h"
#include "store/page_row.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Takes 16 bytes instead of the 88 of a page_entry, so 98,304 partitions take 1.5 MB.
struct compact_entry {
    epoch number = 0;
    instance_index owner = 0;
    instance_index previousOwner = 0;
};

/// A hot or isolated key listed in a page, with its hash so that most lookups compare integers only.
struct page_key {
    std::uint64_t hash = 0;
    epoch number = 0; ///< Epoch at which the key was isolated; 0 for a hot key.
    std::string key;
};

struct compact_page {
    row_version version = 0;
    std::vector<compact_entry> entries;
    std::vector<page_key> keys;
    std::string operationId;

    compact_page(const versioned_page&, instance_interner&);

    /// The key's element in `keys`, or null.
    const page_key* findKey(std::uint64_t hash, std::string_view key) const;
    versioned_page toPage(const std::string& pool, std::uint32_t page, const instance_table&) const;
    std::size_t memoryBytes() const;
};

struct pool_pages {
    std::vector<std::shared_ptr<const compact_page>> ordinary; ///< By page number; null if not received.
    std::shared_ptr<const compact_page> hot;

    const compact_page* find(std::uint32_t page) const;
    void replace(std::uint32_t page, std::shared_ptr<const compact_page>);
};

} // namespace heatherdrift
