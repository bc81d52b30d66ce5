#include "control/internal/takeover_driver.h"

#include "base/hash.h"
#include "control/internal/wire_convert.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr duration readPagesRetry = std::chrono::milliseconds(200);

    commit_status statusOf(const result<commit_receipt>& receipt)
    {
        if (receipt.has_value())
            return commit_status::applied;
        if (receipt.error().outcome == verdict::may_have_run)
            return commit_status::unknown;
        return receipt.error().code == error_code::conflict ? commit_status::conflict : commit_status::not_sent;
    }

} // namespace

takeover_driver::takeover_driver(control_context& context, page_writer& pages, witness& own, instance_ref self)
    : m_context(context)
    , m_pages(pages)
    , m_witness(own)
    , m_self(std::move(self))
    , m_alive(std::make_shared<char>())
{
}

void takeover_driver::tick(time_point now)
{
    for (const auto& call : m_witness.takeoversDue(now)) {
        if (!m_running.contains(call.holder))
            begin(call, now);
    }
    std::vector<instance_ref> due;
    std::vector<instance_ref> reassigned;
    std::vector<instance_ref> unread;
    for (auto& [holder, running] : m_running) {
        if (running.readPagesAt && now >= *running.readPagesAt)
            unread.push_back(holder);
        if (running.timer && now >= *running.timer)
            due.push_back(holder);
        if (running.isReassigning && !hasPartitions(holder))
            reassigned.push_back(holder);
    }
    for (const auto& holder : due) {
        m_running.at(holder).timer.reset();
        handle(holder, timer_due {});
    }
    for (const auto& holder : unread) {
        m_running.at(holder).readPagesAt.reset();
        on(holder, reassign_pages { holder });
    }
    for (const auto& holder : reassigned)
        handle(holder, pages_reassigned {});
    for (const auto& holder : std::exchange(m_ended, {}))
        m_running.erase(holder);
}

void takeover_driver::begin(const due_takeover& call, time_point)
{
    takeover_start start;
    start.self = m_self;
    start.holder = call.holder;
    start.isResumed = call.isResumed;
    start.operationPrefix = m_context.newOperationId() + "-" + std::to_string(++m_count);
    start.seed = hashBytes(start.operationPrefix);
    auto& running = m_running[call.holder];
    running.machine = std::make_unique<takeover>(start, m_context.lease);
    if (!call.isResumed)
        logEvent(log_event::takeover_started, { { "holder", toString(call.holder) } });
    perform(call.holder, running.machine->start());
}

void takeover_driver::handle(const instance_ref& holder, const takeover_input& input)
{
    const auto found = m_running.find(holder);
    if (found != m_running.end())
        perform(holder, found->second.machine->handle(input, m_context.now()));
}

void takeover_driver::perform(const instance_ref& holder, const std::vector<takeover_action>& actions)
{
    for (const auto& action : actions)
        std::visit([&](const auto& value) { on(holder, value); }, action);
}

void takeover_driver::on(const instance_ref& holder, const read_row& action)
{
    m_context.store.read(memberKey(action.id), m_context.storeDeadline(),
        [this, holder, id = action.id, alive = std::weak_ptr(m_alive)](const result<std::optional<stored_row>>& read) {
            if (alive.expired())
                return;
            if (read.has_error())
                return handle(holder, read_failed { id });
            if (!read.value())
                return handle(holder, row_read { id, std::nullopt });
            m_context.replica.add({ *read.value() });
            const auto row = parseMemberRow(read.value()->value);
            if (row.has_error())
                return handle(holder, read_failed { id });
            handle(holder, row_read { id, versioned_member { read.value()->version, row.value() } });
        });
}

