#pragma once

#include "assignment/partition_map.h"
#include "assignment/pool_member.h"
#include "base/failure.h"
#include "store/page_row.h"
#include "store/table_store.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace heatherdrift {

/// Most instances that one transaction names as new owners. Each is a check of the transaction, and a change of any of
/// their membership rows makes the transaction fail.
constexpr std::size_t maximumSuccessors = 4;

/// Longest key that can have a hot partition; with 64 hot keys the page row stays under 10 KB.
constexpr std::size_t maximumHotKeyBytes = 128;

/// A partition and the instance that is to own it.
struct entry_assignment {
    partition_index partition = 0;
    instance_id successor;

    bool operator==(const entry_assignment&) const = default;
};

/// A change of one or two pages of a pool. It takes effect only if each page has the version that it replaces and each
/// instance named as a new owner has the membership row that was examined.
struct page_edit {
    std::string operationId;
    /// New rows, each with the version that it replaces. The first row shows the outcome.
    std::vector<versioned_page> pages;
    std::map<instance_id, row_version> memberVersions;

    bool operator==(const page_edit&) const = default;
};

/// Keys and texts of rows, as the store module defines them.
struct row_codec {
    std::function<row_key(const instance_id&)> memberKey;
    std::function<row_key(const std::string& pool, std::uint32_t page)> pageKey;
    std::function<std::string(const page_row&)> pageText;
};

store_transaction toTransaction(const page_edit&, const row_codec&);

enum class edit_outcome {
    applied, ///< It took effect; later changes may have followed.
    not_applied, ///< It has not taken effect and never will.
    undecided, ///< It may still take effect.
};

/// Outcome of an edit whose answer was lost, by a row read afterwards with the pool and number of the edit's first row;
/// version 0 if there is none.
edit_outcome outcomeOf(const page_edit&, const versioned_page& readBack);

/// A page that does not exist yet: version 0 and entries without owners; no entries for hotPageNumber.
versioned_page absentPage(const pool_configuration&, std::uint32_t page);

/// The functions below fail with verdict not_run: `conflict` if the rows known to the caller forbid the change,
/// `bad_request` if the arguments do not fit the page. The operation id must be unique.

/// Gives partitions without an owner, or whose owner is gone, to successors: initial assignment, takeover and repair.
result<page_edit> assignOrphans(
    const versioned_page&, const std::vector<entry_assignment>&, const member_map&, std::string operationId);

/// Gives partitions of the calling instance to successors. The caller admits no requests for them from before the
/// commit until the outcome is known (planned_move).
result<page_edit> handOver(const versioned_page&, const instance_ref& self, const std::vector<entry_assignment>&,
    const member_map&, std::string operationId);

/// Gives a key a hot partition. The caller owns the key's ordinary partition, and owns the hot one afterwards.
result<page_edit> isolateKey(const pool_configuration&, const versioned_page& ordinary, const versioned_page& hot,
    const instance_ref& self, const std::string& key, const member_map&, std::string operationId);

/// Ends a key's hot partition. The caller owns both the hot and the ordinary partition.
result<page_edit> returnKey(const pool_configuration&, const versioned_page& ordinary, const versioned_page& hot,
    const instance_ref& self, const std::string& key, const member_map&, std::string operationId);

} // namespace heatherdrift
