#include "mesh/mesh_node.h"

#include "base/hash.h"
#include "http/query_reader.h"
#include "mesh/internal/announcement_service.h"
#include "mesh/internal/choice_explanation.h"
#include "mesh/internal/crash_exchange.h"
#include "mesh/internal/entry_service.h"
#include "mesh/internal/forward_handler.h"
#include "mesh/internal/gate_service.h"
#include "mesh/internal/member_registry.h"
#include "mesh/internal/mesh_metrics.h"
#include "mesh/internal/operator_rows.h"
#include "mesh/internal/owner_exchange.h"
#include "mesh/internal/ownership.h"
#include "mesh/internal/peer_watch.h"
#include "mesh/internal/range_balancer.h"
#include "mesh/internal/range_replicas.h"
#include "mesh/internal/table_exchange.h"
#include "telemetry/log_event.h"

#include <csignal>
#include <limits>
#include <map>

namespace heatherdrift {

namespace {

    constexpr const char* rangeTable = "heatherdrift-ranges"; ///< Keyed by service and era of the store.
    /// A configuration has to be in force within two seconds, even if the nodes that poll the store are lost.
    constexpr watch_timing configurationTiming {};
    /// Member changes may arrive later, since gates report in their responses that they are draining.
    constexpr watch_timing memberTiming { std::chrono::milliseconds(2500), std::chrono::milliseconds(600),
        std::chrono::milliseconds(4000), std::chrono::milliseconds(3000), std::chrono::milliseconds(1500) };
    /// Changes of the map are pushed to the affected nodes, and other owners get them from the owner that checks the
    /// map each second.
    constexpr watch_timing rangeTiming { std::chrono::seconds(20), std::chrono::seconds(60), {}, {},
        std::chrono::milliseconds(1500) };
    constexpr auto maxUsualLag = std::chrono::milliseconds(250); ///< Half the time in which a closed connection counts.
    constexpr auto stopPollInterval = std::chrono::milliseconds(50);
    /// Callers stop using this node after two failed readiness checks, a second apart.
    constexpr auto minStopTime = std::chrono::milliseconds(2300);
    constexpr auto stopMargin = std::chrono::milliseconds(500); ///< Before the process would be killed.
    constexpr http_server_limits forwardLimits { 64 * 1024, 64u << 20, 120, 1 };
    /// What a forwarded request may have beyond the caller's: the headers between nodes.
    constexpr std::size_t forwardHeaderBytes = 16 * 1024;
    constexpr auto retryAfterNoMemory = std::chrono::milliseconds(500); ///< Large bodies are held for about as long.
    constexpr int statusNotFound = 404;
    constexpr int statusUnavailable = 503;
    constexpr const char* metricsPath = "/metrics";
    constexpr std::size_t pipelineDepth = 16; ///< Concurrent requests per caller connection.

