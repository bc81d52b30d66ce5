#include "node/node.h"

#include "base/delayed_calls.h"
#include "base/event_handle.h"
#include "base/hash.h"
#include "base/signal_block.h"
#include "control/control_node.h"
#include "control/tcp_peer_transport.h"
#include "http/http_server.h"
#include "node/admin_service.h"
#include "node/internal/node_metrics.h"
#include "routing/request_task.h"
#include "store/http_table_store.h"
#include "store/resolving_store.h"
#include "telemetry/log_event.h"
#include "telemetry/metrics.h"

#include <csignal>
#include <random>
#include <thread>

namespace heatherdrift {

namespace {

    constexpr duration metricsInterval = std::chrono::seconds(1);

    std::uint64_t randomSeed()
    {
        std::random_device source;
        return (static_cast<std::uint64_t>(source()) << 32) | source();
    }

    lease_settings toLeaseSettings(const lease_times& times)
    {
        lease_settings settings;
        settings.ttl = times.timeToLive;
        settings.renewalInterval = times.renewalInterval;
        settings.silenceLimit = times.silenceLimit;
        settings.staleConfigurationLimit = times.staleConfigurationLimit;
        return settings;
    }

    /// Equal for settings under which a holder and a witness agree on the end of a lease.
    std::int64_t agreementOf(const lease_settings& settings)
    {
        const auto text = std::to_string(settings.ttl.count()) + "/" + std::to_string(settings.driftShare);
        return static_cast<std::int64_t>(hashBytes(text));
    }

    class heatherdrift_node : public node {
    public:
        explicit heatherdrift_node(const node_settings& settings)
            : m_settings(settings)
            , m_controlBase(event_base_new())
            , m_requestBase(event_base_new())
            , m_random(randomSeed())
            , m_delays(m_controlBase.get())
        {
        }

        ~heatherdrift_node() override
        {
            if (m_requestThread.joinable()) {
                m_stopRequests->wake();
                m_requestThread.join();
            }
        }

        result<void> listen()
        {
            BOOST_OUTCOME_TRYV(check(m_settings));
            transport_limits limits;
            limits.agreement = agreementOf(toLeaseSettings(m_settings.lease));
            BOOST_OUTCOME_TRY(
                transport, tcp_peer_transport::listen(m_controlBase.get(), m_settings.listeners.control, limits));
            m_transport = std::move(transport);
            m_fromRequests = std::make_unique<mailbox<to_control_task>>(
                m_controlBase.get(), [this](const to_control_task& message) { m_node->onRequestTask(message); });
            BOOST_OUTCOME_TRY(requests, request_task::create(m_requestBase.get(), requestSettings(), requestHooks()));
            m_requests = std::move(requests);
            makeControlNode();
            http_server_limits adminLimits;
            adminLimits.bodyBytes = administrationBodyBytes;
            m_adminService = std::make_unique<admin_service>(*m_node, m_metrics, m_delays.function());
            BOOST_OUTCOME_TRY(admin,
                http_server::listen(m_controlBase.get(), m_settings.listeners.admin, adminLimits,
                    [this](http_exchange_ptr exchange) { m_adminService->handle(std::move(exchange)); }));
            m_admin = std::move(admin);
            return outcome::success();
        }

        void run() override
        {
            m_stopRequests = std::make_unique<loop_waker>(
                m_requestBase.get(), [this] { event_base_loopbreak(m_requestBase.get()); });
            m_requestThread = std::thread([this] { event_base_loop(m_requestBase.get(), EVLOOP_NO_EXIT_ON_EMPTY); });
            timer tick(m_controlBase.get(), [this] { m_node->tick(); });
            tick.startRepeating(tickInterval);
            node_metrics metrics(m_metrics);
            timer measure(m_controlBase.get(), [&] { metrics.update(*m_node, m_transport->counts()); });
            measure.startRepeating(metricsInterval);
            const auto terminate = watchSignal(SIGTERM);
            const auto interrupt = watchSignal(SIGINT);
            unblockSignals({ SIGTERM, SIGINT });
            logEvent(log_event::node_started,
                { { "instance", m_settings.instance }, { "entry", toString(m_settings.listeners.entry) },
                    { "admin", toString(m_settings.listeners.admin) } });
            m_node->start();
            event_base_loop(m_controlBase.get(), EVLOOP_NO_EXIT_ON_EMPTY);
            // Removing a handler restores the default action.
            blockSignals({ SIGTERM, SIGINT });
            logEvent(log_event::node_stopped, { { "instance", m_settings.instance } });
        }

