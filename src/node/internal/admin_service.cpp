#include "node/admin_service.h"

#include "http/query_reader.h"
#include "node/internal/admin_documents.h"
#include "routing/call.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

struct admin_service::resource {
    std::string_view path;
    std::string_view method;
    void (admin_service::*answer)(const http_exchange_ptr&);
};

namespace {

    constexpr std::string_view instancesPrefix = "/v1/instances/";
    constexpr const char* drainLabel = "drain";

    void answer(const http_exchange_ptr& exchange, const json& document)
    {
        // Keys and log fields may hold any bytes; those that are not UTF-8 are replaced.
        exchange->respond({ { 200, { { "Content-Type", "application/json" } } },
            document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n" });
    }

    void answer(const http_exchange_ptr& exchange, const failure& reason)
    {
        auto response = toFailureResponse(reason, "");
        if (reason.code == error_code::invalid_configuration)
            response.head.status = 400;
        exchange->respond(std::move(response));
    }

    void answerWrongMethod(const http_exchange_ptr& exchange, const std::string& allowed)
    {
        auto response = toFailureResponse(notRun(error_code::bad_request, "the resource allows " + allowed), "");
        response.head.status = 405;
        response.head.headers.set("Allow", allowed);
        exchange->respond(std::move(response));
    }

    /// Whether the request has no query and no body; otherwise it is answered.
    bool isPlain(const http_exchange_ptr& exchange)
    {
        auto checked = query_reader(exchange->request().target).finish();
        if (!checked.has_error())
            checked = checkEmptyBody(exchange->request().body.text());
        if (checked.has_error())
            answer(exchange, checked.error());
        return !checked.has_error();
    }

    const pool_configuration* findPool(const routing_snapshot_ptr& snapshot, const std::string& name)
    {
        return snapshot && snapshot->configuration ? snapshot->configuration->findPool(name) : nullptr;
    }

    failure noSuchPool(const std::string& pool)
    {
        return notRun(error_code::not_found, "query.pool: no pool is named " + pool);
    }

    std::map<instance_id, std::size_t> countOwned(const routing_snapshot& snapshot)
    {
        std::map<instance_id, std::size_t> counts;
        for (const auto& pool : snapshot.configuration->pools) {
            snapshot.partitions.forEach(pool.name, [&](const partition_view& view) {
                if (view.owner)
                    ++counts[view.owner->id];
            });
        }
        return counts;
    }

} // namespace

const std::vector<admin_service::resource>& admin_service::resources()
{
    static const std::vector<resource> table {
        { "/metrics", "GET", &admin_service::answerMetrics },
        { "/v1/status", "GET", &admin_service::answerStatus },
        { "/v1/members", "GET", &admin_service::answerMembers },
        { "/v1/owner", "GET", &admin_service::answerOwner },
        { "/v1/partitions", "GET", &admin_service::answerPartitions },
        { "/v1/hot-keys", "GET", &admin_service::answerHotKeys },
        { "/v1/events", "GET", &admin_service::answerEvents },
        { "/v1/configuration", "GET", &admin_service::answerConfiguration },
        { "/v1/configuration", "PUT", &admin_service::putConfiguration },
        { "/v1/announcements", "POST", &admin_service::announce },
        { "/v1/drain", "POST", &admin_service::drainNode },
    };
    return table;
}

admin_service::admin_service(control_node& node, const metrics_registry& metrics, delay_function after)
    : m_node(node)
    , m_metrics(metrics)
    , m_after(std::move(after))
{
}

void admin_service::handle(http_exchange_ptr exchange)
{
    const auto& request = exchange->request();
    const auto path = pathOf(request.target);
    if (path.starts_with(instancesPrefix))
        return handleInstance(exchange, path.substr(instancesPrefix.size()));
    std::string allowed;
    for (const auto& resource : resources()) {
        if (resource.path != path)
            continue;
        if (resource.method == request.method)
            return (this->*resource.answer)(exchange);
        allowed.append(allowed.empty() ? "" : ", ").append(resource.method);
    }
    if (!allowed.empty())
        return answerWrongMethod(exchange, allowed);
    answer(exchange, notRun(error_code::not_found, "no such resource"));
}

void admin_service::handleInstance(const http_exchange_ptr& exchange, std::string_view path)
{
    const auto slash = path.find('/');
    const instance_id id(path.substr(0, slash));
    const auto action = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
    if (action != "drain" && action != "undrain" && action != "declare-lost")
        return answer(exchange, notRun(error_code::not_found, "no such resource"));
    if (exchange->request().method != "POST")
        return answerWrongMethod(exchange, "POST");
    if (!isName(id))
        return answer(exchange, notRun(error_code::bad_request, std::string("path.instance: ") + nameRule));
    if (!isPlain(exchange))
        return;
    if (action == "declare-lost")
        return declareLost(exchange, id);
    setDrainLabel(exchange, id, action == "drain");
}

void admin_service::answerMetrics(const http_exchange_ptr& exchange)
{
    exchange->respond({ { 200, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_metrics.text() });
}

void admin_service::answerStatus(const http_exchange_ptr& exchange)
{
    if (isPlain(exchange))
        answer(exchange, toJson(m_node.status()));
}

void admin_service::answerMembers(const http_exchange_ptr& exchange)
{
    if (!isPlain(exchange))
        return;
    const auto snapshot = m_node.snapshot();
    std::optional<std::map<instance_id, std::size_t>> owned;
    if (snapshot && snapshot->configuration)
        owned = countOwned(*snapshot);
    json members = json::array();
    for (const auto& member : m_node.members())
        members.push_back(toJson(member, owned ? std::optional((*owned)[member.row.self.id]) : std::nullopt));
    answer(exchange, json { { "members", members } });
}

void admin_service::answerOwner(const http_exchange_ptr& exchange)
{
    query_reader query(exchange->request().target);
    const auto pool = query.readText("pool");
    const auto key = query.readText("key");
    const auto checked = query.finish();
    if (checked.has_error())
        return answer(exchange, checked.error());
    const auto snapshot = m_node.snapshot();
    const auto* known = findPool(snapshot, pool);
    if (!known)
        return answer(exchange, noSuchPool(pool));
    const auto found = snapshot->partitions.find(*known, key);
    if (!found || !found->owner)
        return answer(exchange, notRun(error_code::no_owner, "the key has no owner"));
    auto document = toJson(*found);
    document["pool"] = pool;
    document["key"] = key;
    answer(exchange, document);
}

void admin_service::answerPartitions(const http_exchange_ptr& exchange)
{
    query_reader query(exchange->request().target);
    const auto pool = query.readText("pool");
    const auto owner = query.readOptionalText("owner");
    const auto checked = query.finish();
    if (checked.has_error())
        return answer(exchange, checked.error());
    const auto snapshot = m_node.snapshot();
    if (!findPool(snapshot, pool))
        return answer(exchange, noSuchPool(pool));
    json partitions = json::array();
    snapshot->partitions.forEach(pool, [&](const partition_view& view) {
        if (owner && *owner != (view.owner ? view.owner->id : ""))
            return;
        auto document = toJson(view);
        document["hot_key"] = snapshot->partitions.hotKeyOf(pool, view.index);
        partitions.push_back(std::move(document));
    });
    answer(exchange, json { { "pool", pool }, { "partitions", partitions } });
}

void admin_service::answerHotKeys(const http_exchange_ptr& exchange)
{
    query_reader query(exchange->request().target);
    const auto wanted = query.readOptionalText("pool");
    const auto checked = query.finish();
    if (checked.has_error())
        return answer(exchange, checked.error());
    const auto snapshot = m_node.snapshot();
    if (wanted && !findPool(snapshot, *wanted))
        return answer(exchange, noSuchPool(*wanted));
    json keys = json::array();
    if (!snapshot || !snapshot->configuration)
        return answer(exchange, json { { "hot_keys", keys } });
    for (const auto& pool : snapshot->configuration->pools) {
        if (wanted && *wanted != pool.name)
            continue;
        snapshot->partitions.forEach(pool.name, [&](const partition_view& view) {
            if (!isHotPartition(view.index))
                return;
            auto document = toJson(view);
            document["pool"] = pool.name;
            document["key"] = snapshot->partitions.hotKeyOf(pool.name, view.index);
            keys.push_back(std::move(document));
        });
    }
    answer(exchange, json { { "hot_keys", keys } });
}

void admin_service::answerEvents(const http_exchange_ptr& exchange)
{
    query_reader query(exchange->request().target);
    const auto after = query.readOptionalInteger("after", 0);
    const auto checked = query.finish();
    if (checked.has_error())
        return answer(exchange, checked.error());
    answer(exchange, toJson(recordedEvents(static_cast<std::uint64_t>(after.value_or(0)))));
}

void admin_service::answerConfiguration(const http_exchange_ptr& exchange)
{
    query_reader query(exchange->request().target);
    const auto version = query.readOptionalInteger("version", 1);
    const auto checked = query.finish();
    if (checked.has_error())
        return answer(exchange, checked.error());
    const auto answerWith = [](const http_exchange_ptr& to, const configuration& value) {
        answer(to, json { { "version", value.version }, { "configuration", heatherdrift::toJson(value) } });
    };
    if (version) {
        return m_node.readConfiguration(*version, [exchange, answerWith](const result<configuration>& read) {
            if (read.has_error())
                return answer(exchange, read.error());
            answerWith(exchange, read.value());
        });
    }
    const auto snapshot = m_node.snapshot();
    if (!snapshot || !snapshot->configuration)
        return answer(exchange, json { { "version", 0 }, { "configuration", nullptr } });
    answerWith(exchange, *snapshot->configuration);
}

void admin_service::putConfiguration(const http_exchange_ptr& exchange)
{
    const auto query = query_reader(exchange->request().target).finish();
    if (query.has_error())
        return answer(exchange, query.error());
    auto change = parseConfigurationChange(exchange->request().body.text());
    if (change.has_error())
        return answer(exchange, change.error());
    const auto baseVersion = change.value().baseVersion;
    apply(exchange, std::move(change).value().next, baseVersion);
}

void admin_service::apply(const http_exchange_ptr& exchange, configuration next, std::int64_t baseVersion)
{
    // Looking for the outcome of a write goes on for as long as the store is away; the operator gets an answer.
    m_after(configurationAnswerTime, [pending = std::weak_ptr<http_exchange>(exchange), baseVersion] {
        const auto open = pending.lock();
        if (!open || !open->isOpen())
            return;
        answer(open,
            mayHaveRun(error_code::deadline_exceeded,
                "the outcome of the change is not known yet; look at version " + std::to_string(baseVersion + 1)));
    });
    m_node.applyConfiguration(std::move(next), baseVersion, [exchange](const result<std::int64_t>& version) {
        if (!exchange->isOpen())
            return;
        if (version.has_error())
            return answer(exchange, version.error());
        answer(exchange, json { { "version", version.value() }, { "is_changed", true } });
    });
}

void admin_service::announce(const http_exchange_ptr& exchange)
{
    const auto backend = parseAnnouncement(exchange->request().body.text());
    if (backend.has_error())
        return answer(exchange, backend.error());
    m_node.onAnnouncement(backend.value());
    answer(exchange, json::object());
}

void admin_service::drainNode(const http_exchange_ptr& exchange)
{
    if (!isPlain(exchange))
        return;
    m_node.drain();
    answer(exchange, json::object());
}

void admin_service::declareLost(const http_exchange_ptr& exchange, const instance_id& id)
{
    const auto declared = m_node.declareLost(id);
    if (declared.has_error())
        return answer(exchange, declared.error());
    answer(exchange, json::object());
}

void admin_service::setDrainLabel(const http_exchange_ptr& exchange, const instance_id& id, bool isDrained)
{
    const auto snapshot = m_node.snapshot();
    const auto current = snapshot ? snapshot->configuration : nullptr;
    const auto members = m_node.members();
    const bool isMember
        = std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.row.self.id == id; });
    if (!isMember && !(current && current->instanceLabels.contains(id)))
        return answer(exchange, notRun(error_code::not_found, "no instance is named " + id));
    if (!current)
        return answer(exchange, notRun(error_code::not_found, "there is no configuration that could hold the label"));
    auto next = *current;
    auto& labels = next.instanceLabels[id];
    if (isDrained)
        labels[drainLabel] = "true";
    else
        labels.erase(drainLabel);
    if (labels.empty())
        next.instanceLabels.erase(id);
    if (next == *current)
        return answer(exchange, json { { "version", current->version }, { "is_changed", false } });
    apply(exchange, std::move(next), current->version);
}

} // namespace heatherdrift
