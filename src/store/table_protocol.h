#pragma once

#include "store/table_store.h"

#include <string>
#include <string_view>

namespace heatherdrift {

/// Codec of the table service's HTTP API, version 1; docs/table-service.md describes it. The adapter and the stand-in
/// of the table service share it. Parse functions fail with `bad_request`.

/// One part of a scan.
struct table_scan_part {
    std::vector<stored_row> rows;
    bool hasMore = false;

    bool operator==(const table_scan_part&) const = default;
};

/// What a request reads: one row, or the rows of a table after a key.
struct table_read_target {
    std::string table;
    std::optional<std::string> key; ///< Empty for a scan.
    std::string after; ///< The scan begins after this key.
    std::size_t limit = 0; ///< Most rows in the answer to a scan.

    bool operator==(const table_read_target&) const = default;
};

constexpr const char* transactionTarget = "/v1/transactions";
constexpr std::size_t maximumScanPartRows = 500;

std::string toTarget(const table_read_target&);
result<table_read_target> parseReadTarget(std::string_view target);

/// Fails if a text of the transaction is not UTF-8, which JSON cannot carry.
result<std::string> toJsonText(const store_transaction&);
result<store_transaction> parseTransaction(std::string_view);

/// A row without its table; version 0 stands for no row. Stored values must be UTF-8.
std::string toJsonText(const stored_row&);
result<stored_row> parseStoredRow(std::string_view, const std::string& table);

std::string toJsonText(const table_scan_part&);
result<table_scan_part> parseScanPart(std::string_view, const std::string& table);

/// The answer to a transaction that took effect: the versions of its writes, in order.
std::string toJsonText(const std::string& operationId, const commit_receipt&);
/// Fails unless the answer belongs to the transaction.
result<commit_receipt> parseReceipt(std::string_view, const store_transaction&);

/// The answer to a transaction that did not match: the first such row with its present version.
std::string toConflictText(const version_check&);
/// Fails unless the answer can belong to the transaction.
result<version_check> parseConflict(std::string_view, const store_transaction&);

} // namespace heatherdrift