    private:
        request_task_settings requestSettings() const
        {
            request_task_settings settings;
            settings.entry = m_settings.listeners.entry;
            settings.forward = m_settings.listeners.forward;
            settings.listeners.bodyBytes = m_settings.requests.maximumBodyBytes;
            settings.listeners.headerBytes = m_settings.requests.maximumHeaderBytes;
            settings.entryLimits.streamBufferBytes = m_settings.requests.streamBufferBytes;
            settings.entryLimits.calls = m_settings.requests.maximumExchanges;
            return settings;
        }

        request_task_hooks requestHooks()
        {
            request_task_hooks hooks;
            hooks.now = &boot_clock::now;
            hooks.toControlTask = [this](to_control_task message) { m_fromRequests->post(std::move(message)); };
            hooks.metrics = &m_metrics;
            hooks.seed = m_random();
            if (m_settings.trace)
                hooks.spans = makeFileSpanSink(m_settings.trace->file);
            return hooks;
        }

        void makeControlNode()
        {
            m_store = makeHttpTableStore(m_controlBase.get(), { m_settings.tableService });
            resolving_store_options options;
            options.now = &boot_clock::now;
            options.after = m_delays.function();
            options.random = [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); };
            m_resolving = std::make_unique<resolving_store>(*m_store, options);
            control_ports ports;
            ports.now = &boot_clock::now;
            ports.store = m_store.get();
            ports.resolving = m_resolving.get();
            ports.transport = m_transport.get();
            ports.identify = [this](const instance_ref& self) { m_transport->identify(self); };
            ports.toRequestTask = [this](to_request_task message) { m_requests->post(std::move(message)); };
            ports.left = [this] { event_base_loopbreak(m_controlBase.get()); };
            ports.seed = m_random();
            const auto& listeners = m_settings.listeners;
            m_node = control_node::create({ m_settings.instance, m_settings.region, m_settings.availabilityZone,
                                              listeners.entry, listeners.forward, listeners.control, listeners.admin },
                toLeaseSettings(m_settings.lease), ports);
        }

        event_handle watchSignal(int signal)
        {
            event_handle watch(evsignal_new(
                m_controlBase.get(), signal,
                [](evutil_socket_t, short, void* argument) { static_cast<heatherdrift_node*>(argument)->stop(); },
                this));
            event_add(watch.get(), nullptr);
            return watch;
        }

        void stop()
        {
            if (std::exchange(m_isStopping, true)) {
                event_base_loopbreak(m_controlBase.get());
                return;
            }
            logEvent(log_event::node_stopping, { { "instance", m_settings.instance } });
            m_node->drain();
        }

        node_settings m_settings;
        event_base_handle m_controlBase;
        event_base_handle m_requestBase;
        std::mt19937_64 m_random;
        metrics_registry m_metrics;
        std::unique_ptr<tcp_peer_transport> m_transport;
        std::unique_ptr<mailbox<to_control_task>> m_fromRequests;
        delayed_calls m_delays;
        std::unique_ptr<table_store> m_store;
        std::unique_ptr<resolving_store> m_resolving;
        std::unique_ptr<request_task> m_requests;
        std::unique_ptr<control_node> m_node;
        std::unique_ptr<admin_service> m_adminService;
        std::unique_ptr<http_server> m_admin;
        std::unique_ptr<loop_waker> m_stopRequests;
        std::thread m_requestThread;
        bool m_isStopping = false;
    };

} // namespace

result<void> node::check(const node_settings& settings) { return checkLeaseSettings(toLeaseSettings(settings.lease)); }

result<std::unique_ptr<node>> node::create(const node_settings& settings)
{
    auto created = std::make_unique<heatherdrift_node>(settings);
    BOOST_OUTCOME_TRYV(created->listen());
    return std::unique_ptr<node>(std::move(created));
}

} // namespace heatherdrift
