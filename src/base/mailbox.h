#pragma once

#include "base/event_handle.h"

#include <functional>
#include <mutex>
#include <vector>

namespace heatherdrift {

/// Wakes an event loop from another thread.
class loop_waker {
public:
    loop_waker(event_base*, std::function<void()> onWake);
    ~loop_waker();
    loop_waker(const loop_waker&) = delete;
    loop_waker& operator=(const loop_waker&) = delete;

    /// May be called from any thread.
    void wake();

private:
    int m_descriptor;
    std::function<void()> m_onWake;
    event_handle m_event;
};

/// Queue of messages to the task that runs the event loop. The handler runs on that task, in order of posting.
template <typename Message> class mailbox {
public:
    mailbox(event_base* base, std::function<void(Message)> handler)
        : m_handler(std::move(handler))
        , m_waker(base, [this] { deliver(); })
    {
    }

    /// May be called from any thread.
    void post(Message message)
    {
        {
            std::lock_guard lock(m_mutex);
            m_messages.push_back(std::move(message));
        }
        m_waker.wake();
    }

private:
    void deliver()
    {
        std::vector<Message> batch;
        {
            std::lock_guard lock(m_mutex);
            batch.swap(m_messages);
        }
        for (auto& message : batch)
            m_handler(std::move(message));
    }

    std::function<void(Message)> m_handler;
    std::mutex m_mutex;
    std::vector<Message> m_messages;
    loop_waker m_waker;
};

} // namespace heatherdrift
