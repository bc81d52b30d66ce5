#include "configuration/internal/configuration_check.h"

#include "configuration/internal/label_selector.h"

namespace heatherdrift {

namespace {

    failure rejection(std::string_view list, std::size_t index, std::string_view field, const std::string& reason)
    {
        std::string path(list);
        path.append("[").append(std::to_string(index)).append("].").append(field);
        return notRun(error_code::invalid_configuration, path + ": " + reason);
    }

    template <typename Entry> result<void> checkNames(const std::vector<Entry>& entries, std::string_view list)
    {
        std::map<std::string_view, std::size_t> seen;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            const auto [earlier, isNew] = seen.emplace(entries[i].name, i);
            if (!isNew) {
                return rejection(list, i, "name",
                    "\"" + entries[i].name + "\" is already the name of " + std::string(list) + "["
                        + std::to_string(earlier->second) + "]");
            }
        }
        return outcome::success();
    }

    // Compares single entries only: that several earlier ones together match everything is not found, because the
    // general question is co-NP-complete.
    template <typename Entry>
    result<void> checkReachable(const std::vector<Entry>& entries, label_selector Entry::*selector,
        std::string_view list, std::string_view field)
    {
        for (std::size_t later = 0; later < entries.size(); ++later) {
            for (std::size_t earlier = 0; earlier < later; ++earlier) {
                if (covers(entries[earlier].*selector, entries[later].*selector)) {
                    return rejection(list, later, field,
                        "never matches, because the earlier \"" + entries[earlier].name
                            + "\" has the same or a wider condition");
                }
            }
        }
        return outcome::success();
    }

    bool hasSlotForLongCalls(const pool_configuration& pool)
    {
        // 10 * (1 - 0.9) is slightly less than 1 in floating point.
        constexpr double rounding = 1e-9;
        return pool.slots * (1 - pool.shortShare) + rounding >= 1;
    }

    result<void> checkPoolOf(const configuration& value, std::size_t index)
    {
        const auto& selector = value.selectors[index];
        const auto* pool = value.findPool(selector.pool);
        if (!pool)
            return rejection("selectors", index, "pool", "there is no pool \"" + selector.pool + "\"");
        if (selector.policy.length == call_length::long_call && !hasSlotForLongCalls(*pool)) {
            return rejection("selectors", index, "policy.length",
                "the pool \"" + pool->name + "\" reserves all its slots for short calls");
        }
        return outcome::success();
    }

} // namespace

result<void> checkEntries(const configuration& value)
{
    BOOST_OUTCOME_TRY(checkNames(value.pools, "pools"));
    BOOST_OUTCOME_TRY(checkNames(value.selectors, "selectors"));
    for (std::size_t i = 0; i < value.selectors.size(); ++i) {
        BOOST_OUTCOME_TRY(checkPoolOf(value, i));
    }
    BOOST_OUTCOME_TRY(checkReachable(value.pools, &pool_configuration::members, "pools", "members"));
    return checkReachable(value.selectors, &request_selector::requests, "selectors", "requests");
}

} // namespace heatherdrift
