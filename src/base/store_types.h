#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace heatherdrift {

/// Version of a stored row; grows with every write of the row; 0 means that the row does not exist.
///
/// A store that can come back from an older copy gives its own numbers out again. Its versions consist of the store's
/// era, which rises with each restore, and the store's number, so that versions of a later era are higher than all of
/// earlier ones. Numbers of different eras must not be compared without their eras.
using row_version = std::int64_t;

/// Number of restores of a store, as it states itself.
using store_era = std::int64_t;

/// Bits of the store's number; versions and the fencing tokens made from them stay exact in a JSON number (53 bits) for
/// 8,191 eras.
constexpr int storeNumberBits = 40;
constexpr store_era maxEra = 8191; ///< An era above it is not one that a store has stated.

constexpr row_version makeVersion(store_era era, std::int64_t number) { return (era << storeNumberBits) | number; }
constexpr store_era eraOf(row_version version) { return version >> storeNumberBits; }
constexpr std::int64_t numberOf(row_version version) { return version & ((std::int64_t { 1 } << storeNumberBits) - 1); }

struct row_key {
    std::string table;
    std::string key;

    auto operator<=>(const row_key&) const = default;
};

struct stored_row {
    row_key key;
    row_version version = 0;
    std::string value;

    bool operator==(const stored_row&) const = default;
};

/// Condition of a transaction: the row has exactly this version (0: it does not exist).
struct version_check {
    row_key key;
    row_version version = 0;

    bool operator==(const version_check&) const = default;
};

/// Write of a transaction, applied only if the row has the expected version (0: it does not exist).
struct row_write {
    row_key key;
    row_version expected = 0;
    std::string value;

    bool operator==(const row_write&) const = default;
};

/// All checks and writes take effect together or not at all.
struct store_transaction {
    std::string operationId;
    std::vector<version_check> checks;
    std::vector<row_write> writes;

    bool operator==(const store_transaction&) const = default;
};

/// The transaction took effect; rows in the order of its writes, with their new versions.
struct commit_receipt {
    std::vector<stored_row> rows;

    bool operator==(const commit_receipt&) const = default;
};

} // namespace heatherdrift
