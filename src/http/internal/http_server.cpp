#include "http/http_server.h"

#include "base/event_handle.h"
#include "http/internal/evhttp_support.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <set>
#include <sys/socket.h>

namespace heatherdrift {

namespace {

    /// Bytes that a client may send ahead of the answer to its current request.
    constexpr std::size_t pipelinedBytes = 64 * 1024;

    struct evhttp_deleter {
        void operator()(evhttp* value) const { evhttp_free(value); }
        void operator()(evbuffer* value) const { evbuffer_free(value); }
    };

    using evbuffer_handle = std::unique_ptr<evbuffer, evhttp_deleter>;

    class evhttp_exchange : public http_exchange, public std::enable_shared_from_this<evhttp_exchange> {
    public:
        evhttp_exchange(evhttp_request* native, bool isFirstOnConnection, int idleTimeoutSeconds)
            : m_native(native)
            , m_isFirstOnConnection(isFirstOnConnection)
            , m_idleTimeout { idleTimeoutSeconds, 0 }
        {
            m_request.method = toMethod(evhttp_request_get_command(native));
            if (const auto* uri = evhttp_request_get_uri(native))
                m_request.target = uri;
            m_request.headers = readHeaders(evhttp_request_get_input_headers(native));
            auto* body = evhttp_request_get_input_buffer(native);
            m_request.body.resize(evbuffer_get_length(body));
            evbuffer_remove(body, m_request.body.data(), m_request.body.size());
        }

        ~evhttp_exchange() override { abort(); }

        /// Watches the connection while the request is worked on. evhttp treats bytes that arrive in this state as a
        /// fatal error, so its read callback is taken out; it restores its callbacks when it reads the next request.
        void watchConnection()
        {
            auto* stream = connectionStream();
            bufferevent_data_cb onRead = nullptr;
            bufferevent_data_cb onWrite = nullptr;
            bufferevent_event_cb onEvent = nullptr;
            void* argument = nullptr;
            bufferevent_getcb(stream, &onRead, &onWrite, &onEvent, &argument);
            bufferevent_setcb(stream, nullptr, onWrite, onEvent, argument);
            bufferevent_setwatermark(stream, EV_READ, 0, pipelinedBytes);
            // A client sends nothing while it receives an answer, which may take longer than the idle timeout.
            bufferevent_set_timeouts(stream, nullptr, &m_idleTimeout);
            bufferevent_enable(stream, EV_READ);
            evhttp_connection_set_closecb(
                evhttp_request_get_connection(m_native), &evhttp_exchange::connectionClosed, this);
        }

        const http_request& request() const override { return m_request; }
        bool isFirstOnConnection() const override { return m_isFirstOnConnection; }
        bool isOpen() const override { return m_native; }

        void respond(http_response response) override
        {
            if (!m_native)
                return;
            writeHeaders(response.head.headers, evhttp_request_get_output_headers(m_native));
            evbuffer_handle body(evbuffer_new());
            evbuffer_add(body.get(), response.body.data(), response.body.size());
            auto* native = release();
            evhttp_send_reply(native, response.head.status, nullptr, body.get());
        }

        void start(http_response_head head) override
        {
            if (!m_native)
                return;
            writeHeaders(head.headers, evhttp_request_get_output_headers(m_native));
            evhttp_send_reply_start(m_native, head.status, nullptr);
        }

        void sendData(std::string_view data) override
        {
            if (!m_native || data.empty())
                return;
            evbuffer_handle part(evbuffer_new());
            evbuffer_add(part.get(), data.data(), data.size());
            evhttp_send_reply_chunk_with_cb(m_native, part.get(), &evhttp_exchange::connectionDrained, this);
        }

        void finish() override
        {
            if (m_native)
                evhttp_send_reply_end(release());
        }

        void abort() override
        {
            if (!m_native)
                return;
            auto* connection = evhttp_request_get_connection(m_native);
            const int descriptor = bufferevent_getfd(streamOf(connection));
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
            dropCallbacks();
            auto* native = std::exchange(m_native, nullptr);
            // The event loop sees the closed socket and frees the connection with its request.
            shutdown(descriptor, SHUT_RDWR);
            evhttp_send_reply_end(native);
        }

        std::size_t bufferedBytes() const override
        {
            return m_native ? evbuffer_get_length(bufferevent_get_output(connectionStream())) : 0;
        }

        void onDrained(std::function<void()> call) override { m_onDrained = std::move(call); }
        void onClosed(std::function<void()> call) override { m_onClosed = std::move(call); }

    private:
        static bufferevent* streamOf(evhttp_connection* connection)
        {
            return evhttp_connection_get_bufferevent(connection);
        }

        bufferevent* connectionStream() const { return streamOf(evhttp_request_get_connection(m_native)); }

