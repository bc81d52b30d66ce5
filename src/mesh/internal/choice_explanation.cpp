#include "mesh/internal/choice_explanation.h"

#include "admission/seconds.h"
#include "http/query_reader.h"
#include "mesh/internal/retry_time.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    // Limits and refusals of requests by entry_service and entry_call.
    constexpr auto defaultTimeout = std::chrono::seconds(60);
    constexpr auto answerMargin = std::chrono::milliseconds(8);
    constexpr auto retryAfterStart = std::chrono::milliseconds(300);
    constexpr auto retryAfterStop = std::chrono::milliseconds(100);
    constexpr auto retryAfterNoServer = std::chrono::milliseconds(300);
    constexpr auto retryAfterEvacuation = std::chrono::milliseconds(2500);
    constexpr int statusBadRequest = 400;
    constexpr int statusNotFound = 404;
    constexpr int statusNotAllowed = 405;
    constexpr int statusUnavailable = 503;
    /// Shares of the picks are accurate to 0.04, and a question takes no more time than some requests.
    constexpr int shareSamples = 200;

    double milliseconds(duration value) { return std::round(inSeconds(value) * 1e5) / 100; }

    json millisecondsOrNull(duration value) { return value > duration::zero() ? json(milliseconds(value)) : json(); }

    bool isToken(std::string_view text)
    {
        return !text.empty() && std::ranges::all_of(text, [](char c) { return c >= 'A' && c <= 'Z'; });
    }

    json refusal(std::string reason, duration retryAfter)
    {
        return { { "outcome", "refuse" }, { "status", statusUnavailable },
            { "retry_after_ms", milliseconds(retryAfter) }, { "reason", std::move(reason) } };
    }

    json choice(const instance_id& node, std::string reason)
    {
        return { { "outcome", "send" }, { "node", node }, { "reason", std::move(reason) } };
    }

    /// One question with what it is answered from.
    class explanation {
    public:
        explanation(const choice_context& context, const choice_question& question, time_point now)
            : m_context(context)
            , m_question(question)
            , m_now(now)
            , m_page({ { "node", context.settings.node }, { "zone", context.settings.zone },
                  { "configuration_version", context.routes.version() },
                  { "request",
                      { { "host", question.host }, { "path", question.path }, { "method", question.method },
                          { "key", question.key ? json(*question.key) : json() } } } })
        {
        }

        // The order of the checks is that of entry_service and entry_call.
        result<json> explain()
        {
            if (m_context.routes.version() == 0)
                return decide(refusal("this node has not read a configuration yet", retryAfterStart));
            BOOST_OUTCOME_TRY(caller,
                m_context.port.decodeRequest(
                    { m_question.method, m_question.path, { { "Host", m_question.host } }, "" }));
            const auto* route = m_context.routes.find(caller.host, caller.path);
            if (!route)
                return explainMissingRoute();
            describeRoute(*route);
            const auto& service = m_context.routes.nextService(*route);
            describeService(*route, service);
            const auto deadline = deadlineOf(*route);
            m_page["deadline_ms"] = milliseconds(deadline - m_now);
            const auto* definition = m_context.routes.service(service);
            const bool isKeyed = definition && definition->isPartitioned && m_question.key;
            if (isKeyed)
                describeOwners(service);
            else
                describeCandidates(service, optionsFor(*route, deadline));
            if (deadline > m_context.endsAt)
                return decide(refusal("this node is stopping", retryAfterStop));
            if (!retry_time::isInTime(m_now, deadline))
                return decide(refusal("the route's timeout leaves no time for an attempt", retryAfterNoServer));
            if (m_context.directory.isWhollyEvacuated(service))
                return decide(
                    refusal("all backend servers of the service are in evacuated zones", retryAfterEvacuation));
            return decide(isKeyed ? decideByKey() : decideByLoad(service, optionsFor(*route, deadline)));
        }

    private:
        json decide(json decision)
        {
            m_page["decision"] = std::move(decision);
            return std::move(m_page);
        }

        json explainMissingRoute()
        {
            if (const auto wait = m_context.configurationWait())
                return decide(refusal("no route matches; a newer configuration, not read yet, may have one", *wait));
            return decide({ { "outcome", "refuse" }, { "status", statusNotFound },
                { "reason", "no route of the configuration has this host and a prefix of this path" } });
        }

        void describeRoute(const route& route)
        {
            m_page["route"] = { { "name", route.name }, { "host", route.host }, { "prefix", route.prefix },
                { "priority", route.priority }, { "objective_ms", millisecondsOrNull(route.latencyObjective) },
                { "timeout_ms", millisecondsOrNull(route.timeout) }, { "is_idempotent", route.isIdempotent },
                { "max_attempts", std::max(1, route.maxAttempts) } };
        }

        void describeService(const route& route, const std::string& service)
        {
            const auto* definition = m_context.routes.service(service);
            m_page["service"] = { { "name", service }, { "is_configured", definition != nullptr },
                { "is_partitioned", definition && definition->isPartitioned } };
            if (route.services.size() == 1)
                return;
            auto& split = m_page["service"]["split"] = json::object();
            for (const auto& share : route.services)
                split[share.service] = share.weight;
        }

        time_point deadlineOf(const route& route) const
        {
            const auto byCaller = m_now + defaultTimeout - answerMargin;
            return route.timeout > duration::zero() ? std::min<time_point>(byCaller, m_now + route.timeout) : byCaller;
        }

        pick_options optionsFor(const route& route, time_point deadline) const
        {
            return { {}, route.isIdempotent, urgencyLevel(route.priority), deadline };
        }

        void describeOwners(const std::string& service)
        {
            const auto ranges = m_context.map(service);
            if (!ranges) {
                m_page["range"] = nullptr;
                return;
            }
            m_range = ranges->map.find(*m_question.key);
            m_page["range"] = { { "first", m_range->keys.first }, { "last", m_range->keys.last },
                { "map_version", ranges->version } };
            auto& owners = m_page["owners"] = json::array();
            for (const auto& life : m_range->releasing)
                owners.push_back(describeOwner(life, "previous"));
            if (!m_range->owner.empty())
                owners.push_back(describeOwner(m_range->owner, "owner"));
        }

        json describeOwner(const life_name& life, const char* role) const
        {
            const auto* peer = m_context.directory.findLife(life);
            json out { { "life", life }, { "role", role }, { "node", peer ? json(peer->member.node) : json() },
                { "may_serve", peer && mayServe(*peer) } };
            out["states"] = peer ? statesOf(*peer) : json::array({ "unknown" });
            if (peer)
                out["zone"] = peer->member.zone;
            return out;
        }

        bool mayServe(const mesh_peer& peer) const
        {
            return m_context.directory.mayServeKeys(peer.member, m_now)
                && !m_context.directory.isUnreachable(peer, m_now);
        }

        json statesOf(const mesh_peer& peer) const
        {
            auto states = json::array();
            const auto add = [&](bool applies, const char* name) {
                if (applies)
                    states.push_back(name);
            };
            add(peer.member.life.empty(), "not_announced");
            add(peer.member.isDraining, "draining");
            add(m_context.directory.isEvacuated(peer.member), "evacuated");
            add(m_context.directory.isUnreachable(peer, m_now), "unreachable");
            return states;
        }

        /// As entry_call::pickOwner(): an earlier owner serves the keys until it has released them.
        json decideByKey() const
        {
            if (!m_range)
                return refusal("the range map of the service is not known yet; a request waits up to 300 ms for it",
                    retryAfterNoServer);
            for (const auto& life : m_range->releasing) {
                const auto* peer = m_context.directory.findLife(life);
                if (peer && mayServe(*peer))
                    return choice(peer->member.node, "earlier owner, which has not released the key yet");
            }
            if (m_range->owner.empty())
                return refusal("the key has no owner", retryAfterNoServer);
            const auto* owner = m_context.directory.findLife(m_range->owner);
            if (!owner)
                return refusal("the owner of the key is not among the known nodes", retryAfterNoServer);
            if (m_context.directory.isUnreachable(*owner, m_now))
                return refusal("the owner of the key does not respond", retryAfterNoServer);
            if (!m_context.directory.mayServeKeys(owner->member, m_now))
                return refusal("the owner of the key is in an evacuated zone and the key has not moved; a request "
                               "waits up to 300 ms for the move",
                    retryAfterNoServer);
            if (!m_range->releasing.empty())
                return choice(owner->member.node,
                    "owner of the key; its gate refuses until no earlier owner can hold the key any more");
            return choice(owner->member.node, "owner of the key");
        }

        void describeCandidates(const std::string& service, const pick_options& options)
        {
            const auto* view = m_context.directory.findView(service);
            if (view) {
                m_shares = view->pickShares(options, shareSamples, m_now);
                m_page["chooses_by"] = view->usesStatuses(m_now) ? "expected_completion" : "observed_latency";
            }
            auto& candidates = m_page["candidates"] = json::array();
            for (const auto& [node, peer] : m_context.directory.peers()) {
                if (peer.member.service == service)
                    candidates.push_back(describeCandidate(peer, view, options));
            }
        }

        json describeCandidate(const mesh_peer& peer, const load_view* view, const pick_options& options) const
        {
            const auto& node = peer.member.node;
            json out { { "node", node }, { "zone", peer.member.zone }, { "states", statesOf(peer) } };
            const auto share = m_shares.find(node);
            out["share"] = share == m_shares.end() ? 0.0 : std::round(share->second * 1000) / 1000;
            const auto known = view ? view->assess(node, options, m_now) : std::nullopt;
            if (!known)
                return out;
            addStates(out["states"], *known);
            out["expected_wait_ms"] = milliseconds(known->expectedWait);
            out["expected_answer_ms"] = milliseconds(known->expectedCompletion);
            out["service_time_ms"] = known->serviceTime ? json(milliseconds(*known->serviceTime)) : json();
            out["cost_ms"] = milliseconds(fromSeconds(known->cost));
            out["calls_in_progress"] = known->callsInProgress;
            out["slow_start"] = known->slowStartShare;
            out["slowdown"] = known->status ? json(known->status->status.slowdown) : json();
            out["status_age_ms"] = known->status ? json(milliseconds(m_now - known->status->at)) : json();
            if (known->isCold)
                out["cold"] = describeCold(*known->status);
            return out;
        }

        static void addStates(json& states, const server_assessment& known)
        {
            if (known.condition == server_condition::ejected)
                states.push_back("ejected");
            if (known.condition == server_condition::probing)
                states.push_back("probing");
            if (known.isReportedUnhealthy)
                states.push_back("unhealthy");
            if (known.isCold)
                states.push_back("cold");
            if (!known.isInTime)
                states.push_back("too_late");
        }

        json describeCold(const status_report& report) const
        {
            const auto& cold = *report.status.cold;
            const auto left
                = [&](duration since) { return milliseconds(std::max(report.at + since - m_now, duration::zero())); };
            return { { "remaining_ms", left(cold.remaining) }, { "next_start_ms", left(cold.nextStartIn) },
                { "requests_per_second", cold.requestsPerSecond } };
        }

        json decideByLoad(const std::string& service, const pick_options& options) const
        {
            if (m_shares.empty())
                return refusal(m_page["candidates"].empty() ? "no backend server of the service is known"
                                                            : "no backend server of the service may be picked",
                    retryAfterNoServer);
            const auto best
                = std::ranges::max_element(m_shares, [](const auto& a, const auto& b) { return a.second < b.second; });
            const auto* view = m_context.directory.findView(service);
            auto out = choice(best->first, reasonFor(*view, best->first, options));
            out["share"] = std::round(best->second * 1000) / 1000;
            if (const auto start = view->earliestStart(options.urgency, duration::zero(), m_now))
                out["earliest_start_ms"] = milliseconds(*start);
            return out;
        }

        std::string reasonFor(const load_view& view, const instance_id& node, const pick_options& options) const
        {
            const auto known = view.assess(node, options, m_now);
            if (known->condition == server_condition::probing)
                return "probe of a backend server that was ejected";
            if (m_shares.size() == 1 && known->isReportedUnhealthy)
                return "only backend servers that are reported as unhealthy are left";
            if (m_shares.size() == 1)
                return "the only one that a pick chooses now";
            return view.usesStatuses(m_now)
                ? "most likely of the picks, which take the earliest expected answer among a few random servers"
                : "most likely of the picks, which take the lower cost of two random servers";
        }

        const choice_context& m_context;
        const choice_question& m_question;
        const time_point m_now;
        json m_page;
        std::optional<owned_range> m_range;
        std::map<instance_id, double> m_shares; ///< Of the picks.
    };

} // namespace

