#include "settings/node_settings.h"

#include "settings/internal/address_check.h"

namespace heatherdrift {

namespace {

    constexpr auto code = error_code::invalid_settings;
    constexpr auto optional = json_reader::presence::optional;

    constexpr name_table<log_level, 3> levelNames { {
        { log_level::info, "info" },
        { log_level::warning, "warning" },
        { log_level::error, "error" },
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

    result<listener_settings> parseListeners(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        listener_settings listeners;
        reader.readEndpoint("entry", listeners.entry);
        reader.readEndpoint("forward", listeners.forward);
        reader.readEndpoint("control", listeners.control);
        reader.readEndpoint("admin", listeners.admin);
        BOOST_OUTCOME_TRY(reader.finish());
        return listeners;
    }

    result<trace_settings> parseTrace(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        trace_settings trace;
        reader.readString("file", trace.file);
        if (trace.file.empty())
            reader.reject("file", "expected the path of a file");
        reader.readNumber("sampled_share", trace.sampledShare, 0, 1, optional);
        BOOST_OUTCOME_TRY(reader.finish());
        return trace;
    }

    void checkLease(json_reader& reader, const lease_times& lease)
    {
        // A lease must survive the loss of one renewal and its repetition.
        if (lease.renewalInterval * 3 > lease.timeToLive)
            reader.reject("renewal_interval_ms", "more than a third of ttl_ms");
        // Otherwise a single lost renewal starts a takeover.
        if (lease.silenceLimit < lease.renewalInterval * 2)
            reader.reject("silence_limit_ms", "less than twice renewal_interval_ms");
        // A later start delays the recovery and protects nothing: the lease has ended by then.
        if (lease.silenceLimit > lease.timeToLive)
            reader.reject("silence_limit_ms", "more than ttl_ms");
        // Witnesses learn the age from renewals, and the node needs one round to catch up.
        if (lease.staleConfigurationLimit < lease.renewalInterval * 2)
            reader.reject("stale_configuration_limit_ms", "less than twice renewal_interval_ms");
    }

    result<lease_times> parseLease(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        lease_times lease;
        reader.readMilliseconds("ttl_ms", lease.timeToLive, { 150, 60000 }, optional);
        reader.readMilliseconds("renewal_interval_ms", lease.renewalInterval, { 50, 20000 }, optional);
        reader.readMilliseconds("silence_limit_ms", lease.silenceLimit, { 100, 60000 }, optional);
        reader.readMilliseconds(
            "stale_configuration_limit_ms", lease.staleConfigurationLimit, { 100, 60000 }, optional);
        checkLease(reader, lease);
        BOOST_OUTCOME_TRY(reader.finish());
        return lease;
    }

    void checkRequests(json_reader& reader, const request_limits& limits)
    {
        // The head of a response is buffered whole before it is passed on.
        if (limits.streamBufferBytes < limits.maximumHeaderBytes)
            reader.reject("stream_buffer_bytes", "less than maximum_header_bytes");
        if (std::uint64_t { limits.streamBufferBytes } * limits.maximumExchanges > maximumStreamMemoryBytes) {
            reader.reject("maximum_exchanges",
                "times stream_buffer_bytes is more than " + std::to_string(maximumStreamMemoryBytes) + " bytes");
        }
    }

    result<request_limits> parseRequests(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        request_limits limits;
        reader.readInteger("maximum_body_bytes", limits.maximumBodyBytes, { 0, 64 << 20 }, optional);
        reader.readInteger("maximum_header_bytes", limits.maximumHeaderBytes, { 1 << 10, 1 << 20 }, optional);
        reader.readInteger("stream_buffer_bytes", limits.streamBufferBytes, { 4 << 10, 16 << 20 }, optional);
        reader.readInteger("maximum_exchanges", limits.maximumExchanges, { 1, 100000 }, optional);
        checkRequests(reader, limits);
        BOOST_OUTCOME_TRY(reader.finish());
        return limits;
    }

    template <typename Part> auto into(Part& target, result<Part> (*parse)(const json&, const std::string&))
    {
        return [&target, parse](const json& value, const std::string& path) -> result<void> {
            BOOST_OUTCOME_TRY(part, parse(value, path));
            target = part;
            return outcome::success();
        };
    }

    result<endpoint> parseAddress(const json& value, const std::string& path)
    {
        const auto address = value.is_string() ? parseEndpoint(value.get_ref<const std::string&>()) : std::nullopt;
        if (!address)
            return notRun(code, path + ": expected an IP address and port such as 127.0.0.1:8080");
        return *address;
    }

    void readTableService(json_reader& reader, std::vector<endpoint>& addresses)
    {
        reader.readArray("table_service", [&](const json& value, const std::string& path) -> result<void> {
            BOOST_OUTCOME_TRY(address, parseAddress(value, path));
            addresses.push_back(address);
            return outcome::success();
        });
        if (addresses.empty() || addresses.size() > maximumTableServiceEndpoints) {
            reader.reject(
                "table_service", "expected 1 to " + std::to_string(maximumTableServiceEndpoints) + " addresses");
        }
    }

    json toJson(const listener_settings& listeners)
    {
        return {
            { "entry", toString(listeners.entry) },
            { "forward", toString(listeners.forward) },
            { "control", toString(listeners.control) },
            { "admin", toString(listeners.admin) },
        };
    }

    json toJson(const lease_times& lease)
    {
        return {
            { "ttl_ms", toMilliseconds(lease.timeToLive) },
            { "renewal_interval_ms", toMilliseconds(lease.renewalInterval) },
            { "silence_limit_ms", toMilliseconds(lease.silenceLimit) },
            { "stale_configuration_limit_ms", toMilliseconds(lease.staleConfigurationLimit) },
        };
    }

    json toJson(const request_limits& limits)
    {
        return {
            { "maximum_body_bytes", limits.maximumBodyBytes },
            { "maximum_header_bytes", limits.maximumHeaderBytes },
            { "stream_buffer_bytes", limits.streamBufferBytes },
            { "maximum_exchanges", limits.maximumExchanges },
        };
    }

} // namespace

result<node_settings> parseNodeSettings(const json& document)
{
    json_reader reader(document, "", code);
    node_settings settings;
    readName(reader, "instance_id", settings.instance);
    readName(reader, "availability_zone", settings.availabilityZone);
    readName(reader, "region", settings.region);
    reader.readValue("listeners", into(settings.listeners, parseListeners));
    readTableService(reader, settings.tableService);
    endpoint objectStore;
    reader.readEndpoint("object_store", objectStore, optional);
    if (objectStore.port != 0)
        settings.objectStore = objectStore;
    trace_settings trace;
    reader.readValue("trace", into(trace, parseTrace), optional);
    if (!trace.file.empty())
        settings.trace = trace;
    reader.readEnum("log_level", settings.leastLogLevel, levelNames, optional);
    reader.readValue("lease", into(settings.lease, parseLease), optional);
    reader.readValue("requests", into(settings.requests, parseRequests), optional);
    reader.readMilliseconds("drain_grace_ms", settings.drainGrace, { 0, 60000 }, optional);
    BOOST_OUTCOME_TRY(reader.finish());
    BOOST_OUTCOME_TRY(checkAddresses(settings));
    return settings;
}

json toJson(const node_settings& settings)
{
    json document = {
        { "instance_id", settings.instance },
        { "availability_zone", settings.availabilityZone },
        { "region", settings.region },
        { "listeners", toJson(settings.listeners) },
        { "table_service", json::array() },
        { "log_level", nameOf(levelNames, settings.leastLogLevel) },
        { "lease", toJson(settings.lease) },
        { "requests", toJson(settings.requests) },
        { "drain_grace_ms", toMilliseconds(settings.drainGrace) },
    };
    for (const auto& address : settings.tableService)
        document["table_service"].push_back(toString(address));
    if (settings.objectStore)
        document["object_store"] = toString(*settings.objectStore);
    if (settings.trace)
        document["trace"] = { { "file", settings.trace->file }, { "sampled_share", settings.trace->sampledShare } };
    return document;
}

} // namespace heatherdrift
