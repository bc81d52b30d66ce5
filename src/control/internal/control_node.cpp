#include "control/control_node.h"

#include "base/hash.h"
#include "control/internal/node_impl.h"
#include "lease/witness_selection.h"
#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr duration digestInterval = std::chrono::seconds(1);
    /// A draining instance leaves after this time even if no other instance has taken over its partitions.
    constexpr duration drainTimeout = std::chrono::seconds(20);
    constexpr const char* intentTable = "intents";

} // namespace

node_impl::incarnation_parts::incarnation_parts(node_impl& node, const member_row& row)
    : pages(node.m_context)
    , lease(node.m_context, row,
          { [&node, self = row.self](time_point end) {
               node.m_ports.toRequestTask(lease_update { self, end });
           },
              [&node](lease_end reason) { node.onLeaseLost(reason); },
              [&node](const std::vector<instance_ref>& witnesses) {
                  auto next = node.m_row.latest().row;
                  next.witnesses = witnesses;
                  return node.m_row.write(std::move(next));
              } })
    , takeovers(node.m_context, pages, lease.ownWitness(), row.self)
    , moves(node.m_context, pages, row.self,
          { [&node](const partition_id& partition) { node.m_ports.toRequestTask(stop_partition { partition }); },
              [&node](const partition_id& partition) {
                  node.publishSnapshot();
                  node.m_ports.toRequestTask(resume_partition { partition });
              } })
    , assignment(node.m_context, pages, takeovers, moves, row.self)
{
}

node_impl::node_impl(node_identity identity, const lease_settings& lease, control_ports ports)
    : m_identity(std::move(identity))
    , m_ports(std::move(ports))
    , m_random(m_ports.seed)
    , m_replica(*m_ports.transport, { m_ports.now, [this](const auto& rows) { onRowsChanged(rows); } })
    , m_context { m_ports.now, *m_ports.store, *m_ports.resolving, *m_ports.transport, m_replica, m_view, lease,
        [this] { return newOperationId(); }, [this] { return std::uniform_real_distribution<double>(0, 1)(m_random); } }
    , m_row(m_context, m_identity,
          { [this](const versioned_member& member) { onRegistered(member); },
              [this](const versioned_member& member, bool isApplied) { onRowWritten(member, isApplied); },
              [this](lease_end reason) { onLeaseLost(reason); } })
    , m_reader(m_context)
    , m_strikes(m_context)
{
    m_ports.transport->onMessage(
        [this](const instance_ref& sender, const wire::Message& message) { onMessage(sender, message); });
}

std::string node_impl::newOperationId() { return m_identity.instance + "-" + std::to_string(m_random()); }

void node_impl::start() { m_row.beginRegistration(); }

void node_impl::onRegistered(const versioned_member& member)
{
    logEvent(log_event::member_registered, { { "self", toString(member.row.self) } });
    m_ports.identify(member.row.self);
    m_ports.toRequestTask(start_incarnation { member.row.self });
    if (m_backend)
        m_ports.toRequestTask(backend_update { m_backend });
    m_parts = std::make_unique<incarnation_parts>(*this, member.row);
    m_publishedRevision = 0;
}

void node_impl::onRowWritten(const versioned_member& member, bool isApplied)
{
    if (!m_parts)
        return;
    m_parts->lease.onWitnessesWritten(isApplied);
    if (member.row.state == member_state::left && !std::exchange(m_hasLeft, true)) {
        logEvent(log_event::member_left, { { "self", toString(member.row.self) } });
        m_ports.left();
    }
}

void node_impl::onLeaseLost(lease_end reason)
{
    if (!m_parts || m_stopping || m_hasLeft)
        return;
    m_parts->lease.end(reason);
    m_stopping = m_parts->lease.self();
    logEvent(log_event::lease_lost,
        { { "holder", toString(*m_stopping) }, { "reason", reason == lease_end::fenced ? "fenced" : "superseded" } });
    m_ports.toRequestTask(stop_serving { *m_stopping });
}

void node_impl::on(const serving_stopped& message)
{
    if (m_isLeaving && !m_stopping) {
        m_isServing = false;
        return;
    }
    if (m_stopping != message.self)
        return;
    m_stopping.reset();
    m_isLeaving = false;
    m_isServing = true;
    m_parts.reset();
    m_row.beginRegistration();
}

