#include "http/http_client.h"

#include "base/event_handle.h"
#include "http/internal/client_connection.h"

#include <vector>

namespace heatherdrift {

namespace {

    class pooled_client;

    class pooled_call : public http_call, public std::enable_shared_from_this<pooled_call> {
    public:
        pooled_call(pooled_client& owner, event_base* base, http_call_handlers handlers)
            : m_owner(&owner)
            , m_handlers(std::move(handlers))
            , m_deadline(base, [this] { expire(); })
            , m_deferred(base, [this] { finishDeferred(); })
        {
        }

        void send(std::unique_ptr<client_connection>, const http_request&, time_point deadline);
        void failLater(failure reason) { endLater(std::move(reason)); }

        void cancel() override
        {
            // A handler that is running must not be destroyed, so the handlers stay until the call has ended.
            m_isCancelled = true;
            endLater(mayHaveRun(error_code::cancelled, "cancelled"));
        }
        void pause() override
        {
            if (m_connection)
                m_connection->setReading(false);
        }
        void resume() override
        {
            if (m_connection)
                m_connection->setReading(true);
        }
        const answer_matching& matching() const { return m_handlers.matching; }
        bool hasWritten() const override { return m_hasWritten || (m_connection && m_connection->hasWritten()); }

        /// The client is being destroyed; the call ends without calling a handler.
        void detach()
        {
            m_handlers = {};
            m_deadline.stop();
            m_deferred.stop();
            m_connection = nullptr;
            m_owner = nullptr;
        }

    private:
        failure connectionFailure(connection_end how) const
        {
            if (how == connection_end::silent) {
                const auto outcome = hasWritten() ? verdict::may_have_run : verdict::not_run;
                return { outcome, error_code::unreachable, m_server + " acknowledges nothing" };
            }
            if (how == connection_end::refused && !hasWritten())
                return notRun(error_code::connection_refused, "nothing listens at " + m_server);
            if (!hasWritten())
                return notRun(error_code::connection_failed, "cannot connect to " + m_server);
            if (how == connection_end::unmatched)
                return mayHaveRun(error_code::connection_lost, "an answer of " + m_server + " names no request");
            if (how == connection_end::excessive)
                return mayHaveRun(error_code::connection_lost, m_server + " sent too many bytes beside its answer");
            return mayHaveRun(error_code::connection_lost, "the connection to " + m_server + " was lost");
        }

        void expire()
        {
            const std::string message = "no whole answer from " + m_server + " before the deadline";
            endLater(hasWritten() ? mayHaveRun(error_code::deadline_exceeded, message)
                                  : notRun(error_code::deadline_exceeded, message));
        }

        void ended(connection_end how)
        {
            if (how == connection_end::whole)
                endLater(outcome::success());
            else
                endLater(connectionFailure(how));
        }

        /// Ends the call outside the connection's own callbacks, which must not see their connection freed.
        void endLater(result<void> how)
        {
            if (std::exchange(m_isEnding, true))
                return;
            // Whether bytes were written is decided here, so none may be written until the connection is closed.
            if (how.has_error() && m_connection)
                m_connection->halt();
            m_outcome = std::move(how);
            m_deferred.startOnce({});
        }

        void finishDeferred();

        pooled_client* m_owner;
        std::string m_server;
        http_call_handlers m_handlers;
        timer m_deadline;
        timer m_deferred;
        std::unique_ptr<client_connection> m_connection;
        bool m_hasWritten = false;
        bool m_isEnding = false;
        bool m_isCancelled = false;
        result<void> m_outcome = outcome::success();
    };

    class pooled_client : public http_client {
    public:
        pooled_client(event_base* base, endpoint server, const http_client_options& options)
            : m_base(base)
            , m_server(std::move(server))
            , m_options(options)
            , m_sweep(base, [this] { dropUnusable(); })
        {
        }

        ~pooled_client() override
        {
            const auto active = std::exchange(m_active, {});
            for (const auto& call : active)
                call->detach();
        }

