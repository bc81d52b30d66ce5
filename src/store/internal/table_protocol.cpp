#include "store/table_protocol.h"

#include "base/json_reader.h"
#include "http/uri.h"

#include <algorithm>
#include <charconv>

namespace heatherdrift {

namespace {

    constexpr integer_range versionRange { 0, INT64_MAX };

    std::string dump(const json& document) { return document.dump(-1, ' ', false, json::error_handler_t::replace); }

    failure malformed(std::string message) { return notRun(error_code::bad_request, std::move(message)); }

    row_key readKey(json_reader& reader)
    {
        row_key key;
        reader.readString("table", key.table);
        reader.readString("key", key.key);
        if (key.table.empty() || key.key.empty())
            reader.reject("key", "expected a table and a key");
        return key;
    }

    result<version_check> parseCheck(const json& value, const std::string& path)
    {
        json_reader reader(value, path, error_code::bad_request);
        auto key = readKey(reader);
        version_check check { std::move(key), 0 };
        reader.readInteger("version", check.version, versionRange);
        BOOST_OUTCOME_TRY(reader.finish());
        return check;
    }

    result<row_write> parseWrite(const json& value, const std::string& path)
    {
        json_reader reader(value, path, error_code::bad_request);
        auto key = readKey(reader);
        row_write write { std::move(key), 0, {} };
        reader.readInteger("expected", write.expected, versionRange);
        reader.readString("value", write.value);
        BOOST_OUTCOME_TRY(reader.finish());
        return write;
    }

    json toJson(const stored_row& row)
    {
        json value { { "key", row.key.key }, { "version", row.version } };
        if (row.version != 0)
            value["value"] = row.value;
        return value;
    }

    result<stored_row> parseRow(const json& value, const std::string& path, const std::string& table)
    {
        json_reader reader(value, path, error_code::bad_request);
        stored_row row { { table, {} }, 0, {} };
        reader.readString("key", row.key.key);
        reader.readInteger("version", row.version, versionRange);
        if (row.version != 0)
            reader.readString("value", row.value);
        BOOST_OUTCOME_TRY(reader.finish());
        return row;
    }

    result<std::size_t> parseLimit(std::string_view text)
    {
        std::size_t limit = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), limit);
        if (error != std::errc() || end != text.data() + text.size() || limit == 0 || limit > maximumScanPartRows)
            return malformed("limit: expected an integer from 1 to " + std::to_string(maximumScanPartRows));
        return limit;
    }

} // namespace

std::string toTarget(const table_read_target& target)
{
    const auto rows = "/v1/tables/" + percentEncode(target.table) + "/rows";
    if (target.key)
        return rows + "/" + percentEncode(*target.key);
    return rows + "?after=" + percentEncode(target.after) + "&limit=" + std::to_string(target.limit);
}

result<table_read_target> parseReadTarget(std::string_view text)
{
    const auto parts = parseTarget(text);
    if (!parts)
        return malformed("malformed target");
    const auto& path = parts->path;
    const bool isRow = path.size() == 5 && !path.back().empty();
    if ((!isRow && path.size() != 4) || path[0] != "v1" || path[1] != "tables" || path[2].empty() || path[3] != "rows")
        return malformed("no such resource");
    table_read_target target { path[2], std::nullopt, {}, maximumScanPartRows };
    if (isRow)
        target.key = path[4];
    for (const auto& [name, value] : parts->query) {
        if (isRow || (name != "after" && name != "limit"))
            return malformed(name + ": unknown parameter");
        if (name == "after") {
            target.after = value;
            continue;
        }
        BOOST_OUTCOME_TRY(limit, parseLimit(value));
        target.limit = limit;
    }
    return target;
}

