#include "assignment/page_edit.h"

#include "assignment/internal/entry_change.h"

#include <set>

namespace heatherdrift {

namespace {

    using entry_check = std::function<result<void>(const page_entry&)>;

    failure conflict(std::string message) { return notRun(error_code::conflict, std::move(message)); }

    bool isUnusedSlot(const page_row& row, partition_index partition)
    {
        const auto position = partition - row.firstPartition();
        return row.number == hotPageNumber && (position >= row.hotKeys.size() || row.hotKeys[position].empty());
    }

    result<page_entry*> findUsedEntry(page_row& row, partition_index partition)
    {
        auto* entry = findEntry(row, partition);
        if (!entry || isUnusedSlot(row, partition))
            return notRun(error_code::bad_request, "partition " + std::to_string(partition) + " is not in the page");
        return entry;
    }

    page_edit startEdit(const versioned_page& page, std::string operationId)
    {
        page_edit edit { std::move(operationId), { page }, {} };
        edit.pages.front().row.operationId = edit.operationId;
        return edit;
    }

    result<page_edit> assign(const versioned_page& page, const std::vector<entry_assignment>& assignments,
        const member_map& members, std::string operationId, const entry_check& mayChange)
    {
        auto edit = startEdit(page, std::move(operationId));
        auto& row = edit.pages.front().row;
        std::set<partition_index> seen;
        for (const auto& assignment : assignments) {
            BOOST_OUTCOME_TRY(entry, findUsedEntry(row, assignment.partition));
            if (!seen.insert(assignment.partition).second)
                return notRun(error_code::bad_request, "a partition is assigned twice");
            BOOST_OUTCOME_TRY(mayChange(*entry));
            BOOST_OUTCOME_TRY(member, successorRow(members, assignment.successor));
            changeOwner(*entry, member->row.self);
            edit.memberVersions[assignment.successor] = member->version;
        }
        if (assignments.empty() || edit.memberVersions.size() > maximumSuccessors)
            return notRun(error_code::bad_request, "the edit has no assignments or too many successors");
        return edit;
    }

    entry_check isOwnedBy(const instance_ref& self)
    {
        return [self](const page_entry& entry) -> result<void> {
            if (entry.owner != self)
                return conflict("the partition is owned by " + toString(entry.owner));
            return outcome::success();
        };
    }

} // namespace

result<const versioned_member*> successorRow(const member_map& members, const instance_id& id)
{
    const auto found = members.find(id);
    if (found == members.end())
        return conflict("the membership row of " + id + " is unknown");
    if (!canBeSuccessor(found->second.row))
        return conflict(id + " is not eligible to own partitions");
    return &found->second;
}

void changeOwner(page_entry& entry, const instance_ref& owner, epoch minEpoch)
{
    if (!entry.owner.id.empty())
        entry.previousOwner = entry.owner;
    entry.owner = owner;
    entry.number = std::max(entry.number + 1, minEpoch);
}

page_entry* findEntry(page_row& row, partition_index partition)
{
    const bool isInPage = pageOf(partition) == row.number && partition - row.firstPartition() < row.entries.size();
    return isInPage ? &row.entries[partition - row.firstPartition()] : nullptr;
}

store_transaction toTransaction(const page_edit& edit, const row_codec& codec)
{
    store_transaction transaction;
    transaction.operationId = edit.operationId;
    for (const auto& [id, version] : edit.memberVersions)
        transaction.checks.push_back({ codec.memberKey(id), version });
    for (const auto& page : edit.pages)
        transaction.writes.push_back(
            { codec.pageKey(page.row.pool, page.row.number), page.version, codec.pageText(page.row) });
    return transaction;
}

// While the row still has the replaced version, a delayed transaction may still take effect. Once the row has a later
// version it cannot, and the entries show whether it did: epochs only increase, and each epoch of an entry is written
// only once.
edit_outcome outcomeOf(const page_edit& edit, const versioned_page& readBack)
{
    const auto& written = edit.pages.front();
    if (readBack.version <= written.version)
        return edit_outcome::undecided;
    if (readBack.row.operationId == edit.operationId)
        return edit_outcome::applied;
    for (std::size_t i = 0; i < written.row.entries.size(); ++i) {
        const auto& wanted = written.row.entries[i];
        if (i >= readBack.row.entries.size())
            return edit_outcome::not_applied;
        const auto& found = readBack.row.entries[i];
        if (found.number < wanted.number || (found.number == wanted.number && found.owner != wanted.owner))
            return edit_outcome::not_applied;
    }
    return edit_outcome::applied;
}

versioned_page absentPage(const pool_configuration& pool, std::uint32_t page)
{
    versioned_page absent;
    absent.row.pool = pool.name;
    absent.row.number = page;
    absent.row.entries.resize(pageSize(pool.partitions, page));
    return absent;
}

result<page_edit> assignOrphans(const versioned_page& page, const std::vector<entry_assignment>& assignments,
    const member_map& members, std::string operationId)
{
    const auto isOrphan = [&members](const page_entry& entry) -> result<void> {
        if (statusOf(entry.owner, members) == owner_status::may_hold_lease)
            return conflict(toString(entry.owner) + " may hold a lease");
        return outcome::success();
    };
    return assign(page, assignments, members, std::move(operationId), isOrphan);
}

result<page_edit> handOver(const versioned_page& page, const instance_ref& self,
    const std::vector<entry_assignment>& assignments, const member_map& members, std::string operationId)
{
    for (const auto& assignment : assignments) {
        if (assignment.successor == self.id)
            return notRun(error_code::bad_request, "the partition is already owned by " + self.id);
    }
    return assign(page, assignments, members, std::move(operationId), isOwnedBy(self));
}

} // namespace heatherdrift
