#include "node/admin_service.h"

#include "routing/call.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace heatherdrift {

namespace {

    constexpr const char* announcementsPath = "/v1/announcements";
    constexpr const char* configurationPath = "/v1/configuration";
    constexpr const char* drainPath = "/v1/drain";
    constexpr std::string_view instancesPrefix = "/v1/instances/";
    constexpr std::string_view declareLostSuffix = "/declare-lost";

    void answer(const http_exchange_ptr& exchange, const json& document)
    {
        exchange->respond({ { 200, { { "Content-Type", "application/json" } } }, document.dump() + "\n" });
    }

    void answer(const http_exchange_ptr& exchange, const failure& reason)
    {
        exchange->respond(toFailureResponse(reason, ""));
    }

    std::string pathOf(const http_request& request) { return request.target.substr(0, request.target.find('?')); }

    /// Value of a query parameter, decoded; empty if absent.
    std::string queryValue(const http_request& request, const char* name)
    {
        const auto mark = request.target.find('?');
        if (mark == std::string::npos)
            return "";
        evkeyvalq fields {};
        evhttp_parse_query_str(request.target.c_str() + mark + 1, &fields);
        const auto* value = evhttp_find_header(&fields, name);
        std::string text = value ? value : "";
        evhttp_clear_headers(&fields);
        return text;
    }

    json toJson(const member_row& row, row_version version)
    {
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
            { "version", version },
        };
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

    struct configuration_change {
        std::int64_t baseVersion = 0;
        configuration next;
    };

    result<configuration_change> parseChange(const std::string& body)
    {
        BOOST_OUTCOME_TRY(document, parseJson(body, error_code::invalid_configuration));
        json_reader reader(document, "", error_code::invalid_configuration);
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

} // namespace

admin_service::admin_service(control_node& node, const metrics_registry& metrics)
    : m_node(node)
    , m_metrics(metrics)
{
}

void admin_service::handle(http_exchange_ptr exchange)
{
    const auto& request = exchange->request();
    const auto path = pathOf(request);
    if (request.method == "GET")
        return answerGet(exchange);
    if (request.method == "POST" && path == announcementsPath)
        return announce(exchange);
    if (request.method == "PUT" && path == configurationPath)
        return applyConfiguration(exchange);
    if (request.method == "POST" && path == drainPath) {
        m_node.drain();
        return answer(exchange, json::object());
    }
    if (request.method == "POST" && path.starts_with(instancesPrefix) && path.ends_with(declareLostSuffix)) {
        const auto length = path.size() - instancesPrefix.size() - declareLostSuffix.size();
        return declareLost(exchange, path.substr(instancesPrefix.size(), length));
    }
    answer(exchange, notRun(error_code::not_found, "no such resource or method"));
}

void admin_service::answerGet(const http_exchange_ptr& exchange)
{
    const auto path = pathOf(exchange->request());
    if (path == "/metrics")
        exchange->respond({ { 200, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_metrics.text() });
    else if (path == "/v1/status")
        answerStatus(exchange);
    else if (path == "/v1/members")
        answerMembers(exchange);
    else if (path == "/v1/owner")
        answerOwner(exchange);
    else if (path == "/v1/partitions")
        answerPartitions(exchange);
    else if (path == configurationPath)
        answerConfiguration(exchange);
    else
        answer(exchange, notRun(error_code::not_found, "no such resource"));
}

void admin_service::answerStatus(const http_exchange_ptr& exchange)
{
    const auto status = m_node.status();
    json witnesses = json::array();
    for (const auto& witness : status.witnesses)
        witnesses.push_back(toString(witness));
    answer(exchange,
        json {
            { "instance", status.self.id },
            { "incarnation", status.self.number },
            { "is_registered", status.isRegistered },
            { "has_lease", status.hasLease },
            { "lease_remaining_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(status.leaseRemaining).count() },
            { "witnesses", witnesses },
            { "configuration_version", status.configurationVersion },
            { "moves_in_progress", status.movesInProgress },
            { "takeovers_in_progress", status.takeoversInProgress },
            { "unresolved_writes", status.unresolvedWrites },
            { "is_store_available", status.isStoreAvailable },
            { "replica_bytes", status.replicaBytes },
        });
}

void admin_service::answerMembers(const http_exchange_ptr& exchange)
{
    json members = json::array();
    for (const auto& member : m_node.members())
        members.push_back(toJson(member.row, member.version));
    answer(exchange, json { { "members", members } });
}

void admin_service::answerOwner(const http_exchange_ptr& exchange)
{
    const auto pool = queryValue(exchange->request(), "pool");
    const auto key = queryValue(exchange->request(), "key");
    const auto snapshot = m_node.snapshot();
    const auto* known = snapshot && snapshot->configuration ? snapshot->configuration->findPool(pool) : nullptr;
    if (!known)
        return answer(exchange, notRun(error_code::not_found, "no such pool"));
    const auto found = snapshot->partitions.find(*known, key);
    if (!found || !found->owner)
        return answer(exchange, notRun(error_code::no_owner, "the key has no owner"));
    answer(exchange,
        json { { "pool", pool }, { "key", key }, { "partition", found->index }, { "epoch", found->number },
            { "owner", found->owner->id }, { "incarnation", found->owner->number } });
}

void admin_service::answerPartitions(const http_exchange_ptr& exchange)
{
    const auto pool = queryValue(exchange->request(), "pool");
    const auto snapshot = m_node.snapshot();
    if (!snapshot || !snapshot->configuration || !snapshot->configuration->findPool(pool))
        return answer(exchange, notRun(error_code::not_found, "no such pool"));
    json partitions = json::array();
    snapshot->partitions.forEach(pool, [&](const partition_view& view) {
        partitions.push_back({ { "partition", view.index }, { "epoch", view.number },
            { "owner", view.owner ? view.owner->id : "" }, { "incarnation", view.owner ? view.owner->number : 0 },
            { "hot_key", snapshot->partitions.hotKeyOf(pool, view.index) } });
    });
    answer(exchange, json { { "pool", pool }, { "partitions", partitions } });
}

void admin_service::answerConfiguration(const http_exchange_ptr& exchange)
{
    const auto snapshot = m_node.snapshot();
    if (!snapshot || !snapshot->configuration)
        return answer(exchange, json { { "version", 0 }, { "configuration", nullptr } });
    answer(exchange,
        json { { "version", snapshot->configuration->version },
            { "configuration", heatherdrift::toJson(*snapshot->configuration) } });
}

void admin_service::applyConfiguration(const http_exchange_ptr& exchange)
{
    auto change = parseChange(exchange->request().body);
    if (change.has_error())
        return answer(exchange, change.error());
    const auto baseVersion = change.value().baseVersion;
    m_node.applyConfiguration(
        std::move(change).value().next, baseVersion, [exchange](const result<std::int64_t>& version) {
            if (version.has_error())
                return answer(exchange, version.error());
            answer(exchange, json { { "version", version.value() } });
        });
}

void admin_service::announce(const http_exchange_ptr& exchange)
{
    const auto backend = parseAnnouncement(exchange->request().body);
    if (backend.has_error())
        return answer(exchange, backend.error());
    m_node.onAnnouncement(backend.value());
    answer(exchange, json::object());
}

void admin_service::declareLost(const http_exchange_ptr& exchange, const instance_id& id)
{
    const auto declared = m_node.declareLost(id);
    if (declared.has_error())
        return answer(exchange, declared.error());
    answer(exchange, json::object());
}

} // namespace heatherdrift
