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

/// Maximum number of instances that one transaction makes new owners. The transaction checks the version of each one's
/// membership row, and fails if any of these rows has changed.
constexpr std::size_t maximumSuccessors = 4;

/// Maximum length of a key that can have a hot partition. With 64 hot keys the page row stays under 10 KB.
constexpr std::size_t maximumHotKeyBytes = 128;

/// A partition and its new owner.
struct entry_assignment {
    partition_index partition = 0;
    instance_id successor;

    bool operator==(const entry_assignment&) const = default;
};

/// A change of one or two pages of a pool. It takes effect only if each page still has the version that is replaced and
/// each new owner's membership row still has the version that was checked.
struct page_edit {
    std::string operationId;
    /// New rows, each with the version that it replaces. The outcome is read from the first row.
    std::vector<versioned_page> pages;
    std::map<instance_id, row_version> memberVersions;

    bool operator==(const page_edit&) const = default;
};

/// Encoding of row keys and values, as defined by the store module.
struct row_codec {
    std::function<row_key(const instance_id&)> memberKey;
    std::function<row_key(const std::string& pool, std::uint32_t page)> pageKey;
    std::function<std::string(const page_row&)> pageText;
};

store_transaction toTransaction(const page_edit&, const row_codec&);

enum class edit_outcome {
    applied, ///< It took effect; other changes may have followed.
    not_applied, ///< It has not taken effect and never will.
    undecided, ///< It may still take effect.
};

/// Outcome of an edit whose response was lost, determined from the edit's first row as read afterwards (version 0 if
/// the row does not exist).
edit_outcome outcomeOf(const page_edit&, const versioned_page& readBack);

/// Representation of a page that does not exist yet: version 0 and entries without owners; no entries for
/// hotPageNumber.
versioned_page absentPage(const pool_configuration&, std::uint32_t page);

/// The functions below fail with verdict not_run: `conflict` if the given rows do not allow the change, `bad_request`
/// if the arguments do not match the page. The operation id must be unique.

/// Assigns partitions without an owner, or whose owner is gone (owner_status), to successors: initial assignment,
/// takeover and repair.
result<page_edit> assignOrphans(
    const versioned_page&, const std::vector<entry_assignment>&, const member_map&, std::string operationId);

/// Assigns partitions of the calling instance to successors. The caller must not admit requests for them from before
/// the commit until the outcome is known (planned_move).
result<page_edit> handOver(const versioned_page&, const instance_ref& self, const std::vector<entry_assignment>&,
    const member_map&, std::string operationId);

/// Assigns a hot partition to a key. The caller must own the key's ordinary partition; it becomes the owner of the hot
/// one.
result<page_edit> isolateKey(const pool_configuration&, const versioned_page& ordinary, const versioned_page& hot,
    const instance_ref& self, const std::string& key, const member_map&, std::string operationId);

/// Removes a key's hot partition, so that the key belongs to its ordinary partition again. The caller must own both.
result<page_edit> returnKey(const pool_configuration&, const versioned_page& ordinary, const versioned_page& hot,
    const instance_ref& self, const std::string& key, const member_map&, std::string operationId);

} // namespace heatherdrift