void node_impl::onRowsChanged(const std::vector<stored_row>& rows)
{
    m_view.apply(rows);
    const auto version = m_view.current() ? m_view.current()->version : 0;
    m_replica.setConfigurationVersion(version);
    if (!m_parts)
        return;
    for (const auto& row : rows) {
        if (row.key.table == configurationTable)
            m_parts->lease.onConfiguration(version);
        if (row.key.table != memberTable)
            continue;
        const auto* member = m_view.findMember(row.key.key);
        if (!member)
            continue;
        m_parts->lease.onMember(member->row);
        m_parts->takeovers.onMember(*member);
        if (row.key.key == m_identity.instance)
            m_row.onRowUpdate(*member);
    }
}

void node_impl::onMessage(const instance_ref& sender, const wire::Message& message)
{
    if (!m_parts || m_stopping)
        return;
    const auto from = m_context.addressOf(sender).value_or(peer_address { sender, {} });
    if (message.__isset.renewal) {
        m_replica.onDigest(from, message.renewal.digest);
        m_parts->takeovers.onHeartbeat(sender);
    }
    if (message.__isset.grant)
        m_replica.onDigest(from, message.grant.digest);
    if (message.__isset.refusal)
        m_replica.onDigest(from, message.refusal.digest);
    if (message.__isset.strikes) {
        m_ports.toRequestTask(add_strikes { m_strikes.accept(sender, message.strikes) });
        return;
    }
    m_replica.onMessage(from, message) || m_parts->lease.onMessage(sender, message)
        || m_parts->takeovers.onMessage(message) || m_parts->assignment.onMessage(sender, message);
}

void node_impl::tick()
{
    const auto now = m_ports.now();
    m_row.tick(now);
    if (m_parts && !m_stopping) {
        m_parts->lease.tick(now);
        if (m_stopping)
            return;
        m_parts->takeovers.tick(now);
        m_parts->moves.tick(now);
        if (m_parts->lease.isValid(now))
            m_parts->assignment.tick(now);
        updateOwnRow(now);
        m_reader.tick(now, m_row.self(), m_identity.availabilityZone);
        sendDigests(now);
    }
    if (m_view.revision() != m_publishedRevision) {
        updateNeighbours();
        publishSnapshot();
    }
}

member_state node_impl::targetState(time_point now) const
{
    const auto state = m_row.latest().row.state;
    if (m_isDraining)
        return m_isServing || state != member_state::draining ? member_state::draining : member_state::left;
    if (m_backend && !m_isBackendAnswering)
        return state == member_state::joining ? state : member_state::draining;
    if (m_backend && m_parts->lease.isValid(now))
        return member_state::active;
    return state;
}

/// Starts to leave once all partitions are handed over or the drain deadline has passed. The request task stops before
/// the row gets the state `left`, because other nodes reassign the partitions of a row in that state.
void node_impl::leaveWhenIdle(time_point now)
{
    if (!m_isDraining || m_isLeaving || m_row.latest().row.state != member_state::draining)
        return;
    const bool hasHandedOver = m_parts->assignment.ownsNothing() && m_parts->moves.size() == 0;
    if (m_callsInProgress > 0 || (!hasHandedOver && now < m_drainDeadline))
        return;
    m_isLeaving = true;
    m_ports.toRequestTask(stop_serving { m_row.self() });
}

void node_impl::updateOwnRow(time_point now)
{
    leaveWhenIdle(now);
    if (!m_row.isRegistered() || m_row.isWriting())
        return;
    auto wanted = m_row.latest().row;
    wanted.state = targetState(now);
    if (m_backend) {
        wanted.labels = m_backend->labels;
        wanted.slots = m_backend->slots;
        wanted.checksGrants = m_backend->checksGrants;
    }
    m_parts->assignment.setDraining(wanted.state == member_state::draining);
    if (wanted != m_row.latest().row)
        m_row.write(std::move(wanted));
}

