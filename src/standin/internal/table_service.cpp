#include "standin/internal/responses.h"
#include "standin/internal/store_gate.h"
#include "store/table_protocol.h"

#include <map>
#include <set>

namespace heatherdrift {

namespace {

    constexpr std::size_t transactionBytes = 4 << 20;

    /// Rows with versions and transactions over them.
    class stored_tables {
    public:
        http_response read(const table_read_target& target) const
        {
            if (!target.key)
                return jsonTextResponse(200, toJsonText(scan(target)));
            const auto row = find({ target.table, *target.key });
            return jsonTextResponse(row.version == 0 ? 404 : 200, toJsonText(row));
        }

        http_response commit(const store_transaction& transaction)
        {
            if (const auto found = findConflict(transaction)) {
                auto response = jsonTextResponse(409, toConflictText(*found));
                response.head.headers.add("heatherdrift-verdict", std::string(toString(verdict::not_run)));
                return response;
            }
            commit_receipt receipt;
            for (const auto& write : transaction.writes) {
                // One count for all rows: nobody may rely on versions without gaps.
                receipt.rows.push_back({ write.key, ++m_lastVersion, write.value });
                m_rows[write.key] = receipt.rows.back();
            }
            return jsonTextResponse(200, toJsonText(transaction.operationId, receipt));
        }

    private:
        stored_row find(const row_key& key) const
        {
            const auto found = m_rows.find(key);
            return found == m_rows.end() ? stored_row { key, 0, {} } : found->second;
        }

        table_scan_part scan(const table_read_target& target) const
        {
            table_scan_part part;
            for (auto row = m_rows.upper_bound({ target.table, target.after });
                 row != m_rows.end() && row->first.table == target.table; ++row) {
                part.hasMore = part.rows.size() == target.limit;
                if (part.hasMore)
                    break;
                part.rows.push_back(row->second);
            }
            return part;
        }

        std::optional<version_check> findConflict(const store_transaction& transaction) const
        {
            const auto differs
                = [this](const row_key& key, row_version version) { return find(key).version != version; };
            for (const auto& check : transaction.checks) {
                if (differs(check.key, check.version))
                    return version_check { check.key, find(check.key).version };
            }
            for (const auto& write : transaction.writes) {
                if (differs(write.key, write.expected))
                    return version_check { write.key, find(write.key).version };
            }
            return std::nullopt;
        }

        std::map<row_key, stored_row> m_rows;
        row_version m_lastVersion = 0;
    };

    result<store_operation> parseCommit(stored_tables& tables, const http_request& request)
    {
        BOOST_OUTCOME_TRY(transaction, parseTransaction(request.body.text()));
        store_operation operation { true, static_cast<double>(transaction.writes.size()), {}, {} };
        std::set<row_key> written;
        for (const auto& write : transaction.writes) {
            if (!written.insert(write.key).second)
                return notRun(error_code::bad_request, "a row is written twice");
            operation.tables.push_back(write.key.table);
        }
        for (const auto& check : transaction.checks)
            operation.tables.push_back(check.key.table);
        operation.run = [&tables, transaction = std::move(transaction)] { return tables.commit(transaction); };
        return operation;
    }

    result<store_operation> parseRead(const stored_tables& tables, const http_request& request)
    {
        BOOST_OUTCOME_TRY(target, parseReadTarget(request.target));
        return store_operation { false, 1, { target.table }, [&tables, target] { return tables.read(target); } };
    }

    class table_service : public store_gate {
    public:
        table_service(event_base* base, const store_service_settings& settings)
            : store_gate(
                base, settings, transactionBytes, [this](const http_request& request) { return parse(request); })
        {
        }

    private:
        result<store_operation> parse(const http_request& request)
        {
            if (request.method == "GET")
                return parseRead(m_tables, request);
            if (request.method == "POST" && request.target == transactionTarget)
                return parseCommit(m_tables, request);
            return notRun(error_code::not_found, "no such resource");
        }

        stored_tables m_tables;
    };

} // namespace

result<std::unique_ptr<store_service>> startTableService(event_base* base, const store_service_settings& settings)
{
    auto service = std::make_unique<table_service>(base, settings);
    BOOST_OUTCOME_TRY(service->listen(settings));
    return std::unique_ptr<store_service>(std::move(service));
}

} // namespace heatherdrift
