#include "http/http_server.h"

#include "http/internal/server_connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <map>

namespace heatherdrift {

namespace {

    constexpr int listenBacklog = 1024; ///< A full queue drops connections, which clients repeat only after a second.

    struct listener_deleter {
        void operator()(evconnlistener* value) const { evconnlistener_free(value); }
    };

    class socket_server : public http_server {
    public:
        socket_server(event_base* base, const http_server_limits& limits, http_handler handler)
            : m_context(std::make_shared<server_context>())
        {
            m_context->base = base;
            m_context->limits = limits;
            m_context->handler = std::move(handler);
            m_context->forget = [this](server_connection* connection) { m_connections.erase(connection); };
        }

        ~socket_server() override
        {
            m_context->forget = nullptr;
            const auto connections = std::exchange(m_connections, {});
            for (const auto& [key, connection] : connections)
                connection->close();
        }

        bool bind(const endpoint& address)
        {
            sockaddr_storage storage {};
            int size = sizeof(storage);
            auto* target = reinterpret_cast<sockaddr*>(&storage);
            if (evutil_parse_sockaddr_port(toString(address).c_str(), target, &size) != 0) {
                // The library takes no port 0, which asks for a free port.
                if (address.port != 0
                    || evutil_parse_sockaddr_port(toString(endpoint { address.ip, 1 }).c_str(), target, &size) != 0)
                    return false;
                reinterpret_cast<sockaddr_in*>(target)->sin_port = 0; // Same place for IPv6.
            }
            m_listener.reset(evconnlistener_new_bind(m_context->base, &socket_server::accepted, this,
                LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE, listenBacklog, target, size));
            if (!m_listener)
                return false;
            m_address = localAddress(evconnlistener_get_fd(m_listener.get()));
            return true;
        }

        endpoint address() const override { return m_address; }
        void setLimits(const http_server_limits& limits) override { m_context->limits = limits; }
        void setRejectionHeaders(http_headers headers) override { m_context->rejectionHeaders = std::move(headers); }
        void setMemory(std::shared_ptr<byte_budget> budget, http_headers rejectionHeaders) override
        {
            m_context->memory = std::move(budget);
            m_context->overloadHeaders = std::move(rejectionHeaders);
        }
        void stopListening() override { m_listener = nullptr; }
        void closeAfterAnswers() override { m_context->closesAfterAnswers = true; }
        void closeIdle() override
        {
            const auto connections = m_connections;
            for (const auto& [key, connection] : connections)
                connection->closeIfIdle();
        }
        bool hasUnsentAnswers() const override
        {
            return std::ranges::any_of(
                m_connections, [](const auto& entry) { return entry.second->hasUnsentAnswers(); });
        }
        std::size_t connectionCount() const override { return m_connections.size(); }

    private:
        static void accepted(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* argument)
        {
            auto& self = *static_cast<socket_server*>(argument);
            disableNagle(descriptor);
            auto connection = std::make_shared<server_connection>(self.m_context, descriptor);
            self.m_connections.emplace(connection.get(), connection);
            connection->open();
        }

        std::shared_ptr<server_context> m_context;
        std::map<server_connection*, std::shared_ptr<server_connection>> m_connections;
        std::unique_ptr<evconnlistener, listener_deleter> m_listener;
        endpoint m_address;
    };

} // namespace

result<std::unique_ptr<http_server>> http_server::listen(
    event_base* base, const endpoint& address, const http_server_limits& limits, http_handler handler)
{
    auto server = std::make_unique<socket_server>(base, limits, std::move(handler));
    if (!server->bind(address))
        return notRun(error_code::invalid_settings, "cannot listen on " + toString(address));
    return std::unique_ptr<http_server>(std::move(server));
}

} // namespace heatherdrift