void node_impl::updateNeighbours()
{
    const auto* own = m_view.findMember(m_identity.instance);
    if (!own || !m_parts)
        return;
    std::vector<peer_address> neighbours;
    std::map<std::string, const member_row*> regionLinks;
    for (const auto& [id, member] : m_view.members()) {
        const auto& row = member.row;
        if (id == m_identity.instance || !canHoldLease(row.state))
            continue;
        const auto contains = [](const std::vector<instance_ref>& witnesses, const instance_ref& instance) {
            return std::ranges::find(witnesses, instance) != witnesses.end();
        };
        if (contains(own->row.witnesses, row.self) || contains(row.witnesses, own->row.self))
            neighbours.push_back({ row.self, row.control });
        if (row.region == m_identity.region)
            continue;
        auto& link = regionLinks[row.region];
        const auto weight
            = [&](const member_row& other) { return rendezvousWeight(m_identity.instance, other.self.id); };
        if (!link || weight(row) > weight(*link))
            link = &row;
    }
    m_regionLinks.clear();
    for (const auto& [region, row] : regionLinks)
        m_regionLinks.push_back({ row->self, row->control });
    neighbours.insert(neighbours.end(), m_regionLinks.begin(), m_regionLinks.end());
    m_replica.setNeighbours(neighbours);
    m_strikes.setNeighbours(std::move(neighbours));
}

void node_impl::sendDigests(time_point now)
{
    if (now < m_nextDigest || m_regionLinks.empty())
        return;
    m_nextDigest = now + digestInterval;
    wire::Message message;
    message.__set_digest(m_replica.digest());
    for (const auto& link : m_regionLinks)
        m_ports.transport->send(link, message);
}

void node_impl::publishSnapshot()
{
    if (!m_row.isRegistered() || m_view.revision() == m_publishedRevision)
        return;
    m_publishedRevision = m_view.revision();
    auto next = std::make_shared<routing_snapshot>();
    next->sequence = ++m_snapshotCount;
    next->self = m_row.self();
    next->configuration = m_view.current();
    next->partitions = m_view.partitions();
    for (const auto& [id, member] : m_view.members()) {
        const auto& row = member.row;
        const auto* pool = m_view.poolOf(row);
        member_route route { row.self, row.forward, pool ? pool->name : "", row.region, row.availabilityZone, false };
        route.isServing = pool && row.state == member_state::active && !m_view.isDrainedByLabel(row);
        next->members.emplace(id, std::move(route));
    }
    m_snapshot = next;
    if (next->configuration)
        m_ports.toRequestTask(use_snapshot { m_snapshot });
}

void node_impl::onRequestTask(const to_control_task& message)
{
    std::visit([this](const auto& value) { on(value); }, message);
}

void node_impl::on(const partition_idle& message)
{
    if (m_parts)
        m_parts->moves.onPartitionIdle(message.partition);
}

void node_impl::on(const backend_health& message)
{
    if (m_isBackendAnswering == message.isAnswering)
        return;
    m_isBackendAnswering = message.isAnswering;
    logEvent(message.isAnswering ? log_event::backend_recovered : log_event::backend_lost);
}

void node_impl::on(const load_sample& message)
{
    m_callsInProgress = message.callsInProgress;
    if (m_parts)
        m_parts->assignment.onLoad(message, m_ports.now());
}

void node_impl::on(const new_strikes& message) { m_strikes.broadcast(message.strikes); }

void node_impl::on(const insert_intent& message) { writeIntent(message); }

void node_impl::writeIntent(const insert_intent& intent)
{
    store_transaction transaction;
    transaction.operationId = newOperationId();
    const json row = { { "request_id", intent.requestId }, { "operation_id", transaction.operationId } };
    transaction.writes = { { { intentTable, intent.key }, 0, row.dump() } };
    m_ports.resolving->commit(
        std::move(transaction), intent.deadline, [this, id = intent.id](const result<commit_receipt>& receipt) {
            result<void> answer = outcome::success();
            if (receipt.has_error() && receipt.error().code == error_code::conflict)
                answer = mayHaveRun(error_code::token_spent, "the token was used before");
            else if (receipt.has_error())
                answer = receipt.error();
            m_ports.toRequestTask(intent_inserted { id, answer });
        });
}

void node_impl::onAnnouncement(const backend_description& backend)
{
    if (m_backend == backend)
        return;
    m_backend = backend;
    logEvent(log_event::backend_announced, { { "address", toString(backend.address) } });
    m_ports.toRequestTask(backend_update { backend });
}

void node_impl::drain()
{
    if (std::exchange(m_isDraining, true))
        return;
    m_drainDeadline = m_ports.now() + drainTimeout;
    logEvent(log_event::drain_started);
    m_ports.toRequestTask(start_draining {});
}

