#include "ranges/key_load.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace heatherdrift {

namespace {

    constexpr auto decayInterval = std::chrono::milliseconds(100); ///< Limits the cost: a decay step visits all keys.
    /// Share of the load of one request; a lower load does not predict future requests.
    constexpr double evictionThreshold = 0.02;

} // namespace

key_load::key_load(duration timeConstant)
    : m_timeConstant(timeConstant)
{
}

double key_load::decayFactor(time_point now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_decayedAt) / std::chrono::duration<double>(m_timeConstant));
}

void key_load::decay(time_point now)
{
    if (now - m_decayedAt < decayInterval)
        return;
    const double factor = decayFactor(now);
    m_decayedAt = now;
    for (auto& [key, load] : m_loads)
        load *= factor;
    std::erase_if(m_loads, [](const auto& entry) { return entry.second < evictionThreshold; });
}

void key_load::add(key_number key, double amount, time_point now)
{
    decay(now);
    m_loads[key] += amount;
}

double key_load::total(time_point now) const { return of({ 0, lastKey }, now); }

double key_load::of(key_range keys, time_point now) const
{
    double sum = 0;
    for (auto at = m_loads.lower_bound(keys.first); at != m_loads.end() && at->first <= keys.last; ++at)
        sum += at->second;
    return sum * decayFactor(now);
}

key_range key_load::densest(key_range within, double amount, time_point now) const
{
    const double needed = amount / decayFactor(now);
    key_range best = within;
    double sum = 0;
    auto first = m_loads.lower_bound(within.first);
    for (auto last = first; last != m_loads.end() && last->first <= within.last; ++last) {
        sum += last->second;
        while (sum - first->second >= needed && first != last) {
            sum -= first->second;
            ++first;
        }
        const key_range window { first->first, last->first };
        if (sum >= needed && window.size() < best.size())
            best = window;
    }
    return best;
}

std::vector<std::pair<key_number, double>> key_load::heaviest(std::size_t maxCount, time_point now) const
{
    std::vector<std::pair<key_number, double>> out(m_loads.begin(), m_loads.end());
    if (out.size() > maxCount) {
        std::ranges::nth_element(out, out.begin() + static_cast<std::ptrdiff_t>(maxCount), std::greater<>(),
            &std::pair<key_number, double>::second);
        out.resize(maxCount);
    }
    const double factor = decayFactor(now);
    for (auto& [key, load] : out)
        load *= factor;
    return out;
}

} // namespace heatherdrift
