#pragma once

#include "fake_world.h"
#include "lease/row_actions.h"

#include <string>

namespace heatherdrift::lease_test {

using maybe_row = std::optional<versioned_member>;

struct fake_page {
    row_version version = 1;
    epoch number = 1;
    instance_ref owner;
};

inline instance_id idOf(unsigned index) { return "n" + std::to_string(index); }
inline unsigned indexOf(const instance_id& id) { return static_cast<unsigned>(id[1] - '0'); }

/// The store: rows of the members n0, n1, ..., and one page. Reports forbidden transitions of rows.
class fake_rows {
public:
    fake_rows(fake_world& world, unsigned count, std::function<void(const std::string&)> onViolation)
        : m_world(world)
        , m_onViolation(std::move(onViolation))
    {
        for (unsigned i = 0; i < count; ++i) {
            member_row row;
            row.self = { idOf(i), 1 };
            row.firstAtAddress = 1;
            row.state = member_state::active;
            row.availabilityZone = std::string(1, static_cast<char>('a' + i % 3));
            row.control = { "10.0.0.1", static_cast<std::uint16_t>(i + 1) };
            members.push_back({ 1, row });
        }
    }

    std::vector<versioned_member> members;
    fake_page page;
    unsigned marks = 0; ///< Number of writes that set a row to fencing.
    std::function<void(const versioned_member&)> onWrite;

    /// Calls `done` without a row if there was no answer.
    void read(unsigned from, unsigned row, std::function<void(const maybe_row&)> done)
    {
        const auto seen = std::make_shared<versioned_member>();
        const auto finish = [seen, done = std::move(done)](
                                reply outcome) { done(outcome == reply::answered ? maybe_row(*seen) : std::nullopt); };
        m_world.callStore(
            from, [this, row, seen] { *seen = members[row]; }, finish);
    }

    void commit(unsigned from, const commit_row& write, std::function<void(const commit_done&)> done)
    {
        const auto version = std::make_shared<row_version>(0);
        const auto finish = [id = write.operationId, version, done = std::move(done)](reply outcome) {
            const auto answered = *version != 0 ? commit_status::applied : commit_status::conflict;
            const auto failed = outcome == reply::not_sent ? commit_status::not_sent : commit_status::unknown;
            done({ id, outcome == reply::answered ? answered : failed, *version });
        };
        m_world.callStore(
            from, [this, write, version] { *version = apply(write); }, finish);
    }

    /// Assigns the page to the successor if neither has changed since it was read; returns whether that took effect.
    bool writePage(const fake_page& seen, const versioned_member& successor)
    {
        const auto& row = members[indexOf(successor.row.self.id)];
        if (page.version != seen.version || row.version != successor.version || row.row.state != member_state::active)
            return false;
        if (seen.number != page.number)
            m_onViolation("an epoch went back");
        page = { seen.version + 1, seen.number + 1, row.row.self };
        return true;
    }

private:
    row_version apply(const commit_row& write)
    {
        auto& row = members[indexOf(write.row.self.id)];
        const bool isMet = std::all_of(write.checks.begin(), write.checks.end(),
            [this](const version_check& check) { return members[indexOf(check.key.key)].version == check.version; });
        if (!isMet || row.version != write.expected)
            return 0;
        checkTransition(row.row, write.row);
        marks += write.row.state == member_state::fencing;
        row = { row.version + 1, write.row };
        onWrite(row);
        return row.version;
    }

    void checkTransition(const member_row& from, const member_row& to)
    {
        const bool isFrozen = from.state == member_state::fencing || from.state == member_state::fenced;
        if (to.self.number < from.self.number)
            m_onViolation("an incarnation went back");
        if (isFrozen && to.self == from.self && (to.state < from.state || to.witnesses != from.witnesses))
            m_onViolation("a frozen row changed");
    }

    fake_world& m_world;
    std::function<void(const std::string&)> m_onViolation;
};

} // namespace heatherdrift::lease_test