void node_impl::applyConfiguration(
    configuration next, std::int64_t baseVersion, std::function<void(result<std::int64_t>)> done)
{
    m_ports.store->read(currentConfigurationKey(), m_context.storeDeadline(),
        [this, next = std::move(next), baseVersion, done = std::move(done)](
            const result<std::optional<stored_row>>& read) mutable {
            if (read.has_error())
                return done(notRun(error_code::store_unavailable, read.error().message));
            next.version = baseVersion + 1;
            const auto version = next.version;
            const auto operationId = newOperationId();
            auto transaction = makeApplyTransaction(read.value(), next, operationId);
            if (transaction.has_error())
                return done(transaction.error());
            m_ports.resolving->commit(std::move(transaction).value(), m_context.storeDeadline(),
                [this, version, operationId, done = std::move(done)](const result<commit_receipt>& receipt) {
                    if (receipt.has_error())
                        return resolveApply(version, operationId, receipt.error(), done);
                    m_replica.add(receipt.value().rows);
                    done(version);
                });
        });
}

void node_impl::resolveApply(std::int64_t version, const std::string& operationId, const failure& reason,
    std::function<void(result<std::int64_t>)> done)
{
    if (reason.code != error_code::conflict)
        return done(reason);
    // The row of a version is written only once, so it shows which operation created the version.
    m_ports.store->read(configurationVersionKey(version), m_context.storeDeadline(),
        [version, operationId, done = std::move(done)](const result<std::optional<stored_row>>& row) {
            if (row.has_error())
                return done(mayHaveRun(error_code::store_unavailable, "the outcome of the change is not known"));
            const auto how = heatherdrift::resolveApply(row.value(), operationId);
            if (how.has_error() || how.value() == apply_outcome::unknown)
                return done(mayHaveRun(error_code::store_unavailable, "the outcome of the change is not known"));
            if (how.value() == apply_outcome::applied)
                return done(version);
            done(applyConflict(version));
        });
}

void node_impl::readConfiguration(std::int64_t version, std::function<void(result<configuration>)> done)
{
    m_ports.store->read(configurationVersionKey(version), m_context.storeDeadline(),
        [version, done = std::move(done)](const result<std::optional<stored_row>>& read) {
            if (read.has_error())
                return done(read.error());
            if (!read.value())
                return done(notRun(error_code::not_found, "there is no version " + std::to_string(version)));
            auto row = parseConfigurationRow(read.value()->value);
            if (row.has_error())
                return done(row.error());
            done(std::move(row).value().value);
        });
}

result<void> node_impl::declareLost(const instance_id& id)
{
    const auto* member = m_view.findMember(id);
    if (!m_parts || !member || id == m_identity.instance)
        return notRun(error_code::not_found, "no other member is named " + id);
    m_parts->takeovers.declareLost(member->row.self);
    return outcome::success();
}

node_status node_impl::status() const
{
    node_status status;
    status.isRegistered = m_row.isRegistered();
    status.self = m_row.self();
    status.configurationVersion = m_view.current() ? m_view.current()->version : 0;
    status.unresolvedWrites = m_ports.resolving->unresolvedCount();
    status.isStoreAvailable = m_ports.resolving->health().isAvailable();
    status.replicaBytes = m_replica.rows().bytes();
    if (!m_parts)
        return status;
    const auto now = m_ports.now();
    status.hasLease = m_parts->lease.isValid(now);
    // A permanently ended lease has the minimum time point as its expiry; subtracting from that would overflow.
    status.leaseRemaining = std::max(m_parts->lease.validUntil(), now) - now;
    status.witnesses = m_parts->lease.witnesses();
    status.movesInProgress = m_parts->moves.size();
    status.takeoversInProgress = m_parts->takeovers.size();
    return status;
}

std::vector<versioned_member> node_impl::members() const
{
    std::vector<versioned_member> rows;
    for (const auto& [id, member] : m_view.members())
        rows.push_back(member);
    return rows;
}

std::unique_ptr<control_node> control_node::create(
    node_identity identity, const lease_settings& lease, control_ports ports)
{
    return std::make_unique<node_impl>(std::move(identity), lease, std::move(ports));
}

} // namespace heatherdrift
