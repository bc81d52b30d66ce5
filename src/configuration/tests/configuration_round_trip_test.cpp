#include "configuration/configuration_limits.h"
#include "configuration/configuration_store_rows.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    std::string arbitraryValue()
    {
        const auto character
            = rc::gen::suchThat(rc::gen::inRange(' ', '\x7f'), [](char c) { return c != ',' && c != '='; });
        return "v" + *rc::gen::container<std::string>(character) + "v";
    }

    // The label "id" makes every selector match something that the others do not.
    label_selector arbitrarySelector(std::size_t id)
    {
        label_selector selector;
        for (const auto* name : { "a.1", "b-c" }) {
            const auto test = *rc::gen::inRange(0, 5);
            label_condition condition { name, static_cast<label_condition::kind>(test), {} };
            if (test < 2)
                condition.values = { arbitraryValue(), arbitraryValue() + "2" };
            std::ranges::sort(condition.values);
            if (test < 4)
                selector.conditions.push_back(condition);
        }
        selector.conditions.push_back({ "id", label_condition::kind::in, { std::to_string(id) } });
        return selector;
    }

    call_policy arbitraryPolicy()
    {
        call_policy policy;
        policy.once = static_cast<once_mode>(*rc::gen::inRange(0, 4));
        const bool isOnce = policy.once != once_mode::none;
        policy.ownership = static_cast<ownership_need>(*rc::gen::inRange(isOnce ? 1 : 0, 3));
        const bool isLong = !isOnce && *rc::gen::arbitrary<bool>();
        policy.length = isLong ? call_length::long_call : call_length::short_call;
        policy.priority = *rc::gen::inRange(0, 10);
        auto most = isLong ? maximumTimeout : isOnce ? maximumOnceTimeout : maximumShortTimeout;
        if (policy.ownership == ownership_need::run)
            most = std::min(most, maximumRunTimeout);
        const auto least = isLong ? minimumLongTimeout : std::chrono::milliseconds(1);
        policy.timeout = std::chrono::milliseconds(
            *rc::gen::inRange(least / std::chrono::milliseconds(1), most / std::chrono::milliseconds(1) + 1));
        return policy;
    }

    configuration arbitraryConfiguration()
    {
        configuration value;
        for (std::size_t i = 0, count = *rc::gen::inRange(1, 5); i < count; ++i) {
            pool_configuration pool { "p" + std::to_string(i), arbitrarySelector(i) };
            pool.partitions = 1u << *rc::gen::inRange(0, 17);
            pool.slots = *rc::gen::inRange(2, maximumSlots + 1);
            pool.connections = *rc::gen::inRange(pool.slots, maximumConnections + 1);
            pool.shortShare = *rc::gen::inRange(0, 1 << 20) / static_cast<double>(1 << 21);
            pool.maximumBodyBytes = *rc::gen::inRange(0u, maximumPoolBodyBytes + 1);
            value.pools.push_back(pool);
        }
        for (std::size_t i = 0, count = *rc::gen::inRange(0, 6); i < count; ++i) {
            const auto pool = *rc::gen::elementOf(value.pools);
            value.selectors.push_back({ "s" + std::to_string(i), arbitrarySelector(i), pool.name, arbitraryPolicy() });
        }
        for (std::size_t i = 0, count = *rc::gen::inRange(0, 4); i < count; ++i)
            value.instanceLabels["i" + std::to_string(i)] = { { "drain", "true" }, { "x", arbitraryValue() } };
        return value;
    }

    // Guards against a field that is lost or changed between the operator, the store and the nodes.
    RC_GTEST_PROP(ConfigurationRoundTrip, ParseInvertsToJson, ())
    {
        configuration_row row { arbitraryConfiguration(), arbitraryValue() };
        RC_ASSERT(parseConfiguration(toJson(row.value)).value() == row.value);
        row.value.version = *rc::gen::inRange<std::int64_t>(1, INT64_MAX);
        RC_ASSERT(parseConfigurationRow(toJsonText(row)).value() == row);
    }

} // namespace
} // namespace heatherdrift
