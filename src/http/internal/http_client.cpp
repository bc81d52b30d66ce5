#include "http/http_client.h"

#include "base/event_handle.h"
#include "http/internal/evhttp_support.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <sys/socket.h>
#include <vector>

namespace heatherdrift {

namespace {

    constexpr ev_ssize_t headerLimitBytes = 64 * 1024;
    /// Above every deadline: deadlines are kept by a timer of the call, not by the library.
    constexpr int libraryTimeoutSeconds = 24 * 3600;

    struct connection_deleter {
        void operator()(evhttp_connection* value) const { evhttp_connection_free(value); }
    };

    using connection_handle = std::unique_ptr<evhttp_connection, connection_deleter>;

    /// Closes with a reset. Otherwise the kernel may deliver the rest of an abandoned request long after its caller was
    /// told
    /// how the request ended.
    void discardUnsent(int descriptor)
    {
        const linger option { 1, 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    }

    /// Whether the end of the body can be told from a lost connection (RFC 9112, section 6.3).
    bool hasFramedBody(evhttp_request* native, std::string_view method)
    {
        const int status = evhttp_request_get_response_code(native);
        if (method == "HEAD" || status == 204 || status == 304)
            return true;
        const auto* headers = evhttp_request_get_input_headers(native);
        return evhttp_find_header(headers, "Content-Length") || evhttp_find_header(headers, "Transfer-Encoding");
    }

    /// Headers such as Transfer-Encoding have done their work here; passed on, they would contradict the framing of the
    /// next hop.
    http_headers withoutHopByHop(const http_headers& headers)
    {
        http_headers kept;
        for (const auto& [name, value] : headers.fields()) {
            if (!isHopByHopHeader(name))
                kept.add(name, value);
        }
        return kept;
    }

    class evhttp_client;

    class evhttp_call : public http_call, public std::enable_shared_from_this<evhttp_call> {
    public:
        evhttp_call(evhttp_client& owner, event_base* base, std::string method, http_call_handlers handlers)
            : m_owner(&owner)
            , m_method(std::move(method))
            , m_handlers(std::move(handlers))
            , m_deadline(base, [this] { expire(); })
            , m_deferred(base, [this] { finishDeferred(); })
        {
        }

        void send(connection_handle connection, http_request request, time_point deadline);
        void failLater(failure reason) { endLater(std::move(reason)); }

        void cancel() override
        {
            m_handlers = {};
            if (!m_isEnding)
                endLater(mayHaveRun(error_code::cancelled, "cancelled"));
        }
        void pause() override { setReading(false); }
        void resume() override { setReading(true); }
        bool hasWritten() const override { return m_hasWritten; }

        /// The client is being destroyed; the call ends without calling a handler.
        void detach()
        {
            m_handlers = {};
            stop();
            m_owner = nullptr;
        }

    private:
        void setReading(bool isReading)
        {
            if (!m_connection)
                return;
            auto* stream = evhttp_connection_get_bufferevent(m_connection.get());
            if (isReading)
                bufferevent_enable(stream, EV_READ);
            else
                bufferevent_disable(stream, EV_READ);
        }

        void watch()
        {
            auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection.get()));
            m_outputWatch = evbuffer_add_cb(output, &evhttp_call::outputChanged, this);
        }

        void unwatch()
        {
            auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(m_connection.get()));
            if (m_outputWatch)
                evbuffer_remove_cb_entry(output, std::exchange(m_outputWatch, nullptr));
        }

        static void outputChanged(evbuffer*, const evbuffer_cb_info* info, void* argument)
        {
            // Bytes that leave the buffer were handed to the kernel, or discarded with a broken connection; both count
            // as written, because the two cannot be told apart here.
            if (info->n_deleted > 0)
                static_cast<evhttp_call*>(argument)->m_hasWritten = true;
        }

        static int headReceived(evhttp_request* native, void* argument)
        {
            auto& self = *static_cast<evhttp_call*>(argument);
            if (!hasFramedBody(native, self.m_method)) {
                self.endLater(mayHaveRun(error_code::connection_lost, "the answer does not say where its body ends"));
                return 0;
            }
            if (const auto call = self.m_handlers.onHead)
                call({ evhttp_request_get_response_code(native),
                    withoutHopByHop(readHeaders(evhttp_request_get_input_headers(native))) });
            return 0;
        }

