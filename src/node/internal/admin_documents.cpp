#include "node/internal/admin_documents.h"

namespace heatherdrift {

json toJson(const node_status& status)
{
    json witnesses = json::array();
    for (const auto& witness : status.witnesses)
        witnesses.push_back(toString(witness));
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(status.leaseRemaining);
    return {
        { "instance", status.self.id },
        { "incarnation", status.self.number },
        { "is_registered", status.isRegistered },
        { "has_lease", status.hasLease },
        { "lease_remaining_ms", remaining.count() },
        { "witnesses", witnesses },
        { "configuration_version", status.configurationVersion },
        { "moves_in_progress", status.movesInProgress },
        { "takeovers_in_progress", status.takeoversInProgress },
        { "unresolved_writes", status.unresolvedWrites },
        { "is_store_available", status.isStoreAvailable },
        { "replica_bytes", status.replicaBytes },
    };
}

json toJson(const versioned_member& member, std::optional<std::size_t> owned)
{
    const auto& row = member.row;
    return {
        { "instance", row.self.id },
        { "incarnation", row.self.number },
        { "state", toString(row.state) },
        { "region", row.region },
        { "availability_zone", row.availabilityZone },
        { "entry", toString(row.entry) },
        { "forward", toString(row.forward) },
        { "control", toString(row.control) },
        { "admin", toString(row.admin) },
        { "labels", row.labels },
        { "slots", row.slots },
        { "partitions", owned ? json(*owned) : json(nullptr) },
        { "version", member.version },
    };
}

json toJson(const partition_view& view)
{
    return {
        { "partition", view.index },
        { "epoch", view.number },
        { "owner", view.owner ? view.owner->id : "" },
        { "incarnation", view.owner ? view.owner->number : 0 },
    };
}

json toJson(const recorded_events& recorded)
{
    std::map<log_event, const log_event_definition*> definitions;
    for (const auto& definition : logEventCatalogue())
        definitions[definition.event] = &definition;
    json events = json::array();
    for (const auto& record : recorded.events) {
        const auto& definition = *definitions.at(record.event);
        constexpr const char* levels[] = { "info", "warning", "error" };
        const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(record.time.time_since_epoch());
        json fields = json::object();
        for (const auto& [name, value] : record.fields)
            fields[name] = value;
        events.push_back({
            { "sequence", record.sequence },
            { "time_ms", time.count() },
            { "number", static_cast<int>(record.event) },
            { "name", definition.name },
            { "level", levels[static_cast<int>(definition.level)] },
            { "fields", fields },
        });
    }
    return { { "events", events }, { "last", recorded.last } };
}

result<backend_description> parseAnnouncement(const std::string& body)
{
    BOOST_OUTCOME_TRY(document, parseJson(body, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    backend_description backend;
    const auto optional = json_reader::presence::optional;
    reader.readEndpoint("address", backend.address);
    reader.readInteger("slots", backend.slots, { 0, 10000 }, optional);
    reader.readBool("checks_grants", backend.checksGrants, optional);
    reader.readValue("labels", [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(labels, parseLabels(value, path, error_code::bad_request));
        backend.labels = std::move(labels);
        return outcome::success();
    });
    BOOST_OUTCOME_TRYV(reader.finish());
    return backend;
}

result<configuration_change> parseConfigurationChange(const std::string& body)
{
    BOOST_OUTCOME_TRY(document, parseJson(body, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    configuration_change change;
    reader.readInteger("base_version", change.baseVersion, { 0, INT64_MAX - 1 });
    reader.readValue("configuration", [&](const json& value, const std::string&) -> result<void> {
        BOOST_OUTCOME_TRY(parsed, parseConfiguration(value));
        change.next = std::move(parsed);
        return outcome::success();
    });
    BOOST_OUTCOME_TRYV(reader.finish());
    return change;
}

result<void> checkEmptyBody(const std::string& body)
{
    if (body.empty())
        return outcome::success();
    BOOST_OUTCOME_TRY(document, parseJson(body, error_code::bad_request));
    return json_reader(document, "", error_code::bad_request).finish();
}

} // namespace heatherdrift