result<choice_question> parseQuestion(std::string_view target)
{
    query_reader query(target);
    choice_question question;
    question.host = query.readText("host");
    question.path = query.readText("path");
    question.method = query.readOptionalText("method").value_or(question.method);
    const auto key = query.readOptionalInteger("key", 0);
    BOOST_OUTCOME_TRY(query.finish());
    const auto reject = [](std::string message) { return notRun(error_code::bad_request, std::move(message)); };
    for (const auto* text : { &question.host, &question.path }) {
        if (!isHeaderText(*text) || !isUtf8(*text))
            return reject("query: control characters and invalid UTF-8 are not allowed");
    }
    if (!question.path.starts_with('/'))
        return reject("query.path: must start with '/'");
    if (!isToken(question.method))
        return reject("query.method: expected upper-case letters");
    if (key && *key > lastKey)
        return reject("query.key: must be at most " + std::to_string(lastKey));
    if (key)
        question.key = static_cast<key_number>(*key);
    return question;
}

result<json> explainChoice(const choice_context& context, const choice_question& question, time_point now)
{
    return explanation(context, question, now).explain();
}

http_response answerQuestion(const choice_context& context, const http_request& request, time_point now)
{
    const http_headers headers { { "Content-Type", "application/json" } };
    const auto reject = [&](int status, const std::string& message) {
        const json document { { "verdict", toString(verdict::not_run) }, { "error", toString(error_code::bad_request) },
            { "message", message } };
        return http_response { { status, headers }, document.dump() };
    };
    if (request.method != "GET")
        return reject(statusNotAllowed, "only GET is allowed");
    const auto question = parseQuestion(request.target);
    if (question.has_error())
        return reject(statusBadRequest, question.error().message);
    const auto page = explainChoice(context, question.value(), now);
    if (page.has_error())
        return reject(statusBadRequest, page.error().message);
    // Names in the configuration are not checked for their encoding.
    return { { 200, headers }, page.value().dump(-1, ' ', false, json::error_handler_t::replace) };
}

} // namespace heatherdrift
