#include "assignment/heavy_hitters.h"

#include "assignment/page_edit.h"
#include "base/hash.h"

#include <algorithm>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cmath>
#include <numbers>

// Space-Saving: Metwally, Agrawal, El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data Streams"
// (ICDT 2005). Debian 12 packages no library of it. A key without a counter replaces the smallest one and inherits its
// count as its error, so counts are never too low and the smallest count bounds the error.
//
// Decay: forward decay of Cormode, Shkapenyuk, Srivastava, Xu, "Forward Decay" (ICDE 2009). New weights grow
// exponentially from a landmark instead of old counts shrinking, so that time passing changes no counter.

namespace heatherdrift {

namespace {

    namespace index = boost::multi_index;

    // Weights grow to 2^64 before the counters are scaled back, far below the range of a double.
    constexpr double longestGrowth = 64;

    struct counter {
        std::string key;
        double count = 0;
        double error = 0;
    };

    struct key_hash {
        std::size_t operator()(std::string_view key) const { return hashBytes(key); }
    };

    struct key_equal {
        bool operator()(std::string_view one, std::string_view other) const { return one == other; }
    };

    using counter_container = index::multi_index_container<counter,
        index::indexed_by<index::hashed_unique<index::member<counter, std::string, &counter::key>, key_hash, key_equal>,
            index::ordered_non_unique<index::member<counter, double, &counter::count>>>>;

} // namespace

struct heavy_hitters::counters : counter_container { };

heavy_hitters::heavy_hitters(std::size_t counters, duration halfLife)
    : m_size(counters)
    , m_halfLife(std::chrono::duration<double>(halfLife).count())
    , m_counters(std::make_unique<heavy_hitters::counters>())
{
}

heavy_hitters::~heavy_hitters() = default;
heavy_hitters::heavy_hitters(heavy_hitters&&) noexcept = default;
heavy_hitters& heavy_hitters::operator=(heavy_hitters&&) noexcept = default;

double heavy_hitters::growth(time_point now) const
{
    return std::chrono::duration<double>(now - m_landmark).count() / m_halfLife;
}

void heavy_hitters::rescale(time_point now)
{
    const double factor = std::exp2(-growth(now));
    auto scaled = std::make_unique<counters>();
    for (const auto& entry : *m_counters)
        scaled->insert({ entry.key, entry.count * factor, entry.error * factor });
    m_counters = std::move(scaled);
    m_landmark = now;
}

void heavy_hitters::add(std::string_view key, double weight, time_point now)
{
    if (key.empty() || key.size() > maximumHotKeyBytes)
        return;
    if (growth(now) > longestGrowth)
        rescale(now);
    const double grown = weight * std::exp2(growth(now));
    if (const auto known = m_counters->find(key, key_hash(), key_equal()); known != m_counters->end()) {
        m_counters->modify(known, [grown](counter& entry) { entry.count += grown; });
        return;
    }
    if (m_counters->size() < m_size) {
        m_counters->insert({ std::string(key), grown, 0 });
        return;
    }
    auto& byCount = m_counters->get<1>();
    byCount.modify(byCount.begin(), [&](counter& entry) {
        entry.key = key;
        entry.error = entry.count;
        entry.count += grown;
    });
}

std::vector<heavy_hitter> heavy_hitters::top(std::size_t count, time_point now) const
{
    // At a constant load the decayed sum is load * half-life / ln 2.
    const double factor = std::exp2(-growth(now)) * std::numbers::ln2 / m_halfLife;
    std::vector<heavy_hitter> hitters;
    const auto& byCount = m_counters->get<1>();
    for (auto entry = byCount.rbegin(); entry != byCount.rend() && hitters.size() < count; ++entry)
        hitters.push_back({ entry->key, entry->count * factor, entry->error * factor });
    return hitters;
}

} // namespace heatherdrift
