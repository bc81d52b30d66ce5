#include "control/internal/move_driver.h"

#include "telemetry/log_event.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr duration initialReadDelay = std::chrono::milliseconds(50);
    constexpr duration maxReadDelay = std::chrono::seconds(2);

} // namespace

move_driver::move_driver(control_context& context, page_writer& pages, instance_ref self, hooks callbacks)
    : m_context(context)
    , m_pages(pages)
    , m_self(std::move(self))
    , m_hooks(std::move(callbacks))
    , m_alive(std::make_shared<char>())
{
}

bool move_driver::isMoving(const partition_id& partition) const
{
    return std::ranges::any_of(m_moves,
        [&](const auto& move) { return std::ranges::find(move->partitions, partition) != move->partitions.end(); });
}

void move_driver::begin(const std::string& pool, std::vector<entry_assignment> assignments, time_point requestsEndBy)
{
    std::erase_if(assignments, [&](const auto& entry) { return isMoving({ pool, entry.partition }); });
    if (assignments.empty())
        return;
    std::vector<partition_id> partitions;
    for (const auto& entry : assignments)
        partitions.push_back({ pool, entry.partition });
    const auto page = pageOf(assignments.front().partition);
    auto move = std::make_shared<running_move>(running_move {
        planned_move(pool, m_self, std::move(assignments), requestsEndBy), pool, page, partitions,
        { partitions.begin(), partitions.end() }, false, std::nullopt, retry_delay(initialReadDelay, maxReadDelay) });
    m_moves.push_back(move);
    for (const auto& partition : partitions)
        m_hooks.stop(partition);
}

void move_driver::onPartitionIdle(const partition_id& partition)
{
    for (const auto& move : m_moves)
        move->busy.erase(partition);
    tick(m_context.now());
}

void move_driver::tick(time_point now)
{
    const auto moves = m_moves;
    for (const auto& move : moves) {
        if (move->readAt && now >= *move->readAt) {
            move->readAt.reset();
            readBack(move);
        }
        if (!move->isWriting && move->machine.isReady(move->busy.size(), now)
            && !m_pages.isBusy(move->pool, move->page))
            write(move);
    }
}

void move_driver::write(const std::shared_ptr<running_move>& move)
{
    const auto page = m_context.view.partitions().page(move->pool, move->page);
    if (!page)
        return;
    move->isWriting = true;
    perform(move, move->machine.onReady(*page, m_context.view.members(), m_context.newOperationId()));
}

void move_driver::perform(const std::shared_ptr<running_move>& move, const move_action& action)
{
    std::visit([&](const auto& value) { on(move, value); }, action);
}

void move_driver::on(const std::shared_ptr<running_move>& move, const commit_edit& action)
{
    m_context.store.commit(toTransaction(action.edit, pageCodec()), m_context.storeDeadline(),
        [this, move, alive = std::weak_ptr(m_alive)](const result<commit_receipt>& receipt) {
            if (alive.expired())
                return;
            if (receipt.has_value())
                m_context.replica.add(receipt.value().rows);
            perform(move, move->machine.onCommit(receipt));
        });
}

void move_driver::on(const std::shared_ptr<running_move>& move, const read_page&)
{
    move->readAt = m_context.now() + move->delay.next(m_context.jitter());
}

void move_driver::readBack(const std::shared_ptr<running_move>& move)
{
    m_context.store.read(pageKey(move->pool, move->page), m_context.storeDeadline(),
        [this, move, alive = std::weak_ptr(m_alive)](const result<std::optional<stored_row>>& read) {
            if (alive.expired())
                return;
            if (read.has_error() || !read.value()) {
                const auto reason = read.has_error() ? read.error() : notRun(error_code::not_found, "no such page");
                return perform(move, move->machine.onReadBack(reason));
            }
            m_context.replica.add({ *read.value() });
            auto row = parsePageRow(read.value()->value);
            if (row.has_error())
                return perform(move, move->machine.onReadBack(row.error()));
            perform(move, move->machine.onReadBack(versioned_page { read.value()->version, std::move(row).value() }));
        });
}

void move_driver::on(const std::shared_ptr<running_move>& move, const end_move& action)
{
    std::erase(m_moves, move);
    if (action.isApplied) {
        logEvent(log_event::partition_moved,
            { { "pool", move->pool }, { "page", std::to_string(move->page) },
                { "partitions", std::to_string(move->partitions.size()) } });
    }
    for (const auto& partition : move->partitions)
        m_hooks.resume(partition);
}

} // namespace heatherdrift
