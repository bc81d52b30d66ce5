#include "store/http_table_store.h"

#include "http/uri.h"
#include "store/internal/server_group.h"
#include "store/table_protocol.h"

namespace heatherdrift {

namespace {

    /// Rows of the largest table that scan() returns; far above the 690 members of the design target.
    constexpr std::size_t maximumScannedRows = 100000;

    using read_function = std::function<void(result<std::optional<stored_row>>)>;
    using scan_function = std::function<void(result<std::vector<stored_row>>)>;
    using commit_function = std::function<void(result<commit_receipt>)>;

    failure unavailable(const std::string& reason)
    {
        return notRun(error_code::store_unavailable, "table service: " + reason);
    }

    failure lost(const std::string& reason)
    {
        return mayHaveRun(error_code::store_unavailable, "table service: " + reason);
    }

    std::string statusText(const http_response& response) { return "status " + std::to_string(response.head.status); }

    result<std::optional<stored_row>> readAnswer(const row_key& key, const result<http_response>& response)
    {
        if (response.has_error())
            return unavailable(response.error().message);
        const int status = response.value().head.status;
        if (status != 200 && status != 404)
            return unavailable(statusText(response.value()));
        const auto row = parseStoredRow(response.value().body, key.table);
        if (row.has_error())
            return unavailable(row.error().message);
        // A 404 that does not name the row comes from something else than the table, such as a wrong address.
        if (row.value().key != key || (row.value().version == 0) != (status == 404))
            return unavailable("the answer belongs to another row");
        if (status == 404)
            return std::optional<stored_row>();
        return std::optional<stored_row>(row.value());
    }

    result<commit_receipt> commitAnswer(const store_transaction& transaction, const result<http_response>& response)
    {
        if (response.has_error())
            return failure { response.error().outcome, error_code::store_unavailable,
                "table service: " + response.error().message };
        const auto& answer = response.value();
        if (answer.head.status == 200) {
            const auto receipt = parseReceipt(answer.body, transaction);
            return receipt.has_value() ? receipt : lost(receipt.error().message);
        }
        if (answer.head.status == 409) {
            const auto found = parseConflict(answer.body, transaction);
            if (found.has_error())
                return lost(found.error().message);
            const auto& [key, version] = found.value();
            return notRun(
                error_code::conflict, "row " + key.table + "/" + key.key + " has version " + std::to_string(version));
        }
        if (answer.head.headers.find("heatherdrift-verdict") == toString(verdict::not_run))
            return unavailable(statusText(answer));
        return lost(statusText(answer));
    }

    class http_table_store : public table_store {
    public:
        http_table_store(event_base* base, const http_table_store_settings& settings)
            : m_settings(settings)
            , m_servers(base, settings.servers, settings.connectionsPerServer)
            , m_later(base)
        {
        }

        void read(row_key key, time_point deadline, read_function done) override
        {
            http_request request;
            request.target = toTarget({ key.table, key.key, {}, 0 });
            m_servers.send(std::move(request), server_group::repeat::always, deadline, m_settings.answerBytes,
                [key = std::move(key), done = std::move(done)](
                    const result<http_response>& response) { done(readAnswer(key, response)); });
        }

        void scan(std::string table, time_point deadline, scan_function done) override
        {
            scanOn(std::make_shared<scan_state>(scan_state { std::move(table), deadline, std::move(done), {} }));
        }

        void commit(store_transaction transaction, time_point deadline, commit_function done) override
        {
            auto body = toJsonText(transaction);
            if (body.has_error())
                return failLater(done, body.error());
            if (body.value().size() > m_settings.transactionBytes)
                return failLater(done,
                    notRun(error_code::too_large,
                        "the transaction has more than " + std::to_string(m_settings.transactionBytes) + " bytes"));
            http_request request { "POST", transactionTarget, { { "Content-Type", "application/json" } },
                std::move(body).value() };
            m_servers.send(std::move(request), server_group::repeat::if_not_written, deadline, m_settings.answerBytes,
                [transaction = std::move(transaction), done = std::move(done)](
                    const result<http_response>& response) { done(commitAnswer(transaction, response)); });
        }

    private:
        struct scan_state {
            std::string table;
            time_point deadline;
            scan_function done;
            std::vector<stored_row> rows;
        };

        void scanOn(const std::shared_ptr<scan_state>& state)
        {
            http_request request;
            const auto after = state->rows.empty() ? std::string() : state->rows.back().key.key;
            request.target = toTarget({ state->table, std::nullopt, after, m_settings.scanPartRows });
            m_servers.send(std::move(request), server_group::repeat::always, state->deadline, m_settings.answerBytes,
                [this, state](const result<http_response>& response) {
                    const auto hasMore = addPart(*state, response);
                    if (hasMore.has_error())
                        state->done(hasMore.error());
                    else if (hasMore.value())
                        scanOn(state);
                    else
                        state->done(std::move(state->rows));
                });
        }

        /// Adds the rows of one answer; returns whether more follow.
        static result<bool> addPart(scan_state& state, const result<http_response>& response)
        {
            if (response.has_error())
                return unavailable(response.error().message);
            if (response.value().head.status != 200)
                return unavailable(statusText(response.value()));
            const auto part = parseScanPart(response.value().body, state.table);
            if (part.has_error())
                return unavailable(part.error().message);
            if (part.value().rows.empty() && part.value().hasMore)
                return unavailable("an empty part of a scan is not the last");
            for (const auto& row : part.value().rows) {
                // Keys that do not grow would make the scan repeat rows, or never end.
                if (row.version == 0 || (!state.rows.empty() && row.key <= state.rows.back().key))
                    return unavailable("the rows of a scan are not in order");
                if (state.rows.size() == maximumScannedRows)
                    return unavailable("the table has more than " + std::to_string(maximumScannedRows) + " rows");
                state.rows.push_back(row);
            }
            return part.value().hasMore;
        }

        void failLater(const commit_function& done, failure reason)
        {
            m_later.after({}, [done, reason = std::move(reason)] { done(reason); });
        }

        http_table_store_settings m_settings;
        server_group m_servers;
        delayed_calls m_later;
    };

} // namespace

std::unique_ptr<table_store> makeHttpTableStore(event_base* base, const http_table_store_settings& settings)
{
    return std::make_unique<http_table_store>(base, settings);
}

} // namespace heatherdrift
