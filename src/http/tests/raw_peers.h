#pragma once

#include "base/identifiers.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <gtest/gtest.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace heatherdrift {

/// Client that sends given bytes and collects what comes back.
class raw_client {
public:
    raw_client(event_base* base, const endpoint& server)
        : m_stream(bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(m_stream, &raw_client::readable, nullptr, &raw_client::changed, this);
        bufferevent_enable(m_stream, EV_READ | EV_WRITE);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bufferevent_socket_connect(m_stream, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    }
    ~raw_client() { close(); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(const std::string& bytes) { bufferevent_write(m_stream, bytes.data(), bytes.size()); }
    void close()
    {
        if (m_stream)
            bufferevent_free(std::exchange(m_stream, nullptr));
    }

    std::string received;
    bool isClosed = false;

private:
    static void readable(bufferevent* stream, void* argument)
    {
        char buffer[4096];
        std::size_t size = 0;
        while ((size = bufferevent_read(stream, buffer, sizeof(buffer))) > 0)
            static_cast<raw_client*>(argument)->received.append(buffer, size);
    }
    static void changed(bufferevent*, short what, void* argument)
    {
        if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
            static_cast<raw_client*>(argument)->isClosed = true;
    }

    bufferevent* m_stream;
};

/// Client with a blocking socket: its bytes and its close wait in the kernel until the event loop of the server runs.
class blocking_client {
public:
    explicit blocking_client(const endpoint& server)
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    }
    ~blocking_client() { close(); }
    blocking_client(const blocking_client&) = delete;
    blocking_client& operator=(const blocking_client&) = delete;

    void send(const std::string& bytes)
    {
        EXPECT_EQ(::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    /// Resets the connection if bytes of the server are unread.
    void close()
    {
        if (m_descriptor >= 0)
            ::close(std::exchange(m_descriptor, -1));
    }
    /// What has arrived, without waiting.
    std::string takeArrived()
    {
        std::string bytes(64 * 1024, '\0');
        const auto size = recv(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT);
        bytes.resize(static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        return bytes;
    }

private:
    int m_descriptor;
};

/// Listening socket of which nobody accepts connections unless the test does.
class plain_listener {
public:
    explicit plain_listener(int backlog)
        : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
        EXPECT_EQ(listen(m_descriptor, backlog), 0);
        socklen_t size = sizeof(address);
        getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~plain_listener() { ::close(m_descriptor); }
    plain_listener(const plain_listener&) = delete;
    plain_listener& operator=(const plain_listener&) = delete;

    int descriptor() const { return m_descriptor; }
    endpoint address() const { return { "127.0.0.1", m_port }; }

private:
    int m_descriptor;
    std::uint16_t m_port = 0;
};

/// Listens on loopback and hands the connections' events to a derived class.
class raw_listener {
public:
    explicit raw_listener(event_base* base)
        : m_base(base)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(base, &raw_listener::accepted, this, LEV_OPT_CLOSE_ON_FREE, 16,
            reinterpret_cast<sockaddr*>(&address), sizeof(address));
        socklen_t size = sizeof(address);
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    virtual ~raw_listener()
    {
        evconnlistener_free(m_listener);
        for (auto* stream : m_streams)
            bufferevent_free(stream);
    }
    raw_listener(const raw_listener&) = delete;
    raw_listener& operator=(const raw_listener&) = delete;

    endpoint address() const { return { "127.0.0.1", m_port }; }
    int connections = 0;

protected:
    virtual void readable(bufferevent*) = 0;
    virtual void written(bufferevent*) = 0; ///< All bytes are in the kernel.

    void close(bufferevent* stream)
    {
        std::erase(m_streams, stream);
        bufferevent_free(stream);
    }

private:
    static void accepted(evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* argument)
    {
        auto& self = *static_cast<raw_listener*>(argument);
        ++self.connections;
        auto* stream = bufferevent_socket_new(self.m_base, descriptor, BEV_OPT_CLOSE_ON_FREE);
        self.m_streams.push_back(stream);
        bufferevent_setcb(
            stream, [](bufferevent* one, void* listener) { static_cast<raw_listener*>(listener)->readable(one); },
            [](bufferevent* one, void* listener) { static_cast<raw_listener*>(listener)->written(one); }, nullptr,
            argument);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }

    event_base* m_base;
    evconnlistener* m_listener;
    std::uint16_t m_port = 0;
    std::vector<bufferevent*> m_streams;
};

/// A TCP server that counts connections and whole requests, answers with fixed bytes and may then close.
class raw_server : public raw_listener {
public:
    raw_server(event_base* base, std::string answer, bool closesAfterAnswer)
        : raw_listener(base)
        , m_answer(std::move(answer))
        , m_closesAfterAnswer(closesAfterAnswer)
    {
    }

    int requests = 0;

protected:
    void readable(bufferevent* stream) override
    {
        auto* input = bufferevent_get_input(stream);
        if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0)
            return;
        evbuffer_drain(input, evbuffer_get_length(input));
        ++requests;
        if (m_answer.empty())
            close(stream);
        else
            bufferevent_write(stream, m_answer.data(), m_answer.size());
    }

    void written(bufferevent* stream) override
    {
        if (m_closesAfterAnswer && requests > 0)
            close(stream);
    }

private:
    std::string m_answer;
    bool m_closesAfterAnswer;
};

/// Server that answers each whole request head with the next of its scripted byte strings.
class scripted_server : public raw_listener {
public:
    enum class ending { keep_open, close, reset };

    scripted_server(event_base* base, std::vector<std::string> answers, ending afterLast)
        : raw_listener(base)
        , m_answers(std::move(answers))
        , m_ending(afterLast)
    {
    }

    std::size_t requests = 0;

protected:
    void readable(bufferevent* stream) override
    {
        auto* input = bufferevent_get_input(stream);
        for (;;) {
            const auto end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
            if (end.pos < 0 || requests >= m_answers.size())
                return;
            evbuffer_drain(input, static_cast<std::size_t>(end.pos) + 4);
            const auto& answer = m_answers[requests++];
            bufferevent_write(stream, answer.data(), answer.size());
        }
    }

    void written(bufferevent* stream) override
    {
        if (requests < m_answers.size() || m_ending == ending::keep_open)
            return;
        if (m_ending == ending::reset) {
            const linger option { 1, 0 };
            setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        }
        close(stream);
    }

private:
    std::vector<std::string> m_answers;
    ending m_ending;
};

} // namespace heatherdrift
