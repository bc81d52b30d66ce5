#include "control/internal/page_writer.h"

#include "store/member_row.h"

namespace heatherdrift {

const row_codec& pageCodec()
{
    static const row_codec codec { &memberKey, &pageKey, [](const page_row& row) { return toJsonText(row); } };
    return codec;
}

page_writer::page_writer(control_context& context)
    : m_context(context)
    , m_alive(std::make_shared<char>())
{
}

bool page_writer::isBusy(const std::string& pool, std::uint32_t page) const { return m_busy.contains({ pool, page }); }

void page_writer::commit(const page_edit& edit, std::function<void(bool)> done)
{
    for (const auto& page : edit.pages)
        m_busy.insert({ page.row.pool, page.row.number });
    m_context.store.commit(toTransaction(edit, pageCodec()), m_context.storeDeadline(),
        [this, edit, done = std::move(done), alive = std::weak_ptr(m_alive)](const result<commit_receipt>& receipt) {
            if (alive.expired())
                return;
            if (receipt.has_error())
                return readBack(edit, done);
            release(edit);
            m_context.replica.add(receipt.value().rows);
            done(true);
        });
}

void page_writer::readBack(const page_edit& edit, std::function<void(bool)> done)
{
    const auto& first = edit.pages.front().row;
    m_context.store.read(pageKey(first.pool, first.number), m_context.storeDeadline(),
        [this, edit, done = std::move(done), alive = std::weak_ptr(m_alive)](
            const result<std::optional<stored_row>>& read) {
            if (alive.expired())
                return;
            release(edit);
            if (read.has_error() || !read.value())
                return done(false);
            m_context.replica.add({ *read.value() });
            const auto row = parsePageRow(read.value()->value);
            const bool isApplied
                = row.has_value() && outcomeOf(edit, { read.value()->version, row.value() }) == edit_outcome::applied;
            done(isApplied);
        });
}

void page_writer::release(const page_edit& edit)
{
    for (const auto& page : edit.pages)
        m_busy.erase({ page.row.pool, page.row.number });
}

void page_writer::readAll(std::function<void(bool)> done)
{
    m_context.store.scan(pageTable, m_context.storeDeadline(),
        [this, done = std::move(done), alive = std::weak_ptr(m_alive)](const result<std::vector<stored_row>>& rows) {
            if (alive.expired())
                return;
            if (rows.has_value())
                m_context.replica.add(rows.value());
            done(rows.has_value());
        });
}

} // namespace heatherdrift
