#include "configuration/configuration.h"

#include "configuration/configuration_limits.h"
#include "configuration/internal/configuration_check.h"
#include "configuration/internal/label_selector.h"

#include <bit>

namespace heatherdrift {

namespace {

    constexpr auto code = error_code::invalid_configuration;
    constexpr auto optional = json_reader::presence::optional;

    constexpr name_table<once_mode, 4> onceNames { {
        { once_mode::none, "none" },
        { once_mode::token, "token" },
        { once_mode::intent_row, "intent_row" },
        { once_mode::backend_server, "backend_server" },
    } };

    constexpr name_table<ownership_need, 3> ownershipNames { {
        { ownership_need::none, "none" },
        { ownership_need::start, "start" },
        { ownership_need::run, "run" },
    } };

    constexpr name_table<call_length, 2> lengthNames { {
        { call_length::short_call, "short" },
        { call_length::long_call, "long" },
    } };

    std::int64_t toMilliseconds(duration value)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
    }

    void readName(json_reader& reader, const char* field, std::string& target)
    {
        reader.readString(field, target);
        if (!isName(target))
            reader.reject(field, nameRule);
    }

    void readSelector(json_reader& reader, const char* field, label_selector& target)
    {
        reader.readValue(field, [&](const json& value, const std::string& path) -> result<void> {
            BOOST_OUTCOME_TRY(selector, parseLabelSelector(value, path));
            target = selector;
            return outcome::success();
        });
    }

    void checkOnce(json_reader& reader, const call_policy& policy, bool hasOwnership)
    {
        if (policy.once == once_mode::none)
            return;
        // The ledger that makes a call run once is kept by the owner of its key, so the choice must be deliberate.
        if (!hasOwnership || policy.ownership == ownership_need::none)
            reader.reject("ownership", "a once call needs \"start\" or \"run\"");
        if (policy.length == call_length::long_call)
            reader.reject("length", "a once call must be \"short\"");
    }

    void checkTimeout(json_reader& reader, const call_policy& policy)
    {
        const auto limit = [&](bool applies, std::string_view calls, duration most) {
            if (applies && policy.timeout > most)
                reader.reject("timeout_ms", std::string(calls) + " at most " + std::to_string(toMilliseconds(most)));
        };
        limit(policy.ownership == ownership_need::run, "a call with ownership \"run\" may take", maximumRunTimeout);
        limit(policy.once != once_mode::none, "a once call may take", maximumOnceTimeout);
        limit(policy.length == call_length::short_call, "a short call may take", maximumShortTimeout);
        if (policy.length == call_length::long_call && policy.timeout < minimumLongTimeout)
            reader.reject(
                "timeout_ms", "a long call needs at least " + std::to_string(toMilliseconds(minimumLongTimeout)));
    }

    result<call_policy> parsePolicy(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        call_policy policy;
        reader.readEnum("once", policy.once, onceNames, optional);
        reader.readEnum("ownership", policy.ownership, ownershipNames, optional);
        reader.readEnum("length", policy.length, lengthNames, optional);
        reader.readInteger("priority", policy.priority, { 0, 9 }, optional);
        reader.readMilliseconds("timeout_ms", policy.timeout, { 1, toMilliseconds(maximumTimeout) }, optional);
        checkOnce(reader, policy, value.contains("ownership"));
        checkTimeout(reader, policy);
        BOOST_OUTCOME_TRY(reader.finish());
        return policy;
    }

    result<pool_configuration> parsePool(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        pool_configuration pool;
        readName(reader, "name", pool.name);
        readSelector(reader, "members", pool.members);
        reader.readInteger("partitions", pool.partitions, { 1, maximumPartitions }, optional);
        if (!std::has_single_bit(pool.partitions))
            reader.reject("partitions", "expected a power of two");
        reader.readInteger("slots", pool.slots, { 1, maximumSlots }, optional);
        reader.readInteger("connections", pool.connections, { 1, maximumConnections }, optional);
        // A call occupies a connection for its whole run.
        if (pool.connections < pool.slots)
            reader.reject("connections", "fewer than the " + std::to_string(pool.slots) + " slots");
        reader.readNumber("short_share", pool.shortShare, 0, 1, optional);
        reader.readInteger("maximum_body_bytes", pool.maximumBodyBytes, { 0, maximumPoolBodyBytes }, optional);
        BOOST_OUTCOME_TRY(reader.finish());
        return pool;
    }

