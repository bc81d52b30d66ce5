#include "assignment/internal/entry_change.h"
#include "assignment/page_edit.h"
#include "base/hash.h"

#include <algorithm>

// Why a key that changes its partition never has two owners at the same time:
//  - Both pages are written by one transaction, which checks the versions of both and the caller's membership row. Only
//    the owner of the ordinary partition issues it, and afterwards the same instance owns both partitions. The owner of
//    the key is therefore the same before, during and after the transaction, also while its outcome is unknown.
//  - The ordinary page lists the key, so an instance that is assigned the ordinary partition later sees in the same row
//    that it does not own the key, even if its copy of the hot page is outdated.
//  - The list contains the epoch of the isolation, so that a copy of the hot page from an earlier isolation of the same
//    key is detected as outdated. Otherwise an instance that isolated and returned a key, received only the ordinary
//    page of its return and handed over that partition would consider itself the owner when the key is isolated again.
//  - The hot partition moves to another instance only by an edit of its owner that replaces a version of the hot page
//    that contains it, hence after the owner has received its own write.
//  - The key's epoch increases with every change, so a node that holds one outdated and one new page uses the new one.

namespace heatherdrift {

namespace {

    failure conflict(std::string message) { return notRun(error_code::conflict, std::move(message)); }

    /// The two pages changed by isolating or returning a key.
    struct page_pair {
        page_edit edit;
        page_entry* ordinary = nullptr;
        instance_ref self;

        page_row& hotRow() { return edit.pages[0].row; }
        page_row& ordinaryRow() { return edit.pages[1].row; }
    };

    result<page_pair> startEdit(const pool_configuration& pool, const versioned_page& ordinary,
        const versioned_page& hot, const instance_ref& self, const std::string& key, const member_map& members,
        std::string operationId)
    {
        const auto index = partitionOf(key, pool.partitions);
        const bool fits = ordinary.row.number == pageOf(index) && hot.row.number == hotPageNumber
            && ordinary.row.pool == pool.name && hot.row.pool == pool.name
            && ordinary.row.entries.size() == pageSize(pool.partitions, ordinary.row.number)
            && hot.row.entries.size() == hot.row.hotKeys.size();
        if (!fits || key.empty() || key.size() > maximumHotKeyBytes)
            return notRun(error_code::bad_request, "the pages do not match the key, or the key is empty or too long");
        BOOST_OUTCOME_TRY(member, successorRow(members, self.id));
        if (member->row.self != self)
            return conflict("a newer incarnation of " + self.id + " is registered");
        page_pair pair { { std::move(operationId), { hot, ordinary }, { { self.id, member->version } } }, nullptr,
            self };
        pair.hotRow().operationId = pair.edit.operationId;
        pair.ordinaryRow().operationId = pair.edit.operationId;
        pair.ordinary = findEntry(pair.ordinaryRow(), index);
        if (!pair.ordinary || pair.ordinary->owner != self)
            return conflict("the key's ordinary partition is owned by another instance");
        return pair;
    }

    /// Position of an unused slot; a slot is appended if there is none. Unused slots keep their epochs, so that the
    /// epoch of a key that reuses one does not decrease.
    std::size_t findOrAddUnusedSlot(page_row& hot)
    {
        const auto found = std::ranges::find(hot.hotKeys, std::string());
        if (found != hot.hotKeys.end())
            return static_cast<std::size_t>(found - hot.hotKeys.begin());
        hot.hotKeys.emplace_back();
        hot.entries.emplace_back();
        return hot.hotKeys.size() - 1;
    }

} // namespace

result<page_edit> isolateKey(const pool_configuration& pool, const versioned_page& ordinary, const versioned_page& hot,
    const instance_ref& self, const std::string& key, const member_map& members, std::string operationId)
{
    BOOST_OUTCOME_TRY(pair, startEdit(pool, ordinary, hot, self, key, members, std::move(operationId)));
    auto& isolated = pair.ordinaryRow().isolatedKeys;
    if (std::ranges::count(isolated, key, &isolated_key::key) != 0
        || std::ranges::count(pair.hotRow().hotKeys, key) != 0)
        return conflict("the key already has a hot partition");
    const auto slot = findOrAddUnusedSlot(pair.hotRow());
    if (slot >= maximumHotKeys)
        return conflict("all hot partitions of the pool are in use");
    pair.hotRow().hotKeys[slot] = key;
    auto& entry = pair.hotRow().entries[slot];
    changeOwner(entry, self, pair.ordinary->number + 1);
    entry.previousOwner = self;
    isolated.push_back({ key, entry.number });
    return std::move(pair.edit);
}

result<page_edit> returnKey(const pool_configuration& pool, const versioned_page& ordinary, const versioned_page& hot,
    const instance_ref& self, const std::string& key, const member_map& members, std::string operationId)
{
    BOOST_OUTCOME_TRY(pair, startEdit(pool, ordinary, hot, self, key, members, std::move(operationId)));
    auto& keys = pair.hotRow().hotKeys;
    auto& isolated = pair.ordinaryRow().isolatedKeys;
    const auto hasKey = [&key](const isolated_key& entry) { return entry.key == key; };
    const auto found = std::ranges::find(keys, key);
    if (found == keys.end() || std::erase_if(isolated, hasKey) != 1)
        return conflict("the key has no hot partition");
    auto& entry = pair.hotRow().entries[static_cast<std::size_t>(found - keys.begin())];
    if (entry.owner != self)
        return conflict("the hot partition is owned by " + toString(entry.owner));
    changeOwner(*pair.ordinary, self, entry.number + 1);
    changeOwner(entry, {});
    found->clear();
    return std::move(pair.edit);
}

} // namespace heatherdrift
