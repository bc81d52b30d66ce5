#pragma once

#include "base/clock.h"

#include <event2/event.h>
#include <functional>
#include <memory>

namespace heatherdrift {

struct event_deleter {
    void operator()(event*) const;
    void operator()(event_base*) const;
};

using event_handle = std::unique_ptr<event, event_deleter>;
using event_base_handle = std::unique_ptr<event_base, event_deleter>;

/// Calls a function on an event loop, once or repeatedly. Destroying or restarting it cancels the pending call.
class timer {
public:
    timer(event_base*, std::function<void()> onFire);
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// Fires once after the delay; a negative delay counts as zero.
    void startOnce(duration delay);
    /// Fires at the time by the boot clock, at once if it has passed.
    void startAt(time_point);
    void startRepeating(duration interval);
    void stop();
    bool isPending() const;

private:
    static void fire(int, short, void*);

    std::function<void()> m_onFire;
    event_handle m_event;
    duration m_interval {};
};

} // namespace heatherdrift
