#include "control/internal/own_row.h"

#include "configuration/configuration_store_rows.h"
#include "lease/succession.h"
#include "lease/witness_selection.h"
#include "store/page_row.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr duration initialRetryDelay = std::chrono::milliseconds(50);
    constexpr duration maxRetryDelay = std::chrono::seconds(2);

    bool isFencedState(member_state state) { return state == member_state::fencing || state == member_state::fenced; }

} // namespace

own_row::own_row(control_context& context, node_identity identity, hooks callbacks)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_hooks(std::move(callbacks))
    , m_delay(initialRetryDelay, maxRetryDelay)
    , m_alive(std::make_shared<char>())
{
}

void own_row::beginRegistration()
{
    m_isRegistered = false;
    m_pending.reset();
    m_alive = std::make_shared<char>();
    m_delay.reset();
    scan();
}

void own_row::scan()
{
    m_context.store.scan(memberTable, m_context.storeDeadline(),
        [this, alive = std::weak_ptr(m_alive)](const result<std::vector<stored_row>>& rows) {
            if (!alive.expired())
                onScanned(rows);
        });
}

void own_row::onScanned(const result<std::vector<stored_row>>& rows)
{
    if (rows.has_error())
        return retryLater(&own_row::scan);
    m_context.replica.add(rows.value());
    readPages();
}

void own_row::readPages()
{
    m_context.store.scan(pageTable, m_context.storeDeadline(),
        [this, alive = std::weak_ptr(m_alive)](const result<std::vector<stored_row>>& rows) {
            if (alive.expired())
                return;
            if (rows.has_error())
                return retryLater(&own_row::scan);
            m_context.replica.add(rows.value());
            readConfiguration();
        });
}

void own_row::readConfiguration()
{
    m_context.store.read(currentConfigurationKey(), m_context.storeDeadline(),
        [this, alive = std::weak_ptr(m_alive)](const result<std::optional<stored_row>>& row) {
            if (alive.expired())
                return;
            if (row.has_error())
                return retryLater(&own_row::scan);
            if (row.value())
                m_context.replica.add({ *row.value() });
            registerIncarnation();
        });
}

void own_row::registerIncarnation()
{
    const auto* current = m_context.view.findMember(m_identity.instance);
    if (current && !mayRegisterOver(current->row, m_identity.control)) {
        // Another process at another address may hold this instance's lease. Retry until its witnesses have fenced it.
        return retryLater(&own_row::scan);
    }
    member_row next;
    next.self.id = m_identity.instance;
    next.state = member_state::joining;
    next.region = m_identity.region;
    next.availabilityZone = m_identity.availabilityZone;
    next.entry = m_identity.entry;
    next.forward = m_identity.forward;
    next.control = m_identity.control;
    next.admin = m_identity.admin;
    next.witnesses = chooseWitnesses(next, m_context.view.memberRows());
    next = registrationOver(current ? std::optional(current->row) : std::nullopt, next);
    begin(std::move(next), current ? current->version : 0, true);
}

bool own_row::write(member_row row)
{
    if (!m_isRegistered || m_pending)
        return false;
    begin(std::move(row), m_latest.version, false);
    return true;
}

void own_row::begin(member_row row, row_version expected, bool isRegistration)
{
    store_transaction transaction;
    row.operationId = m_context.newOperationId();
    transaction.operationId = row.operationId;
    transaction.writes = { { memberKey(m_identity.instance), expected, toJsonText(row) } };
    m_pending = pending_write { std::move(row), isRegistration };
    m_delay.reset();
    m_context.resolving.commit(std::move(transaction), m_context.storeDeadline(),
        [this, alive = std::weak_ptr(m_alive)](const result<commit_receipt>& receipt) {
            if (!alive.expired() && m_pending)
                onCommitted(receipt);
        });
}

void own_row::onCommitted(const result<commit_receipt>& receipt)
{
    if (receipt.has_value())
        return completeWrite({ receipt.value().rows.front().version, m_pending->row }, true);
    // The write can no longer take effect, but other nodes may have written the row, so its current state is read.
    readBack();
}

void own_row::readBack()
{
    m_context.store.read(memberKey(m_identity.instance), m_context.storeDeadline(),
        [this, alive = std::weak_ptr(m_alive)](const result<std::optional<stored_row>>& row) {
            if (!alive.expired() && m_pending)
                onReadBack(row);
        });
}

void own_row::onReadBack(const result<std::optional<stored_row>>& read)
{
    if (read.has_error())
        return retryLater(&own_row::readBack);
    if (!read.value())
        return completeWrite({}, false);
    auto parsed = parseMemberRow(read.value()->value);
    if (parsed.has_error())
        return retryLater(&own_row::readBack);
    const bool isApplied = parsed.value().operationId == m_pending->row.operationId;
    completeWrite({ read.value()->version, std::move(parsed).value() }, isApplied);
}

void own_row::completeWrite(const versioned_member& row, bool isApplied)
{
    const bool isRegistration = m_pending->isRegistration;
    m_pending.reset();
    m_delay.reset();
    m_retryAt.reset();
    if (isRegistration && !isApplied)
        return retryLater(&own_row::scan);
    const auto self = m_latest.row.self;
    m_latest = row;
    if (isRegistration) {
        m_isRegistered = true;
        m_hooks.onRegistered(m_latest);
    } else if (row.row.self != self) {
        m_isRegistered = false;
        return m_hooks.onLost(lease_end::superseded);
    } else {
        m_hooks.onWritten(m_latest, isApplied);
    }
    m_context.replica.add({ { memberKey(m_identity.instance), m_latest.version, toJsonText(m_latest.row) } });
    if (m_isRegistered && isFencedState(m_latest.row.state)) {
        m_isRegistered = false;
        m_hooks.onLost(lease_end::fenced);
    }
}

void own_row::onRowUpdate(const versioned_member& seen)
{
    if (!m_isRegistered || m_pending || seen.version <= m_latest.version)
        return;
    const auto self = m_latest.row.self;
    m_latest = seen;
    const bool isSuperseded = seen.row.self != self;
    if (!isSuperseded && !isFencedState(seen.row.state))
        return;
    m_isRegistered = false;
    m_hooks.onLost(isSuperseded ? lease_end::superseded : lease_end::fenced);
}

void own_row::retryLater(void (own_row::*next)())
{
    m_retry = next;
    m_retryAt = m_context.now() + m_delay.next(m_context.jitter());
}

void own_row::tick(time_point now)
{
    if (!m_retryAt || now < *m_retryAt)
        return;
    m_retryAt.reset();
    (this->*m_retry)();
}

} // namespace heatherdrift
