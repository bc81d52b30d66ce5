#include "control/tcp_peer_transport.h"

#include "base/event_handle.h"
#include "messages/frame_codec.h"
#include "telemetry/log_event.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <map>
#include <netinet/tcp.h>
#include <random>
#include <set>

namespace heatherdrift {

namespace {

    constexpr int protocolVersion = 1;
    constexpr int listenBacklog = 1024;
    constexpr duration sweepInterval = std::chrono::seconds(5);

    struct native_deleter {
        void operator()(bufferevent* value) const { bufferevent_free(value); }
        void operator()(evconnlistener* value) const { evconnlistener_free(value); }
    };

    using stream_handle = std::unique_ptr<bufferevent, native_deleter>;
    using listener_handle = std::unique_ptr<evconnlistener, native_deleter>;

    struct socket_address {
        sockaddr_storage storage {};
        int size = 0;
    };

    std::optional<socket_address> toSocketAddress(const endpoint& address)
    {
        socket_address value;
        value.size = sizeof(value.storage);
        auto text = toString(address);
        if (evutil_parse_sockaddr_port(text.c_str(), reinterpret_cast<sockaddr*>(&value.storage), &value.size) != 0)
            return std::nullopt;
        return value;
    }

    wire::Message helloFrom(const instance_ref& self, std::int64_t agreement)
    {
        wire::InstanceRef sender;
        sender.__set_id(self.id);
        sender.__set_incarnation(static_cast<std::int64_t>(self.number));
        wire::Hello hello;
        hello.__set_sender(sender);
        hello.__set_protocolVersion(protocolVersion);
        hello.__set_agreement(agreement);
        wire::Message message;
        message.__set_hello(hello);
        return message;
    }

    class transport;

    /// One connection, in either direction.
    struct peer_connection {
        transport* owner = nullptr;
        stream_handle stream;
        /// Set on connect if this side opened the connection, otherwise by the peer's hello.
        std::optional<instance_ref> peer;
        bool isHelloReceived = false;
        time_point lastUsed;
    };

    struct reconnect_state {
        int failures = 0;
        time_point notBefore;
    };

    class transport : public tcp_peer_transport {
    public:
        transport(event_base* base, const transport_limits& limits)
            : m_base(base)
            , m_limits(limits)
            , m_sweep(base, [this] { sweep(); })
            , m_jitter(std::random_device {}())
        {
            m_sweep.startRepeating(sweepInterval);
        }

        bool bind(const endpoint& address)
        {
            auto native = toSocketAddress(address);
            if (!native)
                return false;
            m_listener.reset(evconnlistener_new_bind(m_base, &transport::onAccept, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, listenBacklog,
                reinterpret_cast<sockaddr*>(&native->storage), native->size));
            if (!m_listener)
                return false;
            sockaddr_in bound {};
            socklen_t size = sizeof(bound);
            getsockname(evconnlistener_get_fd(m_listener.get()), reinterpret_cast<sockaddr*>(&bound), &size);
            m_address = address;
            if (m_address.port == 0)
                m_address.port = ntohs(bound.sin_port);
            return true;
        }

        void identify(const instance_ref& self) override
        {
            m_self = self;
            m_byPeer.clear();
            m_connections.clear();
        }

        endpoint address() const override { return m_address; }
        const transport_counts& counts() const override { return m_counts; }
        void onMessage(message_handler handler) override { m_handler = std::move(handler); }

        void send(const peer_address& to, const wire::Message& message) override
        {
            if (!m_self)
                return;
            auto* connection = connectionTo(to);
            if (connection)
                write(*connection, message);
        }

    private:
        peer_connection* connectionTo(const peer_address& to)
        {
            if (const auto found = m_byPeer.find(to.self); found != m_byPeer.end())
                return found->second;
            auto& state = m_reconnects[to];
            const auto now = boot_clock::now();
            if (now < state.notBefore || static_cast<int>(m_connections.size()) >= m_limits.connections)
                return nullptr;
            // Each attempt counts as a failure until the peer's hello arrives.
            const auto doublings = std::min(state.failures++, 10);
            const auto delay = std::min(m_limits.initialReconnectDelay * (1 << doublings), m_limits.maxReconnectDelay);
            state.notBefore
                = now + delay / 2 + duration(static_cast<duration::rep>(m_jitter() % (delay.count() / 2 + 1)));
            return connect(to);
        }

        peer_connection* connect(const peer_address& to)
        {
            auto native = toSocketAddress(to.control);
            if (!native)
                return nullptr;
            auto* connection = add(-1);
            connection->peer = to.self;
            m_byPeer[to.self] = connection;
            write(*connection, helloFrom(*m_self, m_limits.agreement));
            if (bufferevent_socket_connect(
                    connection->stream.get(), reinterpret_cast<sockaddr*>(&native->storage), native->size)
                != 0) {
                close(*connection);
                return nullptr;
            }
            disableNagle(*connection);
            return connection;
        }

