#include "base/event_handle.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    timeval toTimeval(duration value)
    {
        const auto microseconds = std::max<duration::rep>(value.count(), 0);
        return { static_cast<time_t>(microseconds / 1000000), static_cast<suseconds_t>(microseconds % 1000000) };
    }

} // namespace

void event_deleter::operator()(event* value) const { event_free(value); }

void event_deleter::operator()(event_base* value) const { event_base_free(value); }

timer::timer(event_base* base, std::function<void()> onFire)
    : m_onFire(std::move(onFire))
    , m_event(event_new(base, -1, 0, &timer::fire, this))
{
}

void timer::startOnce(duration delay)
{
    m_interval = duration::zero();
    if (delay <= duration::zero()) {
        // An active event runs in the present turn of the loop; a timeout of zero takes another system call first.
        event_del(m_event.get());
        return event_active(m_event.get(), EV_TIMEOUT, 1);
    }
    const auto value = toTimeval(delay);
    event_add(m_event.get(), &value);
}

void timer::startAt(time_point when)
{
    // The least time stands for "never valid" in leases; nothing can be subtracted from it.
    const auto now = boot_clock::now();
    startOnce(when > now ? when - now : duration::zero());
}

void timer::startRepeating(duration interval)
{
    m_interval = interval;
    const auto value = toTimeval(interval);
    event_add(m_event.get(), &value);
}

void timer::stop()
{
    m_interval = duration::zero();
    event_del(m_event.get());
}

bool timer::isPending() const { return event_pending(m_event.get(), EV_TIMEOUT, nullptr) != 0; }

void timer::fire(int, short, void* argument)
{
    auto& self = *static_cast<timer*>(argument);
    if (self.m_interval > duration::zero()) {
        const auto value = toTimeval(self.m_interval);
        event_add(self.m_event.get(), &value);
    }
    // The callee may destroy this timer, so it runs from a copy and nothing is read afterwards.
    const auto call = self.m_onFire;
    call();
}

} // namespace heatherdrift