        http_call_ptr start(http_request request, time_point deadline, http_call_handlers handlers) override
        {
            auto call = std::make_shared<pooled_call>(*this, m_base, std::move(handlers));
            m_active.push_back(call);
            auto connection = takeConnection(call->matching());
            if (connection)
                call->send(std::move(connection), request, deadline);
            else
                call->failLater(notRun(error_code::overloaded, "no connection to " + toString(m_server) + " is free"));
            return call;
        }

        int connectionCount() const override { return m_connectionCount; }
        int idleCount() const override { return static_cast<int>(m_idle.size()); }
        void setMaximumConnections(int count) override { m_options.maximumConnections = count; }
        std::uint64_t openedCount() const override { return m_opened; }
        const endpoint& server() const override { return m_server; }
        event_base* base() const override { return m_base; }

        /// Takes a connection back. One whose call did not end cleanly is closed, so that a late answer has nowhere to
        /// go.
        void giveBack(pooled_call& call, std::unique_ptr<client_connection> connection, bool isClean)
        {
            std::erase_if(m_active, [&](const auto& other) { return other.get() == &call; });
            if (!connection)
                return;
            if (!isClean || !connection->isReusable(boot_clock::now())) {
                --m_connectionCount;
                return;
            }
            connection->watchIdle([this] { m_sweep.startOnce({}); });
            m_idle.push_back(std::move(connection));
        }

    private:
        /// The most recently used connection is the least likely to be closed by the server at this moment.
        std::unique_ptr<client_connection> takeConnection(const answer_matching& matching)
        {
            dropUnusable();
            if (auto connection = takeIdle(matching))
                return connection;
            if (m_connectionCount >= m_options.maximumConnections && !m_idle.empty()) {
                m_idle.erase(m_idle.begin());
                --m_connectionCount;
            }
            if (m_connectionCount >= m_options.maximumConnections)
                return nullptr;
            auto connection = std::make_unique<client_connection>(m_base, m_server, m_options);
            ++m_connectionCount;
            ++m_opened;
            return connection;
        }

        std::unique_ptr<client_connection> takeIdle(const answer_matching& matching)
        {
            for (auto next = m_idle.size(); next-- > 0;) {
                if (!m_idle[next]->canMatch(matching))
                    continue;
                auto connection = std::move(m_idle[next]);
                m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(next));
                if (!connection->hasUnreadInput())
                    return connection;
                --m_connectionCount;
            }
            return nullptr;
        }

        void dropUnusable()
        {
            const auto now = boot_clock::now();
            m_connectionCount -= static_cast<int>(
                std::erase_if(m_idle, [&](const auto& connection) { return !connection->isReusable(now); }));
        }

        event_base* m_base;
        endpoint m_server;
        http_client_options m_options;
        int m_connectionCount = 0;
        std::uint64_t m_opened = 0;
        std::vector<std::unique_ptr<client_connection>> m_idle;
        timer m_sweep;
        std::vector<std::shared_ptr<pooled_call>> m_active;
    };

    void pooled_call::send(
        std::unique_ptr<client_connection> connection, const http_request& request, time_point deadline)
    {
        m_connection = std::move(connection);
        m_server = toString(m_owner->server());
        if (!m_connection->isUsable())
            return endLater(connectionFailure(connection_end::lost));
        m_deadline.startAt(deadline);
        m_connection->send(request,
            { [this](const http_response_head& head) {
                 if (m_handlers.onHead && !m_isEnding)
                     m_handlers.onHead(head);
             },
                [this](std::string_view data) {
                    if (m_handlers.onData && !m_isEnding)
                        m_handlers.onData(data);
                },
                m_handlers.matching, [this](connection_end how) { ended(how); } });
    }

    void pooled_call::finishDeferred()
    {
        const auto keepAlive = shared_from_this();
        const auto handlers = std::exchange(m_handlers, {});
        const auto how = m_outcome;
        m_hasWritten = hasWritten();
        m_deadline.stop();
        if (auto* owner = std::exchange(m_owner, nullptr))
            owner->giveBack(*this, std::move(m_connection), how.has_value());
        if (handlers.onDone && !m_isCancelled)
            handlers.onDone(how);
    }

} // namespace