        static void dataReceived(evhttp_request* native, void* argument)
        {
            auto& self = *static_cast<evhttp_call*>(argument);
            auto* input = evhttp_request_get_input_buffer(native);
            const auto size = evbuffer_get_length(input);
            const auto* data = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
            if (const auto call = self.m_handlers.onData; call && !self.m_isEnding)
                call({ data, size });
        }

        static void completed(evhttp_request* native, void* argument)
        {
            auto& self = *static_cast<evhttp_call*>(argument);
            self.m_native = nullptr;
            if (self.m_isEnding)
                return;
            if (native && evhttp_request_get_response_code(native) != 0)
                self.endLater(outcome::success());
            else
                self.endLater(self.connectionFailure());
        }

        failure connectionFailure() const
        {
            if (!m_hasWritten)
                return notRun(error_code::connection_failed, "cannot connect to " + m_server);
            return mayHaveRun(error_code::connection_lost, "the connection to " + m_server + " was lost");
        }

        void expire()
        {
            if (m_isEnding)
                return;
            const std::string message = "no whole answer from " + m_server + " before the deadline";
            endLater(m_hasWritten ? mayHaveRun(error_code::deadline_exceeded, message)
                                  : notRun(error_code::deadline_exceeded, message));
        }

        /// Ends the call outside evhttp's own callbacks, which must not see their connection freed.
        void endLater(result<void> how)
        {
            if (std::exchange(m_isEnding, true))
                return;
            m_outcome = std::move(how);
            m_deferred.startOnce({});
        }

        void finishDeferred()
        {
            const auto handlers = std::move(m_handlers);
            m_handlers = {};
            const auto keepAlive = shared_from_this();
            const auto how = m_outcome;
            stop();
            if (handlers.onDone)
                handlers.onDone(how);
        }

        void stop();

