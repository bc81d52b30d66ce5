#include "http/internal/evhttp_support.h"

#include <array>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace heatherdrift {

namespace {

    struct method_name {
        evhttp_cmd_type command;
        std::string_view name;
    };

    constexpr std::array<method_name, 7> methodNames { {
        { EVHTTP_REQ_GET, "GET" },
        { EVHTTP_REQ_POST, "POST" },
        { EVHTTP_REQ_HEAD, "HEAD" },
        { EVHTTP_REQ_PUT, "PUT" },
        { EVHTTP_REQ_DELETE, "DELETE" },
        { EVHTTP_REQ_OPTIONS, "OPTIONS" },
        { EVHTTP_REQ_PATCH, "PATCH" },
    } };

} // namespace

std::optional<evhttp_cmd_type> toCommand(std::string_view method)
{
    for (const auto& entry : methodNames) {
        if (entry.name == method)
            return entry.command;
    }
    return std::nullopt;
}

std::string_view toMethod(evhttp_cmd_type command)
{
    for (const auto& entry : methodNames) {
        if (entry.command == command)
            return entry.name;
    }
    return "";
}

http_headers readHeaders(const evkeyvalq* source)
{
    http_headers headers;
    for (const auto* field = source->tqh_first; field; field = field->next.tqe_next)
        headers.add(field->key, field->value);
    return headers;
}

void writeHeaders(const http_headers& headers, evkeyvalq* target)
{
    for (const auto& [name, value] : headers.fields())
        evhttp_add_header(target, name.c_str(), value.c_str());
}

void disableNagle(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

endpoint localAddress(int descriptor)
{
    sockaddr_storage storage {};
    socklen_t size = sizeof(storage);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&storage), &size);
    char text[INET6_ADDRSTRLEN] {};
    if (storage.ss_family == AF_INET6) {
        const auto& address = reinterpret_cast<const sockaddr_in6&>(storage);
        inet_ntop(AF_INET6, &address.sin6_addr, text, sizeof(text));
        return { text, ntohs(address.sin6_port) };
    }
    const auto& address = reinterpret_cast<const sockaddr_in&>(storage);
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
    return { text, ntohs(address.sin_port) };
}

} // namespace heatherdrift