    result<request_selector> parseSelector(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        request_selector selector;
        readName(reader, "name", selector.name);
        readSelector(reader, "requests", selector.requests);
        readName(reader, "pool", selector.pool);
        const auto readPolicy = [&](const json& policyValue, const std::string& policyPath) -> result<void> {
            BOOST_OUTCOME_TRY(policy, parsePolicy(policyValue, policyPath));
            selector.policy = policy;
            return outcome::success();
        };
        reader.readValue("policy", readPolicy, optional);
        BOOST_OUTCOME_TRY(reader.finish());
        return selector;
    }

    result<label_set> parseInstanceLabels(const std::string& instance, const json& value, const std::string& path)
    {
        if (!isName(instance))
            return notRun(code, path + ": instance name: " + nameRule);
        BOOST_OUTCOME_TRY(labels, parseLabels(value, path, code));
        // Any other value would look like a drain and have no effect.
        const auto drain = labels.find("drain");
        if (drain != labels.end() && drain->second != "true" && drain->second != "false")
            return notRun(code, path + ".drain: expected \"true\" or \"false\"");
        return labels;
    }

    template <typename Entry>
    auto appender(
        std::vector<Entry>& entries, std::size_t most, result<Entry> (*parse)(const json&, const std::string&))
    {
        return [&entries, most, parse](const json& value, const std::string& path) -> result<void> {
            if (entries.size() == most)
                return notRun(code, path + ": more than " + std::to_string(most) + " entries");
            BOOST_OUTCOME_TRY(entry, parse(value, path));
            entries.push_back(entry);
            return outcome::success();
        };
    }

    json toJson(const call_policy& policy)
    {
        return {
            { "once", nameOf(onceNames, policy.once) },
            { "ownership", nameOf(ownershipNames, policy.ownership) },
            { "length", nameOf(lengthNames, policy.length) },
            { "priority", policy.priority },
            { "timeout_ms", toMilliseconds(policy.timeout) },
        };
    }

    json toJson(const pool_configuration& pool)
    {
        return {
            { "name", pool.name },
            { "members", toJson(pool.members) },
            { "partitions", pool.partitions },
            { "slots", pool.slots },
            { "connections", pool.connections },
            { "short_share", pool.shortShare },
            { "maximum_body_bytes", pool.maximumBodyBytes },
        };
    }

    json toJson(const request_selector& selector)
    {
        return {
            { "name", selector.name },
            { "requests", toJson(selector.requests) },
            { "pool", selector.pool },
            { "policy", toJson(selector.policy) },
        };
    }

} // namespace

result<configuration> parseConfiguration(const json& document)
{
    json_reader reader(document, "", code);
    configuration value;
    reader.readArray("pools", appender(value.pools, maximumPools, parsePool));
    reader.readArray("selectors", appender(value.selectors, maximumSelectors, parseSelector));
    const auto readInstance
        = [&](const std::string& instance, const json& entry, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(labels, parseInstanceLabels(instance, entry, path));
        value.instanceLabels.emplace(instance, labels);
        return outcome::success();
    };
    reader.readMembers("instance_labels", readInstance, optional);
    BOOST_OUTCOME_TRY(reader.finish());
    BOOST_OUTCOME_TRY(checkEntries(value));
    if (const auto size = toJson(value).dump().size(); size > maximumConfigurationBytes) {
        return notRun(code,
            "document: " + std::to_string(size) + " bytes as compact JSON, at most "
                + std::to_string(maximumConfigurationBytes) + " are allowed");
    }
    return value;
}

json toJson(const configuration& value)
{
    json document = {
        { "pools", json::array() },
        { "selectors", json::array() },
        { "instance_labels", value.instanceLabels },
    };
    for (const auto& pool : value.pools)
        document["pools"].push_back(toJson(pool));
    for (const auto& selector : value.selectors)
        document["selectors"].push_back(toJson(selector));
    return document;
}

} // namespace heatherdrift
