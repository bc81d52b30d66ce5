#include "ranges/range_edit.h"

#include <algorithm>

namespace heatherdrift {

range_edit::range_edit(const range_map& base)
    : m_base(base)
{
}

// Most edits turn out to have nothing to modify.
void range_edit::copyRanges()
{
    if (!m_ranges.empty())
        return;
    for (const auto& range : m_base.ranges())
        m_ranges.emplace_hint(m_ranges.end(), range.keys.first, range);
}

void range_edit::splitBefore(key_number key)
{
    if (key > lastKey)
        return;
    auto& left = std::prev(m_ranges.upper_bound(key))->second;
    if (left.keys.first == key)
        return;
    auto right = left;
    right.keys.first = key;
    left.keys.last = key - 1;
    m_ranges.emplace(key, std::move(right));
}

std::pair<range_edit::iterator, range_edit::iterator> range_edit::split(key_range keys)
{
    copyRanges();
    splitBefore(keys.first);
    splitBefore(keys.last + 1);
    return { m_ranges.lower_bound(keys.first), m_ranges.upper_bound(keys.last) };
}

void range_edit::assign(key_range keys, const life_name& owner, fencing_token fence, std::int64_t silenceMs)
{
    const auto [first, end] = split(keys);
    for (auto at = first; at != end; ++at)
        m_isModified = at->second.assignTo(owner, fence, silenceMs) || m_isModified;
}

void range_edit::release(const life_name& life, key_range keys, const std::string& handover)
{
    const auto [first, end] = split(keys);
    for (auto at = first; at != end; ++at)
        m_isModified = at->second.releaseFrom(life, handover) || m_isModified;
}

void range_edit::releaseAll(key_range keys)
{
    const auto [first, end] = split(keys);
    for (auto at = first; at != end; ++at)
        m_isModified = at->second.releaseFromAll() || m_isModified;
}

void range_edit::replace(const life_name& ended, const life_name& successor, fencing_token fence)
{
    if (!m_isModified && !m_base.names(ended))
        return;
    copyRanges();
    for (auto& [first, range] : m_ranges)
        m_isModified = range.replaceLife(ended, successor, fence) || m_isModified;
}

void range_edit::succeed(const life_name& earlier, const life_name& successor, fencing_token fence)
{
    if (!m_isModified && !m_base.hasOwner(earlier))
        return;
    copyRanges();
    for (auto& [first, range] : m_ranges)
        m_isModified = range.succeedLife(earlier, successor, fence) || m_isModified;
}

range_map range_edit::finish() const
{
    if (!m_isModified)
        return m_base;
    std::vector<owned_range> ranges;
    ranges.reserve(m_ranges.size());
    for (const auto& [first, range] : m_ranges)
        ranges.push_back(range);
    return range_map(std::move(ranges));
}

} // namespace heatherdrift
