#include "base/delayed_calls.h"

namespace heatherdrift {

delayed_calls::delayed_calls(event_base* base)
    : m_base(base)
{
}

void delayed_calls::after(duration delay, std::function<void()> call)
{
    const auto number = ++m_lastNumber;
    const auto fire = [this, number, call = std::move(call)] {
        // The timer runs a copy of this function, so that it can be destroyed here.
        m_pending.erase(number);
        call();
    };
    m_pending.try_emplace(number, m_base, fire).first->second.startOnce(delay);
}

delay_function delayed_calls::function()
{
    return [this](duration delay, std::function<void()> call) { after(delay, std::move(call)); };
}

} // namespace heatherdrift
