#include "base/mailbox.h"

#include <cstdint>
#include <sys/eventfd.h>
#include <unistd.h>

namespace heatherdrift {

loop_waker::loop_waker(event_base* base, std::function<void()> onWake)
    : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , m_onWake(std::move(onWake))
{
    auto onReadable = [](int descriptor, short, void* argument) {
        std::uint64_t count = 0;
        // The counter only says that there is something to do; a failed read means that another wake follows.
        [[maybe_unused]] const auto size = read(descriptor, &count, sizeof(count));
        static_cast<loop_waker*>(argument)->m_onWake();
    };
    m_event.reset(event_new(base, m_descriptor, EV_READ | EV_PERSIST, onReadable, this));
    event_add(m_event.get(), nullptr);
}

loop_waker::~loop_waker()
{
    m_event.reset();
    close(m_descriptor);
}

void loop_waker::wake()
{
    const std::uint64_t one = 1;
    // EAGAIN means that the counter is already at its maximum, so the loop is woken anyway.
    [[maybe_unused]] const auto size = write(m_descriptor, &one, sizeof(one));
}

} // namespace heatherdrift
