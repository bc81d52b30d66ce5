#include "routing/request_task.h"

#include "routing/internal/backend_monitor.h"
#include "routing/internal/member_picker.h"

namespace heatherdrift {

namespace {

    constexpr duration sampleInterval = std::chrono::seconds(1);
    constexpr std::size_t claimBodyLimit = 64 * 1024;
    constexpr int defaultConnections = 90;

    void refuseUntilRegistered(http_exchange& exchange)
    {
        exchange.respond(toFailureResponse(notRun(error_code::no_owner, "this node has not registered yet"), ""));
    }

} // namespace

struct request_task::incarnation_parts {
    instance_ref self;
    member_picker picker;
    call_executor executor;
    entry_router router;
    forward_service forward;
    std::unique_ptr<backend_monitor> monitor;

    incarnation_parts(request_task& task, const instance_ref& process)
        : self(process)
        , picker(process.id, task.m_hooks.now, task.m_random())
        , executor(task.m_base, { process, task.m_random(), task.m_settings.once, task.m_settings.requests },
              task.makeExecutorHooks())
        , router(task.m_base, process, task.m_settings.entryLimits, withPicker(task.makeEntryHooks()), executor)
        , forward(
              process, task.m_settings.entryLimits.streamBufferBytes, task.m_hooks.now, executor, task.m_hooks.spans)
    {
    }

    entry_hooks withPicker(entry_hooks hooks)
    {
        hooks.memberSelection = picker.hooks();
        return hooks;
    }

    bool isIdle() const { return executor.callsInProgress() == 0 && router.callsInProgress() == 0; }
};

request_task::request_task(event_base* base, request_task_settings settings, request_task_hooks hooks)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(m_hooks.seed)
    , m_mailbox(base,
          [this](const to_request_task& message) { std::visit([this](const auto& value) { on(value); }, message); })
    , m_retries(m_hooks.now())
    , m_sample(base, [this] { sample(); })
{
    m_sample.startRepeating(sampleInterval);
}

request_task::~request_task() = default;

result<std::unique_ptr<request_task>> request_task::create(
    event_base* base, request_task_settings settings, request_task_hooks hooks)
{
    std::unique_ptr<request_task> task(new request_task(base, std::move(settings), std::move(hooks)));
    BOOST_OUTCOME_TRYV(task->listen());
    return task;
}

result<void> request_task::listen()
{
    BOOST_OUTCOME_TRY(entry,
        http_server::listen(m_base, m_settings.entry, m_settings.listeners,
            [this](http_exchange_ptr exchange) { handleEntry(std::move(exchange)); }));
    BOOST_OUTCOME_TRY(forward,
        http_server::listen(m_base, m_settings.forward, m_settings.listeners,
            [this](http_exchange_ptr exchange) { handleForward(std::move(exchange)); }));
    forward->setRejectionHeaders({ { header::verdict, std::string(toString(verdict::not_run)) },
        { header::error, std::string(toString(error_code::bad_request)) } });
    m_entry = std::move(entry);
    m_forward = std::move(forward);
    return outcome::success();
}

void request_task::post(to_request_task message) { m_mailbox.post(std::move(message)); }

endpoint request_task::entryAddress() const { return m_entry->address(); }

endpoint request_task::forwardAddress() const { return m_forward->address(); }

void request_task::stopListening()
{
    m_entry->stopListening();
    m_forward->stopListening();
}

int request_task::callsInProgress() const
{
    int count = 0;
    const auto add = [&](const incarnation_parts& parts) {
        count += parts.executor.callsInProgress() + static_cast<int>(parts.router.callsInProgress());
    };
    if (m_parts)
        add(*m_parts);
    for (const auto& parts : m_retired)
        add(*parts);
    return count;
}

void request_task::handleEntry(http_exchange_ptr exchange)
{
    if (m_parts)
        m_parts->router.handle(std::move(exchange));
    else
        refuseUntilRegistered(*exchange);
}

void request_task::handleForward(http_exchange_ptr exchange)
{
    if (m_parts)
        m_parts->forward.handle(std::move(exchange));
    else
        refuseUntilRegistered(*exchange);
}

void request_task::on(const start_incarnation& message)
{
    if (m_parts)
        m_retired.push_back(std::move(m_parts));
    m_snapshot = nullptr;
    m_parts = std::make_unique<incarnation_parts>(*this, message.self);
    if (m_isDraining)
        m_parts->executor.startDraining();
    connectBackend();
}

void request_task::on(const stop_serving& message)
{
    if (m_parts && m_parts->self == message.self)
        m_parts->executor.stopServing();
    m_hooks.toControlTask(serving_stopped { message.self });
}

void request_task::on(const use_snapshot& message)
{
    if (!m_parts || message.snapshot->self != m_parts->self)
        return;
    m_snapshot = message.snapshot;
    m_parts->executor.setSnapshot(m_snapshot);
    m_parts->forward.setSnapshot(m_snapshot);
    m_parts->picker.setSnapshot(*m_snapshot);
    m_parts->router.setSnapshot(m_snapshot);
}

void request_task::on(const lease_update& message)
{
    if (m_parts && m_parts->self == message.self)
        m_parts->executor.setLeaseEnd(message.end);
}

void request_task::on(const backend_update& message)
{
    m_backend = message.backend;
    connectBackend();
}

void request_task::connectBackend()
{
    if (!m_parts)
        return;
    if (!m_backend) {
        m_parts->monitor.reset();
        m_parts->executor.removeBackend();
        return;
    }
    m_parts->executor.setBackend(
        std::make_unique<backend_link>(m_base, m_backend->address, defaultConnections), *m_backend);
    m_parts->monitor = std::make_unique<backend_monitor>(m_base, m_backend->address, m_hooks.now,
        backend_monitor::hooks { [this](bool isAnswering) { m_hooks.toControlTask(backend_health { isAnswering }); },
            [this](bool isCrashed) { m_parts->executor.onBackendChecked(isCrashed); } });
}

void request_task::on(const stop_partition& message)
{
    const auto answer = [this, partition = message.partition] { m_hooks.toControlTask(partition_idle { partition }); };
    if (m_parts)
        m_parts->executor.stopPartition(message.partition, answer);
    else
        answer();
}

void request_task::on(const resume_partition& message)
{
    if (m_parts)
        m_parts->executor.resumePartition(message.partition);
}

void request_task::on(const start_draining&)
{
    m_isDraining = true;
    if (m_parts)
        m_parts->executor.startDraining();
}

void request_task::on(const add_strikes& message)
{
    if (m_parts)
        m_parts->executor.mergeStrikes(message.strikes);
}

void request_task::on(const intent_inserted& message)
{
    const auto found = m_intents.find(message.id);
    if (found == m_intents.end())
        return;
    const auto done = std::move(found->second);
    m_intents.erase(found);
    done(message.outcome);
}

entry_hooks request_task::makeEntryHooks()
{
    entry_hooks hooks;
    hooks.now = m_hooks.now;
    hooks.onFirstAttempt = [this] { m_retries.recordFirstAttempt(m_hooks.now()); };
    hooks.tryRetry = [this] { return m_retries.tryRetry(m_hooks.now()); };
    hooks.jitter = [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); };
    hooks.spans = m_hooks.spans;
    auto* metrics = m_hooks.metrics;
    hooks.onFinished
        = [metrics](const std::string& selector, verdict outcome, std::string_view error, duration latency) {
              if (!metrics)
                  return;
              metrics
                  ->counter("heatherdrift_requests_total", "Requests of callers by selector, verdict and error.",
                      { { "selector", selector }, { "verdict", std::string(toString(outcome)) },
                          { "error", std::string(error) } })
                  .Increment();
              metrics
                  ->latency("heatherdrift_request_seconds", "Time from a caller's request to the end of its answer.",
                      { { "selector", selector } })
                  .Observe(std::chrono::duration<double>(latency).count());
          };
    return hooks;
}