        /// The callbacks often hold this exchange, so keeping them after the answer would keep it forever.
        void dropCallbacks()
        {
            m_onDrained = nullptr;
            m_onClosed = nullptr;
        }

        /// Gives the request back to evhttp, which reads the next one from the connection after the answer.
        evhttp_request* release()
        {
            auto* stream = connectionStream();
            bufferevent_disable(stream, EV_READ);
            bufferevent_setwatermark(stream, EV_READ, 0, 0);
            bufferevent_set_timeouts(stream, &m_idleTimeout, &m_idleTimeout);
            evhttp_connection_set_closecb(evhttp_request_get_connection(m_native), nullptr, nullptr);
            dropCallbacks();
            return std::exchange(m_native, nullptr);
        }

        static void connectionClosed(evhttp_connection*, void* argument)
        {
            auto& self = *static_cast<evhttp_exchange*>(argument);
            const auto keepAlive = self.shared_from_this();
            auto* native = std::exchange(self.m_native, nullptr);
            // evhttp detaches a request that is still being answered and leaves it to us; others it frees itself.
            if (native && !evhttp_request_get_connection(native))
                evhttp_request_free(native);
            self.m_onDrained = nullptr;
            if (const auto call = std::exchange(self.m_onClosed, nullptr))
                call();
        }

        static void connectionDrained(evhttp_connection*, void* argument)
        {
            auto& self = *static_cast<evhttp_exchange*>(argument);
            const auto keepAlive = self.shared_from_this();
            if (const auto call = self.m_onDrained)
                call();
        }

        http_request m_request;
        evhttp_request* m_native;
        bool m_isFirstOnConnection;
        timeval m_idleTimeout;
        std::function<void()> m_onDrained;
        std::function<void()> m_onClosed;
    };

    class evhttp_server : public http_server {
    public:
        evhttp_server(event_base* base, const http_server_limits& limits, http_handler handler)
            : m_handler(std::move(handler))
            , m_idleTimeoutSeconds(limits.idleTimeoutSeconds)
            , m_native(evhttp_new(base))
        {
            evhttp_set_allowed_methods(m_native.get(), allowedMethods);
            evhttp_set_max_headers_size(m_native.get(), static_cast<ev_ssize_t>(limits.headerBytes));
            evhttp_set_max_body_size(m_native.get(), static_cast<ev_ssize_t>(limits.bodyBytes));
            evhttp_set_timeout(m_native.get(), limits.idleTimeoutSeconds);
            evhttp_set_gencb(m_native.get(), &evhttp_server::handle, this);
            evhttp_set_bevcb(m_native.get(), &evhttp_server::createStream, this);
        }

        bool bind(const endpoint& address)
        {
            m_socket = evhttp_bind_socket_with_handle(m_native.get(), address.ip.c_str(), address.port);
            if (!m_socket)
                return false;
            const int descriptor = evhttp_bound_socket_get_fd(m_socket);
            disableNagle(descriptor); // Accepted sockets inherit the option on Linux.
            m_address = localAddress(descriptor);
            return true;
        }

        endpoint address() const override { return m_address; }

        void stopListening() override
        {
            if (m_socket)
                evhttp_del_accept_socket(m_native.get(), std::exchange(m_socket, nullptr));
        }

    private:
        /// Called for each new connection. A stream stays in the set until its first request; the address of a stream
        /// that was closed before is used again only after another call of this function.
        static bufferevent* createStream(event_base* base, void* argument)
        {
            auto* stream = bufferevent_socket_new(base, -1, 0);
            static_cast<evhttp_server*>(argument)->m_unusedStreams.insert(stream);
            return stream;
        }

        static void handle(evhttp_request* native, void* argument)
        {
            auto& self = *static_cast<evhttp_server*>(argument);
            // evhttp reports a malformed request without a target; it has chosen the status already.
            if (!evhttp_request_get_uri(native)) {
                evhttp_send_error(native, HTTP_BADREQUEST, nullptr);
                return;
            }
            auto* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(native));
            const bool isFirst = self.m_unusedStreams.erase(stream) > 0;
            auto exchange = std::make_shared<evhttp_exchange>(native, isFirst, self.m_idleTimeoutSeconds);
            exchange->watchConnection();
            self.m_handler(std::move(exchange));
        }

        http_handler m_handler;
        int m_idleTimeoutSeconds;
        std::set<const bufferevent*> m_unusedStreams;
        std::unique_ptr<evhttp, evhttp_deleter> m_native;
        evhttp_bound_socket* m_socket = nullptr;
        endpoint m_address;
    };

} // namespace

result<std::unique_ptr<http_server>> http_server::listen(
    event_base* base, const endpoint& address, const http_server_limits& limits, http_handler handler)
{
    auto server = std::make_unique<evhttp_server>(base, limits, std::move(handler));
    if (!server->bind(address))
        return notRun(error_code::invalid_settings, "cannot listen on " + toString(address));
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace heatherdrift