result<std::string> toJsonText(const store_transaction& transaction)
{
    auto checks = json::array();
    for (const auto& check : transaction.checks)
        checks.push_back({ { "table", check.key.table }, { "key", check.key.key }, { "version", check.version } });
    auto writes = json::array();
    for (const auto& write : transaction.writes)
        writes.push_back({ { "table", write.key.table }, { "key", write.key.key }, { "expected", write.expected },
            { "value", write.value } });
    const json document { { "operation", transaction.operationId }, { "checks", std::move(checks) },
        { "writes", std::move(writes) } };
    try {
        return document.dump();
    } catch (const json::type_error&) {
        return malformed("a text of the transaction is not UTF-8");
    }
}

result<store_transaction> parseTransaction(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    store_transaction transaction;
    reader.readString("operation", transaction.operationId);
    reader.readArray("checks", [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(check, parseCheck(value, path));
        transaction.checks.push_back(std::move(check));
        return outcome::success();
    });
    reader.readArray("writes", [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(write, parseWrite(value, path));
        transaction.writes.push_back(std::move(write));
        return outcome::success();
    });
    BOOST_OUTCOME_TRY(reader.finish());
    return transaction;
}

std::string toJsonText(const stored_row& row) { return dump(toJson(row)); }

result<stored_row> parseStoredRow(std::string_view text, const std::string& table)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    return parseRow(document, "", table);
}

std::string toJsonText(const table_scan_part& part)
{
    auto rows = json::array();
    for (const auto& row : part.rows)
        rows.push_back(toJson(row));
    return dump(json { { "rows", std::move(rows) }, { "more", part.hasMore } });
}

result<table_scan_part> parseScanPart(std::string_view text, const std::string& table)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    table_scan_part part;
    reader.readArray("rows", [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(row, parseRow(value, path, table));
        part.rows.push_back(std::move(row));
        return outcome::success();
    });
    reader.readBool("more", part.hasMore);
    BOOST_OUTCOME_TRY(reader.finish());
    return part;
}

std::string toJsonText(const std::string& operationId, const commit_receipt& receipt)
{
    auto versions = json::array();
    for (const auto& row : receipt.rows)
        versions.push_back(row.version);
    return dump({ { "operation", operationId }, { "versions", std::move(versions) } });
}

result<commit_receipt> parseReceipt(std::string_view text, const store_transaction& transaction)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    std::string operationId;
    commit_receipt receipt;
    reader.readString("operation", operationId);
    reader.readArray("versions", [&](const json& value, const std::string& path) -> result<void> {
        const auto index = receipt.rows.size();
        if (!value.is_number_integer() || index == transaction.writes.size())
            return malformed(path + ": unexpected version");
        const auto& write = transaction.writes[index];
        receipt.rows.push_back({ write.key, value.get<row_version>(), write.value });
        if (receipt.rows.back().version <= write.expected)
            return malformed(path + ": the version did not grow");
        return outcome::success();
    });
    BOOST_OUTCOME_TRY(reader.finish());
    if (operationId != transaction.operationId || receipt.rows.size() != transaction.writes.size())
        return malformed("the answer belongs to another transaction");
    return receipt;
}

std::string toConflictText(const version_check& found)
{
    return dump({ { "error", "conflict" }, { "table", found.key.table }, { "key", found.key.key },
        { "version", found.version } });
}

result<version_check> parseConflict(std::string_view text, const store_transaction& transaction)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    std::string error;
    version_check found;
    reader.readString("error", error);
    reader.readString("table", found.key.table);
    reader.readString("key", found.key.key);
    reader.readInteger("version", found.version, versionRange);
    BOOST_OUTCOME_TRY(reader.finish());
    const auto conflicts
        = [&](const row_key& key, row_version expected) { return key == found.key && expected != found.version; };
    const bool isPossible
        = std::ranges::any_of(transaction.checks, [&](const auto& c) { return conflicts(c.key, c.version); })
        || std::ranges::any_of(transaction.writes, [&](const auto& w) { return conflicts(w.key, w.expected); });
    if (error != "conflict" || !isPossible)
        return malformed("the answer belongs to another transaction");
    return found;
}

} // namespace heatherdrift