void takeover_driver::on(const instance_ref& holder, const commit_row& action)
{
    store_transaction transaction;
    transaction.operationId = action.operationId;
    transaction.checks = action.checks;
    auto row = action.row;
    row.operationId = action.operationId;
    transaction.writes = { { memberKey(row.self.id), action.expected, toJsonText(row) } };
    m_context.store.commit(std::move(transaction), m_context.storeDeadline(),
        [this, holder, operationId = action.operationId, alive = std::weak_ptr(m_alive)](
            const result<commit_receipt>& receipt) {
            if (alive.expired())
                return;
            commit_done done { operationId, statusOf(receipt), 0 };
            if (receipt.has_value()) {
                done.version = receipt.value().rows.front().version;
                m_context.replica.add(receipt.value().rows);
            }
            handle(holder, done);
        });
}

void takeover_driver::on(const instance_ref& holder, const promise_request& action)
{
    if (action.witness.id != m_self.id)
        return m_context.send(action.witness, toMessage(action));
    std::visit([&](const auto& answer) { handle(holder, answer); }, m_witness.answer(action, m_context.now()));
}

void takeover_driver::on(const instance_ref& holder, const silence_inquiry& action)
{
    if (action.witness.id != m_self.id)
        return m_context.send(action.witness, toMessage(action));
    handle(holder, m_witness.answer(action, m_context.now()));
}

void takeover_driver::on(const instance_ref& holder, const start_timer& action)
{
    m_running.at(holder).timer = action.at;
}

void takeover_driver::on(const instance_ref& holder, const reassign_pages&)
{
    // The replica may lack a page that was written shortly before the holder was lost.
    m_pages.readAll([this, holder, alive = std::weak_ptr(m_alive)](bool isComplete) {
        if (alive.expired() || !m_running.contains(holder))
            return;
        if (isComplete)
            m_running.at(holder).isReassigning = true;
        else
            m_running.at(holder).readPagesAt = m_context.now() + readPagesRetry;
    });
}

void takeover_driver::on(const instance_ref& holder, const report_blocked& action)
{
    std::string missing;
    for (const auto& absent : action.missing)
        missing.append(missing.empty() ? "" : ",").append(toString(absent));
    logEvent(log_event::takeover_blocked, { { "holder", toString(holder) }, { "missing", missing } });
}

void takeover_driver::on(const instance_ref& holder, const finished& action)
{
    if (action.outcome == takeover_outcome::completed) {
        logEvent(log_event::takeover_finished, { { "holder", toString(holder) } });
        m_witness.onTakeoverFinished(holder);
    }
    m_running.at(holder).timer.reset();
    m_running.at(holder).isReassigning = false;
    m_ended.push_back(holder);
}

bool takeover_driver::hasPartitions(const instance_ref& holder) const
{
    if (!m_context.view.current())
        return false;
    for (const auto& pool : m_context.view.current()->pools) {
        if (!m_context.view.partitions().ownedBy(pool.name, holder).empty())
            return true;
    }
    return false;
}

bool takeover_driver::isReassigning(const instance_ref& holder) const
{
    const auto found = m_running.find(holder);
    return found != m_running.end() && found->second.isReassigning;
}

bool takeover_driver::onMessage(const wire::Message& message)
{
    if (message.__isset.promise) {
        const auto promise = fromWire(message.promise);
        handle(promise.holder, promise);
    } else if (message.__isset.promiseRefusal) {
        const auto refusal = fromWire(message.promiseRefusal);
        handle(refusal.holder, refusal);
    } else if (message.__isset.silenceReport) {
        const auto report = fromWire(message.silenceReport);
        handle(report.holder, report);
    } else {
        return false;
    }
    return true;
}

void takeover_driver::onMember(const versioned_member& member)
{
    std::vector<instance_ref> holders;
    for (const auto& [holder, running] : m_running)
        holders.push_back(holder);
    for (const auto& holder : holders)
        handle(holder, member_updated { member });
}

void takeover_driver::onHeartbeat(const instance_ref& holder) { handle(holder, renewal_received {}); }

void takeover_driver::declareLost(const instance_ref& holder)
{
    if (!m_running.contains(holder))
        begin({ holder, false }, m_context.now());
    handle(holder, declared_lost {});
}

} // namespace heatherdrift
