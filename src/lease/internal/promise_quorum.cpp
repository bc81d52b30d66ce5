#include "lease/promise_quorum.h"

#include "lease/succession.h"
#include "lease/witness_selection.h"

#include <algorithm>

namespace heatherdrift {

void promise_quorum::collectFor(const instance_ref& holder, const std::vector<instance_ref>& witnesses)
{
    if (holder == m_holder && witnesses == m_witnesses)
        return;
    m_holder = holder;
    m_witnesses = witnesses;
    m_ends.clear();
}

void promise_quorum::add(const instance_ref& witness, time_point end)
{
    if (std::find(m_witnesses.begin(), m_witnesses.end(), witness) == m_witnesses.end())
        return;
    // A witness does not grant after its promise, so of two answers the earlier end is valid, too.
    const auto [position, isNew] = m_ends.try_emplace(witness, end);
    if (!isNew)
        position->second = std::min(position->second, end);
}

std::vector<instance_ref> promise_quorum::missing() const
{
    std::vector<instance_ref> absent;
    std::copy_if(m_witnesses.begin(), m_witnesses.end(), std::back_inserter(absent),
        [this](const instance_ref& witness) { return !has(witness); });
    return absent;
}

// The majority whose grants end first is sufficient: the remaining witnesses are no majority for the holder.
std::optional<time_point> promise_quorum::releaseTime() const
{
    const auto majority = majorityOf(m_witnesses.size());
    if (majority == 0 || m_ends.size() < majority)
        return std::nullopt;
    std::vector<time_point> ends;
    for (const auto& [witness, end] : m_ends)
        ends.push_back(end);
    std::sort(ends.begin(), ends.end());
    return ends[majority - 1];
}

void termination_record::update(const member_row& row, time_point now)
{
    m_addresses.try_emplace(row.self, row.control);
    const auto [position, isNew] = m_newest.try_emplace(row.self.id, seen_row { row, now });
    if (!isNew && row.self.number > position->second.row.self.number)
        position->second = { row, now };
}

const member_row* termination_record::find(const instance_id& id) const
{
    const auto found = m_newest.find(id);
    return found == m_newest.end() ? nullptr : &found->second.row;
}

std::optional<time_point> termination_record::terminatedSince(const instance_ref& process) const
{
    const auto newest = m_newest.find(process.id);
    if (newest == m_newest.end())
        return std::nullopt;
    const auto address = m_addresses.find(process);
    const auto knownAddress = address == m_addresses.end() ? std::nullopt : std::optional(address->second);
    if (!provesTermination(newest->second.row, process, knownAddress))
        return std::nullopt;
    return newest->second.since;
}

} // namespace heatherdrift
