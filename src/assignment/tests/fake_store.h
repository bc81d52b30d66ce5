#pragma once

#include "assignment/page_edit.h"
#include "pool_fixture.h"

namespace heatherdrift::test {

/// Table store with compare-and-set that checks every write against the invariants of partition assignment.
struct fake_store {
    pool_configuration pool;
    std::vector<std::string> keys;
    member_map members;
    partition_map pages;
    std::string violation; ///< First violated invariant; empty if there is none.

    row_version lastVersion = 0;
    std::vector<page_row> rows; ///< A row is encoded as its index in this list.
    std::map<std::string, epoch> keyEpochs;

    store_transaction encode(const page_edit& edit)
    {
        const auto text = [this](const page_row& row) {
            rows.push_back(row);
            return std::to_string(rows.size() - 1);
        };
        return toTransaction(edit,
            { [](const auto& id) {
                 return row_key { "members", id };
             },
                [](const auto&, auto page) {
                    return row_key { "pages", std::to_string(page) };
                },
                text });
    }

    result<std::vector<versioned_page>> commit(const store_transaction& transaction, const instance_ref& writer)
    {
        for (const auto& check : transaction.checks) {
            if (members[check.key.key].version != check.version)
                return notRun(error_code::conflict, check.key.key);
        }
        std::vector<versioned_page> written;
        for (const auto& write : transaction.writes) {
            written.push_back({ lastVersion + 1, rows[std::stoul(write.value)] });
            const auto current = pages.page(pool.name, written.back().row.number);
            if ((current ? current->version : 0) != write.expected)
                return notRun(error_code::conflict, write.key.key);
        }
        ++lastVersion;
        for (const auto& page : written)
            checkRow(page.row, writer);
        pages = pages.with(written);
        checkKeys();
        return written;
    }

    void reportViolation(const std::string& text) { violation = violation.empty() ? text : violation; }

    bool isActive(const instance_ref& instance) const
    {
        const auto found = members.find(instance.id);
        return found != members.end() && found->second.row.self == instance && canBeSuccessor(found->second.row);
    }

    void checkRow(const page_row& next, const instance_ref& writer)
    {
        const auto current = pages.page(next.pool, next.number);
        for (std::size_t i = 0; i < next.entries.size(); ++i) {
            const bool isOld = current && i < current->row.entries.size();
            checkEntry(isOld ? current->row.entries[i] : page_entry(), next.entries[i], writer);
        }
    }

    void checkEntry(const page_entry& old, const page_entry& next, const instance_ref& writer)
    {
        if (old == next)
            return;
        if (next.number <= old.number)
            reportViolation("an epoch did not increase");
        if (!next.owner.id.empty() && !isActive(next.owner))
            reportViolation("assigned to an instance that is not eligible");
        if (old.owner != writer && statusOf(old.owner, members) == owner_status::may_hold_lease)
            reportViolation("taken from an instance that may hold a lease");
        if (!old.owner.id.empty() && next.previousOwner != old.owner)
            reportViolation("the previous owner was not recorded");
    }

    void checkKeys()
    {
        for (const auto& key : keys) {
            const auto entry = pages.find(pool, key);
            if (entry && entry->number < keyEpochs[key])
                reportViolation("the epoch of a key decreased");
            keyEpochs[key] = entry ? std::max(keyEpochs[key], entry->number) : keyEpochs[key];
        }
    }
};

} // namespace heatherdrift::test
