#pragma once

#include "base/delayed_calls.h"

#include <map>
#include <utility>

namespace heatherdrift {

/// Clock and delayed calls that pass no real time: each step jumps to the next call.
class virtual_time {
public:
    time_point now() const { return m_now; }
    void after(duration delay, std::function<void()> call)
    {
        m_calls.emplace(std::make_pair(m_now + std::max(delay, duration::zero()), m_count++), std::move(call));
    }
    clock_function clock()
    {
        return [this] { return m_now; };
    }
    delay_function delays()
    {
        return [this](duration delay, std::function<void()> call) { after(delay, std::move(call)); };
    }

    /// Runs the next call; returns false if there is none.
    bool step()
    {
        if (m_calls.empty())
            return false;
        auto next = m_calls.extract(m_calls.begin());
        m_now = next.key().first;
        next.mapped()();
        return true;
    }

    void runFor(duration time)
    {
        const auto end = m_now + time;
        while (!m_calls.empty() && m_calls.begin()->first.first <= end)
            step();
        m_now = end;
    }

private:
    time_point m_now { std::chrono::hours(1) };
    std::uint64_t m_count = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_calls;
};

} // namespace heatherdrift
