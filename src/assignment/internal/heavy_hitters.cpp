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
// (ICDT 2005). Debian 12 packages no library for it. A key without a counter replaces the key with the smallest count
// and takes over that count as its error, so counts are never too low and the smallest count bounds the error.
//
// Decay: forward decay of Cormode, Shkapenyuk, Srivastava, Xu, "Forward Decay" (ICDE 2009). New weights grow
// exponentially from a landmark instead of old counts shrinking, so that counters need no update as time passes.

namespace heatherdrift {

namespace {

    namespace index = boost::multi_index;

    // The counters are rescaled when weights have grown by 2^64, far below the maximum of a double.
    constexpr double maxGrowthExponent = 64;

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

double heavy_hitters::growthExponent(time_point now) const
{
    return std::chrono::duration<double>(now - m_landmark).count() / m_halfLife;
}

void heavy_hitters::rescale(time_point now)
{
    const double factor = std::exp2(-growthExponent(now));
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
    if (growthExponent(now) > maxGrowthExponent)
        rescale(now);
    const double scaledWeight = weight * std::exp2(growthExponent(now));
    if (const auto existing = m_counters->find(key, key_hash(), key_equal()); existing != m_counters->end()) {
        m_counters->modify(existing, [scaledWeight](counter& entry) { entry.count += scaledWeight; });
        return;
    }
    if (m_counters->size() < m_size) {
        m_counters->insert({ std::string(key), scaledWeight, 0 });
        return;
    }
    auto& byCount = m_counters->get<1>();
    byCount.modify(byCount.begin(), [&](counter& entry) {
        entry.key = key;
        entry.error = entry.count;
        entry.count += scaledWeight;
    });
}

std::vector<heavy_hitter> heavy_hitters::top(std::size_t count, time_point now) const
{
    // With a constant load the decayed sum is load * half-life / ln 2.
    const double factor = std::exp2(-growthExponent(now)) * std::numbers::ln2 / m_halfLife;
    std::vector<heavy_hitter> hitters;
    const auto& byCount = m_counters->get<1>();
    for (auto entry = byCount.rbegin(); entry != byCount.rend() && hitters.size() < count; ++entry)
        hitters.push_back({ entry->key, entry->count * factor, entry->error * factor });
    return hitters;
}

} // namespace heatherdrift
