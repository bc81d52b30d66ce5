#pragma once

#include "base/event_handle.h"

#include <cstdint>
#include <functional>
#include <map>

namespace heatherdrift {

/// Calls a function once after a delay, never before it returns itself; tests pass their own.
using delay_function = std::function<void(duration, std::function<void()>)>;

/// Delayed calls on an event loop. Destroying it cancels those that are pending.
class delayed_calls {
public:
    explicit delayed_calls(event_base*);
    delayed_calls(const delayed_calls&) = delete;
    delayed_calls& operator=(const delayed_calls&) = delete;

    void after(duration, std::function<void()>);
    /// after() as a function; it must not be used once this object is destroyed.
    delay_function function();

private:
    event_base* m_base;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, timer> m_pending;
};

} // namespace heatherdrift
