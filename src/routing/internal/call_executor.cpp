#include "routing/call_executor.h"

#include "routing/internal/executed_call.h"

namespace heatherdrift {

namespace {

    constexpr int warmConnections = 4;
    /// Calls that take up to this long may use all slots. Downloads and video streams take seconds. With 50 ms, a pool
    /// whose usual calls take 100 ms left half of its slots idle at peak load.
    constexpr duration shortLimit = std::chrono::milliseconds(250);
    constexpr duration warmTimeout = std::chrono::seconds(5);

} // namespace

call_executor::call_executor(event_base* base, executor_settings settings, executor_hooks hooks)
    : m_base(base)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_once(m_settings.self, m_settings.tokenSecret, m_settings.once)
    , m_requests(m_settings.requests)
    , m_load(m_hooks.now())
    , m_advance(base, [this] { advance(); })
    , m_leaseTimer(base, [this] { cancelOnLeaseEnd(); })
{
}

call_executor::~call_executor()
{
    for (const auto& [id, running] : m_calls)
        running->detach();
}

http_call_ptr call_executor::run(call source, call_target target, http_call_handlers handlers)
{
    const auto id = m_nextCall++;
    auto started
        = std::make_shared<executed_call>(*this, id, std::move(source), std::move(target), std::move(handlers));
    m_calls.emplace(id, started);
    started->scheduleBegin();
    return started;
}

void call_executor::setSnapshot(routing_snapshot_ptr snapshot)
{
    const bool hadConfiguration = m_snapshot != nullptr;
    m_snapshot = std::move(snapshot);
    if (!hadConfiguration || !m_admission)
        return;
    apply(m_admission->setSlots(admissionSettings().queue.slots, m_hooks.now()));
}

void call_executor::stopServing()
{
    m_isStopped = true;
    m_leaseEnd = {};
    cancelOnLeaseEnd();
}

void call_executor::setLeaseEnd(time_point end)
{
    if (m_isStopped)
        return;
    m_leaseEnd = end;
    m_leaseTimer.startAt(end);
}

void call_executor::setBackend(std::unique_ptr<backend_link> link, const backend_description& description)
{
    m_backend = std::move(link);
    m_description = description;
    m_backend->warm(warmConnections, m_hooks.now() + warmTimeout);
    if (!m_admission)
        m_admission = std::make_unique<backend_admission>(admissionSettings());
    else
        apply(m_admission->setSlots(admissionSettings().queue.slots, m_hooks.now()));
}

void call_executor::removeBackend() { m_backend.reset(); }

backend_admission_settings call_executor::admissionSettings() const
{
    backend_admission_settings settings;
    settings.classes.shortLimit = shortLimit;
    if (m_snapshot) {
        const auto member = m_snapshot->members.find(m_settings.self.id);
        const bool isKnown = member != m_snapshot->members.end();
        const auto* pool = isKnown ? m_snapshot->configuration->findPool(member->second.pool) : nullptr;
        if (pool) {
            settings.queue.slots = pool->slots;
            settings.queue.shortShare = pool->shortShare;
        }
    }
    if (m_description.slots > 0)
        settings.queue.slots = m_description.slots;
    return settings;
}

void call_executor::stopPartition(const partition_id& partition, std::function<void()> onIdle)
{
    m_stopped[partition].push_back(std::move(onIdle));
    notifyIdlePartitions();
}

void call_executor::resumePartition(const partition_id& partition) { m_stopped.erase(partition); }

void call_executor::startDraining() { m_isDraining = true; }

request_state call_executor::inquire(const std::string& requestId, time_point sentAt)
{
    return m_requests.inquire(requestId, sentAt, m_hooks.now());
}

result<claim_answer> call_executor::claim(
    const once_token& token, std::uint64_t fingerprint, const std::string& claimant)
{
    return m_once.claim(token, fingerprint, claimant, m_hooks.now());
}

result<std::optional<backend_grant>> call_executor::authorize(const call& source, const call_target& target) const
{
    if (target.owner != m_settings.self)
        return notRun(error_code::not_owner, "the request is meant for another process");
    if (!m_snapshot || !m_backend)
        return notRun(error_code::connection_failed, "no backend server is available here");
    if (source.policy.ownership == ownership_need::none) {
        if (m_isDraining || m_isStopped)
            return notRun(error_code::draining, "this instance is draining");
        return std::optional<backend_grant>();
    }
    const auto* pool = m_snapshot->configuration->findPool(source.pool);
    const auto found = pool ? m_snapshot->partitions.find(*pool, source.key) : std::nullopt;
    if (!found || !found->isOwnedBy(m_settings.self))
        return notRun(error_code::not_owner, "this instance does not own the key");
    if (m_stopped.contains({ source.pool, found->index }))
        return notRun(error_code::not_owner, "the key's partition is being transferred");
    if (m_hooks.now() >= m_leaseEnd)
        return notRun(error_code::lease_expired, "this instance has no valid lease");
    return std::optional(backend_grant { source.pool, found->index, found->number, m_leaseEnd });
}

void call_executor::submit(executed_call& queued)
{
    const auto& source = queued.source();
    admission_call request;
    request.id = queued.id();
    request.kind = { source.selector, source.request.method };
    request.configured = source.policy.length;
    request.priority = source.policy.priority;
    request.customer = source.workspace;
    request.deadline = source.deadline;
    request.fingerprint = fingerprintOf(source);
    apply(m_admission->submit(request, m_hooks.now()));
}

void call_executor::apply(const admission_actions& actions)
{
    for (const auto& action : actions) {
        const auto found = m_calls.find(action.id);
        if (found == m_calls.end())
            continue;
        const auto running = found->second;
        if (action.step == admission_step::run)
            running->start();
        else
            running->refuse(*action.reason);
    }
    scheduleAdvance();
}

load_sample call_executor::takeLoad() { return m_load.take(m_hooks.now()); }

void call_executor::onCallEnded(executed_call& call, std::optional<admission_end> how)
{
    const auto id = call.id();
    m_calls.erase(id);
    if (!m_admission)
        return;
    if (how == admission_end::failed) {
        // Keeps the slot occupied until a health check shows whether the call was running when the backend server
        // crashed.
        m_lostCalls.push_back(id);
        m_hooks.onBackendFailure();
    } else if (how) {
        apply(m_admission->finish(id, *how, m_hooks.now()));
    } else {
        m_admission->cancel(id, m_hooks.now());
    }
    notifyIdlePartitions();
}

void call_executor::onBackendChecked(bool isCrashed)
{
    if (m_lostCalls.empty() || !m_admission)
        return;
    if (isCrashed) {
        const auto crashId = toString(m_settings.self) + "/" + std::to_string(++m_crashes);
        auto strikes = m_admission->crashed(crashId, m_hooks.now());
        if (!strikes.empty() && m_hooks.onStrikes)
            m_hooks.onStrikes(std::move(strikes));
    }
    for (const auto id : std::exchange(m_lostCalls, {}))
        apply(m_admission->finish(id, admission_end::failed, m_hooks.now()));
}

void call_executor::mergeStrikes(const std::vector<crash_strike>& strikes)
{
    if (m_admission)
        m_admission->merge(strikes);
}

void call_executor::advance()
{
    if (m_admission)
        apply(m_admission->advance(m_hooks.now()));
}

void call_executor::scheduleAdvance()
{
    const auto next = m_admission->nextEvent(m_hooks.now());
    if (next == time_point::max())
        m_advance.stop();
    else
        m_advance.startAt(next);
}

void call_executor::cancelOnLeaseEnd()
{
    if (m_hooks.now() < m_leaseEnd)
        return;
    std::vector<std::shared_ptr<executed_call>> affected;
    for (const auto& [id, running] : m_calls) {
        if (running->heldPartition())
            affected.push_back(running);
    }
    for (const auto& running : affected)
        running->onLeaseEnd();
}

void call_executor::notifyIdlePartitions()
{
    if (m_stopped.empty())
        return;
    std::set<partition_id> busy;
    for (const auto& [id, running] : m_calls) {
        const auto held = running->heldPartition();
        if (!held)
            continue;
        busy.insert(*held);
        // A key that became hot during the call now has its own partition, which this call keeps busy as well.
        const auto* pool = m_snapshot->configuration->findPool(held->pool);
        const auto found = pool ? m_snapshot->partitions.find(*pool, running->source().key) : std::nullopt;
        if (found)
            busy.insert({ held->pool, found->index });
    }
    for (auto& [partition, waiting] : m_stopped) {
        if (busy.contains(partition))
            continue;
        for (const auto& notify : std::exchange(waiting, {}))
            notify();
    }
}

} // namespace heatherdrift
