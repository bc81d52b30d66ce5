#include "http/internal/stream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace heatherdrift {

namespace {

    constexpr std::size_t maxTransferBytes = 64 * 1024; ///< Read or written in one turn of the event loop.

    endpoint addressOf(int descriptor, int (*read)(int, sockaddr*, socklen_t*))
    {
        sockaddr_storage storage {};
        socklen_t size = sizeof(storage);
        read(descriptor, reinterpret_cast<sockaddr*>(&storage), &size);
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

} // namespace

void disableNagle(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void detectSilence(int descriptor, int milliseconds)
{
    // Unacknowledged data ends the connection after the user timeout; probes do the same for one that only waits.
    constexpr int probes = 2;
    const int on = 1;
    const unsigned int userTimeout = static_cast<unsigned int>(milliseconds);
    const int seconds = std::max(1, milliseconds / 1000 / (probes + 1));
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof(userTimeout));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

void discardUnsent(int descriptor)
{
    const linger option { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

endpoint localAddress(int descriptor) { return addressOf(descriptor, &getsockname); }

endpoint remoteAddress(int descriptor) { return addressOf(descriptor, &getpeername); }

bool isEnded(int descriptor)
{
    char byte = 0;
    const auto size = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void raiseTransferSizes(bufferevent* stream)
{
    bufferevent_set_max_single_read(stream, maxTransferBytes);
    bufferevent_set_max_single_write(stream, maxTransferBytes);
}

namespace {

    /// Below this size a copy costs less than the bookkeeping for a reference.
    constexpr std::size_t minReferencedBytes = 16 * 1024;

    void appendBody(evbuffer* output, const message_body& body)
    {
        const auto& text = body.text();
        if (text.size() < minReferencedBytes) {
            evbuffer_add(output, text.data(), text.size());
            return;
        }
        auto owner = std::make_unique<message_body>(body);
        const auto release = [](const void*, std::size_t, void* owned) { delete static_cast<message_body*>(owned); };
        if (evbuffer_add_reference(output, text.data(), text.size(), release, owner.get()) == 0)
            static_cast<void>(owner.release()); // The buffer deletes it once the bytes are written.
    }

} // namespace

void appendOutput(bufferevent* stream, std::string_view head, const message_body& body)
{
    auto* output = bufferevent_get_output(stream);
    evbuffer_add(output, head.data(), head.size());
    appendBody(output, body);
}

void sendOutput(bufferevent* stream, std::string_view head, const message_body& body)
{
    auto* output = bufferevent_get_output(stream);
    const bool isWaiting = evbuffer_get_length(output) > 0;
    if (!isWaiting)
        bufferevent_disable(stream, EV_WRITE);
    appendOutput(stream, head, body);
    if (isWaiting || evbuffer_get_length(output) == 0)
        return;
    // The stream keeps others from reading its output.
    evbuffer_unfreeze(output, 1);
    evbuffer_write(output, bufferevent_getfd(stream));
    evbuffer_freeze(output, 1);
    // After a failure the stream repeats the write and reports it.
    if (evbuffer_get_length(output) > 0)
        bufferevent_enable(stream, EV_WRITE);
}

std::string_view firstPiece(evbuffer* buffer)
{
    const std::size_t size = evbuffer_get_contiguous_space(buffer);
    if (size == 0)
        return {};
    return { reinterpret_cast<const char*>(evbuffer_pullup(buffer, static_cast<ev_ssize_t>(size))), size };
}

} // namespace heatherdrift