std::unique_ptr<http_client> http_client::create(
    event_base* base, const endpoint& server, const http_client_options& options)
{
    return std::make_unique<pooled_client>(base, server, options);
}

std::unique_ptr<http_client> http_client::create(event_base* base, const endpoint& server, int maximumConnections)
{
    http_client_options options;
    options.maximumConnections = maximumConnections;
    return create(base, server, options);
}

http_call_ptr fetch(http_client& client, http_request request, time_point deadline, std::size_t bodyLimit,
    std::function<void(result<http_response>)> done)
{
    return fetchOwn(client, std::move(request), deadline, { bodyLimit }, {}, std::move(done));
}

namespace {

    constexpr std::size_t excessDivisor = 8; ///< A smaller excess is not worth a copy of the body.

    /// Collects the answer to one request.
    class collected_answer : public std::enable_shared_from_this<collected_answer> {
    public:
        collected_answer(const answer_memory& memory, std::function<void(result<http_response>)> done)
            : m_bodyLimit(memory.bodyLimit)
            , m_copies(memory.copies)
            , m_done(std::move(done))
        {
            if (memory.budget)
                m_share = memory.budget->openShare([this] { giveUp("the largest of all messages held"); });
        }

        http_call_handlers handlers(answer_matching matching)
        {
            http_call_handlers out;
            out.matching = std::move(matching);
            out.onHead = [self = shared_from_this()](const http_response_head& head) { self->setHead(head); };
            out.onData = [self = shared_from_this()](std::string_view data) { self->append(data); };
            out.onDone = [self = shared_from_this()](const result<void>& how) { self->end(how); };
            return out;
        }

        void setCall(const http_call_ptr& call) { m_call = call; }

    private:
        void setHead(const http_response_head& head) { m_response.head = head; }

        void append(std::string_view data)
        {
            if (m_isGivenUp)
                return;
            if (m_response.body.size() + data.size() > m_bodyLimit)
                return giveUp("more than " + std::to_string(m_bodyLimit) + " bytes");
            if (m_share && !m_share->grow(data.size() * m_copies))
                return giveUp("no memory for " + std::to_string(data.size()) + " more bytes");
            m_response.body.append(data);
        }

        /// The bytes are freed at once, since the call may end later.
        void giveUp(const std::string& reason)
        {
            if (std::exchange(m_isGivenUp, true))
                return;
            const auto keepAlive = shared_from_this();
            const auto received = std::to_string(m_response.body.size());
            freeText(m_response.body);
            m_share = nullptr;
            if (const auto call = m_call.lock())
                call->cancel();
            m_done(mayHaveRun(
                error_code::too_large, "answer given up after " + received + " bytes of its body: " + reason));
        }

        void end(const result<void>& how)
        {
            if (how.has_error())
                return m_done(how.error());
            // The copies of the body that are counted have its size, while it may have been allocated twice that.
            if (m_response.body.capacity() > m_response.body.size() + m_response.body.size() / excessDivisor)
                m_response.body.shrink_to_fit();
            if (m_share)
                m_share->complete();
            m_response.memory = std::move(m_share);
            m_done(std::move(m_response));
        }

        std::size_t m_bodyLimit;
        std::size_t m_copies;
        std::function<void(result<http_response>)> m_done;
        std::shared_ptr<byte_share> m_share;
        http_response m_response;
        std::weak_ptr<http_call> m_call;
        bool m_isGivenUp = false;
    };

} // namespace

http_call_ptr fetchOwn(http_client& client, http_request request, time_point deadline, const answer_memory& memory,
    answer_matching matching, std::function<void(result<http_response>)> done)
{
    const auto answer = std::make_shared<collected_answer>(memory, std::move(done));
    auto call = client.start(std::move(request), deadline, answer->handlers(std::move(matching)));
    answer->setCall(call);
    return call;
}

} // namespace heatherdrift