    /// Spreads the nodes evenly over the range from 0 to 1.
    double positionOf(const instance_id& node)
    {
        return static_cast<double>(hashBytes(node)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    }

    class mesh_node_impl : public mesh_node {
    public:
        mesh_node_impl(
            event_base* base, const mesh_settings& settings, platform_port port, std::unique_ptr<watched_store> store)
            : m_base(base)
            , m_settings(settings)
            , m_port(std::move(port))
            , m_store(std::make_unique<counting_store>(std::move(store), m_metrics))
            , m_directory(base, m_settings)
            , m_sender(base, m_settings.linkBytesPerSecond)
            , m_suspects({ .trialPosition = positionOf(m_settings.node) })
            , m_gate(base, m_settings, m_port,
                  { [this](key_number key) { return m_ownership.access(key); },
                      [this] { return m_ownership.version(); }, [this] { return m_tables.statement(); },
                      [this](const backend_question& question) {
                          m_announcements.onBackendRefused(question);
                          m_registry.onPresumedLifeEnded(question);
                      },
                      [this](request_fingerprint request, time_point now) {
                          return m_suspects.refusedUntil(request, now);
                      },
                      [this](
                          request_fingerprint request, const life_name& life) { m_crashExchange.onRun(request, life); },
                      [this](request_fingerprint request) { m_crashExchange.onAnswer(request); },
                      [this](const backend_crash& crash) { m_crashExchange.onCrash(crash); },
                      [this](const std::string& service, time_point now) { return m_directory.statuses(service, now); },
                      [this] { m_gate.suspectCold(); } })
            , m_forwards({ m_settings, m_directory, m_gate, m_sender, m_metrics })
            , m_crashExchange(base, m_settings, m_directory, m_suspects)
            , m_ownership(base, m_settings, *m_store, { rangeTable, m_settings.service },
                  { boot_clock::now, [this] { return candidates(); },
                      [this](const range_map& map, fencing_token fence, time_point now) {
                          return m_balancer.balance(map, fence, now);
                      },
                      [this] {
                          m_gate.onKeysChanged();
                          m_announcements.onOwnershipChanged();
                          const auto& map = m_ownership.map();
                          m_metrics.rangeMapChanged(static_cast<std::uint64_t>(m_ownership.version()),
                              map.keyCount(m_ownership.life()), map.ranges().size());
                      },
                      [this] { m_ownerExchange.ask(); }, [this] { return m_ownerExchange.askFirst(candidates()); },
                      [this](const std::set<life_name>& lives) {
                          m_balancer.onWritten(boot_clock::now());
                          m_ownerExchange.push(lives);
                      },
                      [this](const life_name& life) {
                          const auto* peer = m_directory.findLife(life);
                          return peer && !m_directory.isUnreachable(*peer, boot_clock::now());
                      } })
            , m_balancer(base, m_settings, m_directory,
                  { boot_clock::now, [this] { return candidates(); },
                      [this]() -> const key_load& { return m_gate.keyLoad(); },
                      [this](const life_name& life) { return m_ownership.map().hasOwner(life); },
                      [this] { return m_ownership.isStoreAvailable(); } })
            , m_announcements(base, m_settings, m_port, m_gate, m_ownership,
                  { [this] { return isPartitioned(); }, [this] { m_registry.publish(); },
                      [this](const std::string& id) { return m_registry.isOfOtherNode(id); } })
            , m_registry(base, m_settings, *m_store, m_directory, m_gate, m_ownership, m_announcements,
                  [this](const instance_id& node) { m_watch.probe(node); })
            , m_entry({ base, m_settings, m_port, m_routes, m_directory, m_gate, &m_metrics,
                  [this](const std::string& service) { return findMap(service); },
                  [this](const std::string& service) {
                      if (service != m_settings.service)
                          m_replicas.refresh(service, boot_clock::now());
                  },
                  [this](const peer_question& question) { m_registry.onNodeReplaced(question); },
                  [this](const instance_id& node) { m_watch.probe(node); },
                  [this](const std::string& service, const instance_id& node, row_version version) {
                      if (service != m_settings.service)
                          m_replicas.handleVersion(service, node, version);
                  },
                  [this](const instance_id& node, const table_statements& tables, time_point askedAt) {
                      m_tables.handleStatements(node, tables, askedAt);
                  },
                  [this] { return m_tables.configurationWait(); } })
            , m_replicas(m_settings, m_directory)
            , m_watch(base, m_settings, m_directory,
                  { [this](const peer_question& question) { m_registry.onNodeReplaced(question); },
                      [this](const instance_id& node) { m_registry.removeLost(node); },
                      [this] { return isPartitioned() && m_balancer.needsLoads(); },
                      [this](const instance_id& node, const table_statements& tables, time_point askedAt) {
                          m_tables.handleStatements(node, tables, askedAt);
                      },
                      [this](duration lag) { recordLag(lag); } })
            , m_ownerExchange(m_settings, m_directory, m_ownership)
            , m_operatorRows({ base, m_settings, m_port, m_routes, m_directory, m_gate, m_ownership, m_metrics,
                  [this] { onConfigurationApplied(); }, [this] { return m_configurationWatcher.currentAt(); } })
            , m_random(seededRandom(hashBytes(m_settings.node)))
            , m_configurationWatcher(base, *m_store, m_port.configurationRow.table, configurationTiming,
                  { [this](const row_change& row) { m_operatorRows.onRowChanged(row); },
                      [this] { m_operatorRows.onTableRead(); }, nullptr, [this] { return m_tables.place(); },
                      m_random })
            , m_memberWatcher(base, *m_store, member_registry::table, memberTiming,
                  { [this](const row_change& row) { m_registry.onRowChanged(row); },
                      [this] {
                          m_registry.onTableRead(m_memberWatcher.copy().era());
                          m_operatorRows.onMembersRead();
                          m_crashExchange.askForMissed();
                      },
                      [this](bool isAvailable) {
                          logEvent(isAvailable ? log_event::store_available : log_event::store_unavailable);
                          // This node may have been cut off from the other nodes, too.
                          if (isAvailable)
                              m_crashExchange.askForMissed();
                      },
                      [this] { return m_tables.place(); }, m_random,
                      [this](const row_change& row) { m_registry.onRowMissing(row); },
                      [this](store_era era) {
                          // The rows of a later era may come from another node, while this one does not reach the
                          // store.
                          m_ownership.onStoreRestored(era);
                          m_registry.onTableReplaced(era);
                      } })
            , m_rangeWatcher(base, *m_store, rangeTable, rangeTiming,
                  { [this](const row_change& row) { m_ownership.onRowChanged(row); },
                      [this] { m_ownership.onTableRead(m_rangeWatcher.copy().era()); }, nullptr,
                      [] { return fleet_place(); }, m_random })
            , m_tables(base, m_settings, m_directory, m_configurationWatcher, m_memberWatcher,
                  { [this](const instance_id& node) { m_watch.probe(node); } })
            , m_stopPoll(base, [this] { stopIfDone(); })
        {
            m_store->onRestored([this](store_era era) { handleRestore(era); });
        }

        result<void> listen()
        {
            const auto bind = [this](endpoint& address, const http_server_limits& limits, http_handler handler,
                                  std::unique_ptr<http_server>& target) -> result<void> {
                BOOST_OUTCOME_TRY(server, http_server::listen(m_base, address, limits, std::move(handler)));
                address = server->address();
                target = std::move(server);
                return outcome::success();
            };
            http_server_limits entryLimits;
            entryLimits.pipelineDepth = pipelineDepth;
            BOOST_OUTCOME_TRY(bind(
                m_settings.forward, forwardLimits,
                [this](http_exchange_ptr exchange) { handleForward(std::move(exchange)); }, m_forwardServer));
            m_forwardServer->setRejectionHeaders(rejectionHeaders());
            m_forwardServer->setMemory(m_gate.memory(), overloadHeaders(retryAfterNoMemory));
            BOOST_OUTCOME_TRY(bind(
                m_settings.entry, entryLimits,
                [this](http_exchange_ptr exchange) { m_entry.handle(std::move(exchange)); }, m_entryServer));
            http_response_head overload;
            m_port.addRetryAfter(overload, retryAfterNoMemory);
            m_entryServer->setMemory(m_gate.memory(), std::move(overload.headers));
            BOOST_OUTCOME_TRY(bind(
                m_settings.readiness, {}, [this](const http_exchange_ptr& exchange) { handleReadiness(exchange); },
                m_readinessServer));
            BOOST_OUTCOME_TRY(bind(
                m_settings.metrics, {}, [this](const http_exchange_ptr& exchange) { handleMetrics(exchange); },
                m_metricsServer));
            return bind(
                m_settings.announcements, {},
                [this](http_exchange_ptr exchange) { m_announcements.handle(std::move(exchange)); },
                m_announcementServer);
        }

        void start() override
        {
            m_operatorRows.start();
            m_configurationWatcher.start();
            m_memberWatcher.start();
            m_tables.start();
            m_watch.start();
            logEvent(log_event::node_started, { { "instance", m_settings.node } });
        }

        const mesh_settings& settings() const override { return m_settings; }

        void run() override
        {
            start();
            event_base_dispatch(m_base);
            logEvent(log_event::node_stopped);
        }

        void stop() override
        {
            if (std::exchange(m_isStopping, true))
                return;
            logEvent(log_event::node_stopping);
            const auto now = boot_clock::now();
            m_closesGateAt = now + minStopTime;
            m_endsAt = now + m_settings.stopTime - stopMargin;
            m_entryServer->closeAfterAnswers();
            m_entry.endAt(m_endsAt);
            m_gate.endAt(m_endsAt);
            m_stopPoll.startRepeating(stopPollInterval);
        }

        void reload(const mesh_settings& settings) override
        {
            m_settings.drainTime = settings.drainTime;
            m_settings.stopTime = settings.stopTime;
            m_settings.longestHold = settings.longestHold;
            m_settings.heartbeatInterval = settings.heartbeatInterval;
            m_settings.retryShare = settings.retryShare;
            logEvent(log_event::settings_reloaded, { { "instance", settings.node } });
        }

    private:
        bool isPartitioned() const
        {
            const auto* service = m_routes.service(m_settings.service);
            return service && service->isPartitioned;
        }

        const range_map* findMap(const std::string& service)
        {
            if (service == m_settings.service)
                return m_ownership.version() > 0 ? &m_ownership.map() : nullptr;
            return m_replicas.find(service, boot_clock::now());
        }

        std::vector<owner_candidate> candidates()
        {
            if (!isPartitioned() || !m_registry.isRead())
                return {};
            return ownerCandidates(m_directory, m_settings, m_gate.load().demand, boot_clock::now());
        }

        void onConfigurationApplied()
        {
            const auto& limits = m_routes.configuration().limits;
            const auto idle = std::chrono::duration_cast<std::chrono::seconds>(limits.idleTimeout).count();
            m_entryServer->setLimits(
                { limits.headerBytes, limits.bodyBytes, static_cast<int>(std::max<long>(1, idle)), pipelineDepth });
            // What the entry node accepts, the gate has to accept, too.
            auto forwarded = forwardLimits;
            forwarded.headerBytes = std::max(forwarded.headerBytes, limits.headerBytes + forwardHeaderBytes);
            forwarded.bodyBytes = std::max(forwarded.bodyBytes, limits.bodyBytes);
            m_forwardServer->setLimits(forwarded);
            const auto* service = m_routes.service(m_settings.service);
            m_gate.configure(service ? *service : service_definition {});
            startOwnershipIfDue();
        }

        void startOwnershipIfDue()
        {
            if (!isPartitioned() || std::exchange(m_isOwnershipStarted, true))
                return;
            m_rangeWatcher.start();
            m_ownership.start();
            m_balancer.start();
        }

        void handleRestore(store_era era)
        {
            logEvent(log_event::store_restored, { { "era", std::to_string(era) } });
            m_ownership.onStoreRestored(era);
            for (auto* watcher : { &m_configurationWatcher, &m_memberWatcher, &m_rangeWatcher })
                watcher->onStoreRestored(era);
        }

        void handleReadiness(const http_exchange_ptr& exchange)
        {
            if (exchange->request().target != m_port.readinessPath)
                return exchange->respond({ { statusNotFound, {} }, "" });
            const bool isReady = m_routes.version() > 0 && m_registry.isRead() && !m_isStopping;
            exchange->respond({ { isReady ? 200 : 503, {} }, "" });
        }

        void recordLag(duration lag)
        {
            m_metrics.loopLag(lag);
            if (lag > maxUsualLag)
                logEvent(log_event::event_loop_late,
                    { { "ms", millisecondsText(lag) }, { "in_progress", std::to_string(m_entry.inProgress()) },
                        { "at_gate", std::to_string(m_gate.inProgress()) } });
        }

        /// The range map as this node holds it; fetches nothing.
        std::optional<versioned_ranges> knownMap(const std::string& service) const
        {
            if (service == m_settings.service)
                return m_ownership.version() > 0
                    ? std::optional(versioned_ranges { m_ownership.version(), m_ownership.map() })
                    : std::nullopt;
            const auto* known = m_replicas.known(service);
            return known ? std::optional(*known) : std::nullopt;
        }

        http_response explain(const http_request& request) const
        {
            const choice_context context { m_settings, m_port, m_routes, m_directory,
                [this](const std::string& service) { return knownMap(service); },
                [this] { return m_tables.configurationWait(); }, m_isStopping ? m_endsAt : time_point::max() };
            return answerQuestion(context, request, boot_clock::now());
        }

        void handleMetrics(const http_exchange_ptr& exchange)
        {
            if (pathOf(exchange->request().target) == explainPath)
                return exchange->respond(explain(exchange->request()));
            if (exchange->request().target != metricsPath)
                return exchange->respond({ { statusNotFound, {} }, "" });
            const auto load = m_gate.load();
            m_metrics.gateLoad(load.load, load.demand, m_gate.inProgress());
            const auto& calls = m_gate.nestedCalls();
            m_metrics.nestedCalls(calls.refusedExecutions(), calls.lostExecutions());
            for (const auto& [service, count] : m_directory.knownStatuses(boot_clock::now()))
                m_metrics.statusesKnown(service, count);
            m_metrics.backendHealth(m_gate.health().isLimiting(), m_gate.health().counts());
            if (m_settings.scheduling.plansReturns) {
                m_metrics.returns("gate", m_gate.returnCounts());
                m_metrics.returns("entry", m_entry.returnCounts());
            }
            m_metrics.bytesAtBackend(m_gate.bytesAtBackend(), m_gate.mostBytesAtBackend());
            exchange->respond({ { 200, { { "Content-Type", "text/plain; version=0.0.4" } } }, m_metrics.text() });
        }

        void handleForward(http_exchange_ptr exchange)
        {
            const auto target = exchange->request().headers.find(targetNodeHeader);
            if (target != m_settings.node)
                return exchange->respond({ { statusOtherNode, {} }, "" });
            if (!isForwarded(exchange->request()))
                return handleNodeMessage(exchange);
            m_forwards.handle(exchange);
        }

        void handleNodeMessage(const http_exchange_ptr& exchange)
        {
            if (exchange->request().target == peer_watch::target)
                return exchange->respond(m_forwards.pingAnswer());
            if (exchange->request().target == table_exchange::target)
                return m_tables.handle(exchange);
            if (exchange->request().target == owner_exchange::target)
                return m_ownerExchange.handle(exchange);
            if (exchange->request().target == crash_exchange::target)
                return m_crashExchange.handle(exchange);
            if (exchange->request().target == range_balancer::target)
                return m_balancer.handleReport(exchange);
            if (exchange->request().target == range_replicas::target && exchange->request().method == "PUT")
                return m_ownerExchange.handlePushedMap(exchange);
            if (exchange->request().target == range_replicas::target)
                return handleMapRequest(exchange);
            exchange->respond({ { statusNotFound, {} }, "" });
        }

        void handleMapRequest(const http_exchange_ptr& exchange)
        {
            if (m_ownership.version() == 0)
                return exchange->respond({ { statusUnavailable, {} }, "" });
            const auto base = range_history::statedBase(exchange->request().headers.find(rangeBaseHeader));
            exchange->respond({ { 200, {} }, m_ownership.encodedMap(base) });
        }

        /// The listener for callers closes only after the gate is empty, since the backend server may still make nested
        /// calls while it runs requests.
        void stopIfDone()
        {
            const auto now = boot_clock::now();
            if (now >= m_endsAt)
                return static_cast<void>(event_base_loopbreak(m_base));
            if (now < m_closesGateAt)
                return;
            m_gate.stopAccepting();
            if (m_gate.inProgress() > 0 || m_forwardServer->hasUnsentAnswers())
                return;
            m_entryServer->stopListening();
            m_entryServer->closeIdle();
            if (m_entry.inProgress() == 0 && !m_entryServer->hasUnsentAnswers() && !m_forwardServer->hasUnsentAnswers())
                event_base_loopbreak(m_base);
        }

        event_base* m_base;
        mesh_settings m_settings;
        platform_port m_port;
        mesh_metrics m_metrics;
        std::unique_ptr<watched_store> m_store;
        route_table m_routes;
        mesh_directory m_directory;
        answer_sender m_sender;
        crash_suspects m_suspects;
        gate_service m_gate;
        forward_handler m_forwards;
        crash_exchange m_crashExchange;
        ownership m_ownership;
        range_balancer m_balancer;
        announcement_service m_announcements;
        member_registry m_registry;
        entry_service m_entry;
        range_replicas m_replicas;
        peer_watch m_watch;
        owner_exchange m_ownerExchange;
        operator_rows m_operatorRows;
        random_function m_random;
        table_watcher m_configurationWatcher;
        table_watcher m_memberWatcher;
        table_watcher m_rangeWatcher; ///< Runs only if the service of this node is partitioned.
        table_exchange m_tables;
        bool m_isOwnershipStarted = false;
        bool m_isStopping = false;
        time_point m_closesGateAt {};
        time_point m_endsAt {};
        timer m_stopPoll;
        std::unique_ptr<http_server> m_forwardServer;
        std::unique_ptr<http_server> m_entryServer;
        std::unique_ptr<http_server> m_metricsServer;
        std::unique_ptr<http_server> m_readinessServer;
        std::unique_ptr<http_server> m_announcementServer;
    };

} // namespace

result<std::unique_ptr<mesh_node>> mesh_node::create(
    event_base* base, const mesh_settings& settings, platform_port port, std::unique_ptr<watched_store> store)
{
    auto node = std::make_unique<mesh_node_impl>(base, settings, std::move(port), std::move(store));
    BOOST_OUTCOME_TRY(node->listen());
    return std::unique_ptr<mesh_node>(std::move(node));
}

} // namespace heatherdrift