        evhttp_client* m_owner;
        std::string m_method;
        std::string m_server;
        http_call_handlers m_handlers;
        timer m_deadline;
        timer m_deferred;
        connection_handle m_connection;
        evhttp_request* m_native = nullptr;
        evbuffer_cb_entry* m_outputWatch = nullptr;
        bool m_hasWritten = false;
        bool m_isEnding = false;
        result<void> m_outcome = outcome::success();
    };

    class evhttp_client : public http_client {
    public:
        evhttp_client(event_base* base, endpoint server, int maximumConnections)
            : m_base(base)
            , m_server(std::move(server))
            , m_maximumConnections(maximumConnections)
            , m_dispose(base, [this] { m_disposed.clear(); })
        {
        }

        ~evhttp_client() override
        {
            const auto active = m_active;
            for (const auto& call : active)
                call->detach();
        }

        http_call_ptr start(http_request request, time_point deadline, http_call_handlers handlers) override
        {
            auto call = std::make_shared<evhttp_call>(*this, m_base, request.method, std::move(handlers));
            m_active.push_back(call);
            if (!toCommand(request.method)) {
                call->failLater(notRun(error_code::bad_request, "method " + request.method + " is not supported"));
                return call;
            }
            auto connection = takeConnection();
            if (!connection) {
                call->failLater(notRun(error_code::overloaded, "no connection to " + toString(m_server) + " is free"));
                return call;
            }
            call->send(std::move(connection), std::move(request), deadline);
            return call;
        }

        int connectionCount() const override { return m_connectionCount; }
        int idleCount() const override { return static_cast<int>(m_idle.size()); }
        const endpoint& server() const override { return m_server; }

        /// Takes a connection back. One whose call did not end cleanly is closed, so that a late answer has nowhere to
        /// go.
        void giveBack(evhttp_call& call, connection_handle connection, bool isReusable)
        {
            std::erase_if(m_active, [&](const auto& other) { return other.get() == &call; });
            if (!connection)
                return;
            if (isReusable) {
                m_idle.push_back(std::move(connection));
                return;
            }
            --m_connectionCount;
            discardUnsent(bufferevent_getfd(evhttp_connection_get_bufferevent(connection.get())));
            m_disposed.push_back(std::move(connection));
            m_dispose.startOnce({});
        }

    private:
        connection_handle takeConnection()
        {
            if (!m_idle.empty()) {
                auto connection = std::move(m_idle.back());
                m_idle.pop_back();
                return connection;
            }
            if (m_connectionCount >= m_maximumConnections)
                return nullptr;
            connection_handle connection(
                evhttp_connection_base_new(m_base, nullptr, m_server.ip.c_str(), m_server.port));
            evhttp_connection_set_retries(connection.get(), 0);
            evhttp_connection_set_timeout(connection.get(), libraryTimeoutSeconds);
            evhttp_connection_set_max_headers_size(connection.get(), headerLimitBytes);
            ++m_connectionCount;
            return connection;
        }

        event_base* m_base;
        endpoint m_server;
        int m_maximumConnections;
        int m_connectionCount = 0;
        std::vector<connection_handle> m_idle;
        std::vector<connection_handle> m_disposed;
        timer m_dispose;
        std::vector<std::shared_ptr<evhttp_call>> m_active;
    };

    void evhttp_call::send(connection_handle connection, http_request request, time_point deadline)
    {
        m_connection = std::move(connection);
        m_server = toString(m_owner->server());
        watch();
        m_native = evhttp_request_new(&evhttp_call::completed, this);
        evhttp_request_set_header_cb(m_native, &evhttp_call::headReceived);
        evhttp_request_set_chunked_cb(m_native, &evhttp_call::dataReceived);
        auto* headers = evhttp_request_get_output_headers(m_native);
        writeHeaders(request.headers, headers);
        if (!request.headers.find("Host"))
            evhttp_add_header(headers, "Host", m_server.c_str());
        if (!request.body.empty())
            evbuffer_add(evhttp_request_get_output_buffer(m_native), request.body.data(), request.body.size());
        m_deadline.startAt(deadline);
        const auto command = *toCommand(m_method);
        if (evhttp_make_request(m_connection.get(), m_native, command, request.target.c_str()) != 0) {
            m_native = nullptr;
            endLater(connectionFailure());
            return;
        }
        disableNagle(bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection.get())));
    }

    void evhttp_call::stop()
    {
        const auto keepAlive = shared_from_this();
        m_isEnding = true;
        m_deadline.stop();
        m_deferred.stop();
        if (!m_owner)
            return;
        const bool isReusable = m_connection && !m_native && m_outcome.has_value();
        if (m_connection)
            unwatch();
        if (m_native)
            evhttp_cancel_request(std::exchange(m_native, nullptr));
        m_owner->giveBack(*this, std::move(m_connection), isReusable);
        m_owner = nullptr;
    }

} // namespace

std::unique_ptr<http_client> http_client::create(event_base* base, const endpoint& server, int maximumConnections)
{
    return std::make_unique<evhttp_client>(base, server, maximumConnections);
}

http_call_ptr fetch(http_client& client, http_request request, time_point deadline, std::size_t bodyLimit,
    std::function<void(result<http_response>)> done)
{
    struct fetch_state {
        http_response response;
        std::weak_ptr<http_call> call;
        std::function<void(result<http_response>)> done;
    };
    auto state = std::make_shared<fetch_state>();
    state->done = std::move(done);
    http_call_handlers handlers;
    handlers.onHead = [state](const http_response_head& head) { state->response.head = head; };
    handlers.onData = [state, bodyLimit](std::string_view data) {
        if (state->response.body.size() + data.size() <= bodyLimit) {
            state->response.body.append(data);
            return;
        }
        if (const auto call = state->call.lock())
            call->cancel();
        state->done(
            mayHaveRun(error_code::too_large, "the answer has more than " + std::to_string(bodyLimit) + " bytes"));
    };
    handlers.onDone = [state](const result<void>& how) {
        if (how.has_error())
            state->done(how.error());
        else
            state->done(std::move(state->response));
    };
    auto call = client.start(std::move(request), deadline, std::move(handlers));
    state->call = call;
    return call;
}

} // namespace heatherdrift