        peer_connection* add(evutil_socket_t descriptor)
        {
            auto connection = std::make_unique<peer_connection>();
            connection->owner = this;
            connection->stream.reset(
                bufferevent_socket_new(m_base, descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
            connection->lastUsed = boot_clock::now();
            bufferevent_setcb(
                connection->stream.get(), &transport::onReadable, nullptr, &transport::onEvent, connection.get());
            bufferevent_setwatermark(connection->stream.get(), EV_READ, 0, 2 * maximumFrameBytes);
            bufferevent_enable(connection->stream.get(), EV_READ | EV_WRITE);
            auto* added = connection.get();
            m_connections.emplace(added, std::move(connection));
            return added;
        }

        static void disableNagle(peer_connection& connection)
        {
            const int on = 1;
            setsockopt(bufferevent_getfd(connection.stream.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        }

        void write(peer_connection& connection, const wire::Message& message)
        {
            const auto frame = encodeFrame(message);
            if (frame.has_error())
                return;
            if (evbuffer_get_length(bufferevent_get_output(connection.stream.get())) > m_limits.outputBytes)
                return close(connection);
            bufferevent_write(connection.stream.get(), frame.value().data(), frame.value().size());
            connection.lastUsed = boot_clock::now();
            ++m_counts.messagesSent;
            m_counts.bytesSent += frame.value().size();
        }

        static void onAccept(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* argument)
        {
            auto& self = *static_cast<transport*>(argument);
            if (!self.m_self || static_cast<int>(self.m_connections.size()) >= self.m_limits.connections) {
                evutil_closesocket(descriptor);
                return;
            }
            auto* connection = self.add(descriptor);
            disableNagle(*connection);
            self.write(*connection, helloFrom(*self.m_self, self.m_limits.agreement));
        }

        static void onReadable(bufferevent* stream, void* argument)
        {
            auto* connection = static_cast<peer_connection*>(argument);
            auto& self = *connection->owner;
            auto* input = bufferevent_get_input(stream);
            const auto before = evbuffer_get_length(input);
            connection->lastUsed = boot_clock::now();
            while (true) {
                const auto message = takeFrame(input);
                if (message.has_error())
                    return self.reject(*connection, message.error().message);
                if (!message.value())
                    break;
                ++self.m_counts.messagesReceived;
                if (!self.dispatch(*connection, *message.value()))
                    return;
                // The handler may have closed the connection.
                if (!self.m_connections.contains(connection))
                    return;
            }
            self.m_counts.bytesReceived += before - evbuffer_get_length(input);
        }

        bool dispatch(peer_connection& connection, const wire::Message& message)
        {
            if (connection.isHelloReceived) {
                if (m_handler)
                    m_handler(*connection.peer, message);
                return true;
            }
            if (!message.__isset.hello || message.hello.protocolVersion != protocolVersion) {
                reject(connection, "first message is not a hello with the supported protocol version");
                return false;
            }
            if (message.hello.agreement != m_limits.agreement) {
                reject(connection, "peer has different lease settings");
                return false;
            }
            const instance_ref sender { message.hello.sender.id,
                static_cast<incarnation>(message.hello.sender.incarnation) };
            if (connection.peer && *connection.peer != sender) {
                // The address now belongs to another process, which must not get the old one's queued messages.
                close(connection);
                return false;
            }
            connection.peer = sender;
            connection.isHelloReceived = true;
            m_byPeer.try_emplace(sender, &connection);
            std::erase_if(m_reconnects, [&](const auto& entry) { return entry.first.self == sender; });
            return true;
        }

        void reject(peer_connection& connection, const std::string& reason)
        {
            ++m_counts.rejected;
            logEvent(log_event::peer_message_rejected,
                { { "peer", connection.peer ? toString(*connection.peer) : "unknown" }, { "reason", reason } });
            close(connection);
        }

        static void onEvent(bufferevent*, short what, void* argument)
        {
            auto* connection = static_cast<peer_connection*>(argument);
            if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
                connection->owner->close(*connection);
        }

        void close(peer_connection& connection)
        {
            std::erase_if(m_byPeer, [&](const auto& entry) { return entry.second == &connection; });
            m_connections.erase(&connection);
        }

        void sweep()
        {
            const auto now = boot_clock::now();
            std::vector<peer_connection*> idle;
            for (const auto& [connection, owned] : m_connections) {
                if (connection->lastUsed + m_limits.idle <= now)
                    idle.push_back(connection);
            }
            for (auto* connection : idle)
                close(*connection);
            std::erase_if(
                m_reconnects, [&](const auto& entry) { return entry.second.notBefore + m_limits.idle <= now; });
        }

        event_base* m_base;
        transport_limits m_limits;
        listener_handle m_listener;
        endpoint m_address;
        std::optional<instance_ref> m_self;
        message_handler m_handler;
        std::map<peer_connection*, std::unique_ptr<peer_connection>> m_connections;
        std::map<instance_ref, peer_connection*> m_byPeer;
        std::map<peer_address, reconnect_state> m_reconnects;
        transport_counts m_counts;
        timer m_sweep;
        std::minstd_rand m_jitter;
    };

} // namespace

result<std::unique_ptr<tcp_peer_transport>> tcp_peer_transport::listen(
    event_base* base, const endpoint& address, const transport_limits& limits)
{
    auto created = std::make_unique<transport>(base, limits);
    if (!created->bind(address))
        return notRun(error_code::invalid_settings, "cannot listen on " + toString(address));
    return std::unique_ptr<tcp_peer_transport>(std::move(created));
}

} // namespace heatherdrift