executor_hooks request_task::makeExecutorHooks()
{
    executor_hooks hooks;
    hooks.now = m_hooks.now;
    hooks.claimAtIssuer = [this](const once_token& token, std::uint64_t fingerprint, const std::string& claimant,
                              time_point deadline, std::function<void(result<claim_answer>)> done) {
        claimAtIssuer(token, fingerprint, claimant, deadline, std::move(done));
    };
    hooks.insertIntent = [this](const std::string& key, const std::string& requestId, time_point deadline,
                             std::function<void(result<void>)> done) {
        m_intents.emplace(m_nextIntent, std::move(done));
        m_hooks.toControlTask(insert_intent { m_nextIntent++, key, requestId, deadline });
    };
    hooks.onStrikes
        = [this](std::vector<crash_strike> strikes) { m_hooks.toControlTask(new_strikes { std::move(strikes) }); };
    hooks.onBackendFailure = [this] {
        if (m_parts && m_parts->monitor)
            m_parts->monitor->checkNow();
    };
    return hooks;
}

void request_task::claimAtIssuer(const once_token& token, std::uint64_t fingerprint, const std::string& claimant,
    time_point deadline, std::function<void(result<claim_answer>)> done)
{
    auto* client = m_snapshot ? m_parts->router.peers().find(*m_snapshot, token.issuer) : nullptr;
    if (!client)
        return done(claim_answer {});
    fetch(*client, toClaimRequest(token, fingerprint, claimant, token.issuer), deadline, claimBodyLimit,
        [done = std::move(done)](const result<http_response>& response) {
            // An unreachable issuer may have granted the token before.
            if (response.has_error())
                return done(claim_answer {});
            done(parseClaimAnswer(response.value()));
        });
}

void request_task::sample()
{
    dropRetired();
    if (!m_parts)
        return;
    auto sample = m_parts->executor.takeLoad();
    sample.callsInProgress = callsInProgress();
    m_hooks.toControlTask(std::move(sample));
}

void request_task::dropRetired()
{
    std::erase_if(m_retired, [](const auto& parts) { return parts->isIdle(); });
}

} // namespace heatherdrift
