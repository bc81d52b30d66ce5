#include "ranges/range_map.h"

#include "base/json_reader.h"

#include <algorithm>
#include <charconv>
#include <map>

namespace heatherdrift {

namespace {

    /// Longer than any silence that nodes write; leaves room for sums with points in time.
    constexpr std::int64_t maxSilenceMs = 24 * 3600 * 1000;

    bool canMerge(const owned_range& left, const owned_range& right)
    {
        return left.owner == right.owner && left.fence == right.fence && left.releasing == right.releasing
            && left.handover == right.handover && left.silenceMs == right.silenceMs;
    }

    std::vector<owned_range> mergeIdentical(std::vector<owned_range> ranges)
    {
        std::vector<owned_range> out;
        for (auto& range : ranges) {
            if (!out.empty() && out.back().keys.last + 1 == range.keys.first && canMerge(out.back(), range))
                out.back().keys.last = range.keys.last;
            else
                out.push_back(std::move(range));
        }
        return out;
    }

    owned_range pieceOf(const owned_range& range, key_range keys)
    {
        owned_range piece = range;
        piece.keys = keys;
        return piece;
    }

    /// Splits the ranges at the ends of the given keys, so that each lies inside or outside of them.
    std::vector<owned_range> splitAt(const std::vector<owned_range>& ranges, key_range keys)
    {
        std::vector<owned_range> out;
        const auto add = [&](const owned_range& range, key_number first, key_number last) {
            out.push_back(pieceOf(range, { first, last }));
        };
        for (const auto& range : ranges) {
            if (!range.keys.intersects(keys) || keys.covers(range.keys)) {
                out.push_back(range);
                continue;
            }
            const key_number first = std::max(range.keys.first, keys.first);
            const key_number last = std::min(range.keys.last, keys.last);
            if (range.keys.first < first)
                add(range, range.keys.first, first - 1);
            add(range, first, last);
            if (last < range.keys.last)
                add(range, last + 1, range.keys.last);
        }
        return out;
    }

    void addOnce(std::vector<life_name>& names, const life_name& name)
    {
        if (!name.empty() && std::ranges::find(names, name) == names.end())
            names.push_back(name);
    }

    /// Numbers the incarnations, so that each name is written once: with hundreds of ranges, repeated names would not
    /// fit into a row of the store.
    class life_index {
    public:
        std::size_t indexOf(const life_name& life)
        {
            const auto [entry, isNew] = m_positions.try_emplace(life, m_names.size());
            if (isNew)
                m_names.push_back(life);
            return entry->second;
        }
        const std::vector<life_name>& names() const { return m_names; }

    private:
        std::map<life_name, std::size_t> m_positions;
        std::vector<life_name> m_names;
    };

    result<std::vector<life_name>> readLives(const json& document)
    {
        const auto found = document.find("lives");
        if (found == document.end() || !found->is_array())
            return notRun(error_code::bad_request, "range map without a list of lives");
        std::vector<life_name> lives;
        for (const auto& name : *found) {
            if (!name.is_string())
                return notRun(error_code::bad_request, "malformed life in a range map: not a string");
            lives.push_back(name);
        }
        return lives;
    }

    result<life_name> readLife(const json& value, const std::vector<life_name>& lives)
    {
        if (!value.is_number_unsigned() || value.get<std::size_t>() >= lives.size())
            return notRun(error_code::bad_request, "range refers to a life that is not listed");
        return lives[value.get<std::size_t>()];
    }

    bool isNumberUpTo(const json& value, std::int64_t most)
    {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= static_cast<std::uint64_t>(most);
    }

    result<owned_range> readRange(const json& value, const std::vector<life_name>& lives)
    {
        if (!value.is_array() || value.size() != 7 || !isNumberUpTo(value[0], lastKey)
            || !isNumberUpTo(value[1], lastKey) || !isNumberUpTo(value[3], maxFence) || !value[4].is_array()
            || !value[5].is_string() || !isNumberUpTo(value[6], maxSilenceMs))
            return notRun(error_code::bad_request, "malformed range in a range map");
        BOOST_OUTCOME_TRY(owner, readLife(value[2], lives));
        owned_range range { { value[0], value[1] }, owner, value[3], {}, value[5], value[6] };
        for (const auto& earlier : value[4]) {
            BOOST_OUTCOME_TRY(life, readLife(earlier, lives));
            range.releasing.push_back(life);
        }
        return range;
    }

} // namespace

life_name makeLife(const std::string& id, std::int64_t startedAtMs) { return id + "@" + std::to_string(startedAtMs); }

std::int64_t startOf(const life_name& life)
{
    const auto position = life.rfind('@');
    std::int64_t value = 0;
    if (position != life_name::npos)
        std::from_chars(life.data() + position + 1, life.data() + life.size(), value);
    return value;
}

bool owned_range::mayHaveUnknownHolder() const
{
    return std::ranges::find(releasing, unknownHolder) != releasing.end();
}

bool owned_range::assignTo(const life_name& newOwner, fencing_token newFence, std::int64_t minSilenceMs)
{
    if (owner == newOwner)
        return false;
    addOnce(releasing, owner);
    owner = newOwner;
    fence = newFence;
    silenceMs = std::max(silenceMs, minSilenceMs);
    handover.clear();
    return true;
}

bool owned_range::releaseFrom(const life_name& life, const std::string& newHandover)
{
    if (std::erase(releasing, life) == 0)
        return false;
    handover = newHandover;
    if (releasing.empty())
        silenceMs = 0;
    return true;
}

bool owned_range::releaseFromAll()
{
    const bool isChanged = !releasing.empty() || silenceMs != 0;
    releasing.clear();
    silenceMs = 0;
    return isChanged;
}

bool owned_range::replaceLife(const life_name& ended, const life_name& successor, fencing_token newFence)
{
    bool isChanged = std::erase(releasing, ended) > 0;
    if (isChanged && releasing.empty())
        silenceMs = 0;
    return succeedLife(ended, successor, newFence) || isChanged;
}

bool owned_range::succeedLife(const life_name& earlier, const life_name& successor, fencing_token newFence)
{
    if (owner != earlier)
        return false;
    owner = successor;
    fence = newFence;
    handover.clear();
    return true;
}

range_map::range_map()
    : range_map(std::vector<owned_range> { { { 0, lastKey }, {}, 0, {}, {}, 0 } })
{
}

range_map::range_map(std::vector<owned_range> ranges)
    : m_content(std::make_shared<content>(content { mergeIdentical(std::move(ranges)), {}, {} }))
{
}

const owned_range& range_map::find(key_number key) const
{
    const auto found = std::ranges::lower_bound(ranges(), key, {}, [](const auto& range) { return range.keys.last; });
    return found == ranges().end() ? ranges().back() : *found;
}

bool range_map::hasOwner(const life_name& life) const { return owners().contains(life); }

const std::set<life_name>& range_map::owners() const
{
    auto& owners = m_content->owners;
    if (!owners) {
        owners.emplace();
        for (const auto& range : ranges())
            owners->insert(range.owner);
    }
    return *owners;
}

range_map range_map::mergeSettled() const
{
    std::vector<owned_range> out;
    for (const auto& range : ranges()) {
        const bool isSettled = !range.owner.empty() && range.releasing.empty();
        if (out.empty() || !isSettled || out.back().owner != range.owner || !out.back().releasing.empty()) {
            out.push_back(range);
            continue;
        }
        // Each token is higher than those of all other owners of its keys, so the higher one is valid for both ranges.
        auto& last = out.back();
        last.keys.last = range.keys.last;
        last.fence = std::max(last.fence, range.fence);
        last.handover.clear();
    }
    return range_map(std::move(out));
}

bool range_map::names(const life_name& life) const
{
    auto& named = m_content->named;
    if (!named) {
        named = owners();
        for (const auto& range : ranges())
            named->insert(range.releasing.begin(), range.releasing.end());
    }
    return named->contains(life);
}

bool range_map::hasOwners() const
{
    return std::ranges::any_of(ranges(), [](const auto& range) { return !range.owner.empty(); });
}

std::uint32_t range_map::keyCount(const life_name& life) const
{
    std::uint32_t count = 0;
    for (const auto& range : ranges()) {
        if (range.owner == life)
            count += range.keys.size();
    }
    return count;
}

range_map range_map::assign(key_range keys, const life_name& owner, fencing_token fence, std::int64_t silenceMs) const
{
    auto ranges = splitAt(this->ranges(), keys);
    for (auto& range : ranges) {
        if (keys.covers(range.keys))
            range.assignTo(owner, fence, silenceMs);
    }
    return range_map(std::move(ranges));
}

range_map range_map::release(const life_name& life, key_range keys, const std::string& handover) const
{
    auto ranges = splitAt(this->ranges(), keys);
    for (auto& range : ranges) {
        if (keys.covers(range.keys))
            range.releaseFrom(life, handover);
    }
    return range_map(std::move(ranges));
}

range_map range_map::replace(const life_name& ended, const life_name& successor, fencing_token fence) const
{
    if (!names(ended))
        return *this;
    auto ranges = this->ranges();
    for (auto& range : ranges)
        range.replaceLife(ended, successor, fence);
    return range_map(std::move(ranges));
}

range_map range_map::withUnknownHolder(fencing_token minFence, std::int64_t silenceMs) const
{
    auto ranges = this->ranges();
    for (auto& range : ranges) {
        addOnce(range.releasing, unknownHolder);
        range.fence = std::max(range.fence, minFence);
        range.silenceMs = std::max(range.silenceMs, silenceMs);
    }
    return range_map(std::move(ranges));
}

range_map range_map::releaseAll(key_range keys) const
{
    auto ranges = splitAt(this->ranges(), keys);
    for (auto& range : ranges) {
        if (keys.covers(range.keys))
            range.releaseFromAll();
    }
    return range_map(std::move(ranges));
}

range_map range_map::withSilence(std::int64_t silenceMs) const
{
    const auto isUndecided = [](const auto& range) { return !range.releasing.empty() && range.silenceMs == 0; };
    if (std::ranges::none_of(this->ranges(), isUndecided))
        return *this;
    auto ranges = this->ranges();
    for (auto& range : ranges) {
        if (isUndecided(range))
            range.silenceMs = silenceMs;
    }
    return range_map(std::move(ranges));
}

std::set<life_name> range_map::affectedOwners(const range_map& before) const
{
    std::set<life_name> lives;
    for (const auto& range : ranges()) {
        const auto& earlier = before.find(range.keys.first);
        const bool isSame = earlier.owner == range.owner && earlier.fence == range.fence
            && earlier.releasing == range.releasing && earlier.keys.covers(range.keys);
        if (isSame)
            continue;
        lives.insert(range.owner);
        lives.insert(earlier.owner);
        lives.insert(range.releasing.begin(), range.releasing.end());
    }
    lives.erase(life_name());
    return lives;
}

std::vector<owned_range> range_map::changesFrom(const range_map& base) const
{
    std::vector<owned_range> out;
    auto earlier = base.ranges().begin();
    for (const auto& range : ranges()) {
        for (key_number first = range.keys.first; first <= range.keys.last;) {
            while (earlier->keys.last < first)
                ++earlier;
            const auto last = std::min(range.keys.last, earlier->keys.last);
            if (!canMerge(range, *earlier))
                out.push_back(pieceOf(range, { first, last }));
            first = last + 1;
        }
    }
    return mergeIdentical(std::move(out));
}

range_map range_map::withChanges(const std::vector<owned_range>& changes) const
{
    std::vector<owned_range> out;
    auto next = ranges().begin();
    key_number first = 0; // First key that is not in the result yet.
    const auto keepUntil = [&](key_number end) {
        while (first < end) {
            while (next->keys.last < first)
                ++next;
            const auto last = std::min(next->keys.last, end - 1);
            out.push_back(pieceOf(*next, { first, last }));
            first = last + 1;
        }
    };
    for (const auto& change : changes) {
        keepUntil(change.keys.first);
        out.push_back(change);
        first = change.keys.last + 1;
    }
    keepUntil(lastKey + 1);
    return range_map(std::move(out));
}

std::string range_map::toJson() const { return rangesToJson(ranges()); }

result<range_map> range_map::fromJson(std::string_view text)
{
    BOOST_OUTCOME_TRY(ranges, rangesFromJson(text));
    key_number next = 0;
    for (const auto& range : ranges) {
        if (range.keys.first != next)
            return notRun(error_code::bad_request, "ranges of a range map must have no gaps");
        next = range.keys.last + 1;
    }
    if (next != lastKey + 1)
        return notRun(error_code::bad_request, "ranges of a range map must cover all keys");
    return range_map(std::move(ranges));
}

std::string rangesToJson(const std::vector<owned_range>& ranges)
{
    // Written without a JSON document in memory, which takes several times as long.
    std::string list;
    life_index lives;
    for (const auto& range : ranges) {
        list.append(list.empty() ? "[" : ",[").append(std::to_string(range.keys.first)).append(",");
        list.append(std::to_string(range.keys.last)).append(",").append(std::to_string(lives.indexOf(range.owner)));
        list.append(",").append(std::to_string(range.fence)).append(",[");
        for (const auto& life : range.releasing) {
            list.append(list.ends_with('[') ? "" : ",");
            list.append(std::to_string(lives.indexOf(life)));
        }
        list.append("],").append(json(range.handover).dump()).append(",");
        list.append(std::to_string(range.silenceMs)).append("]");
    }
    return R"({"lives":)" + json(lives.names()).dump() + R"(,"ranges":[)" + list + "]}";
}

result<std::vector<owned_range>> rangesFromJson(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    const auto list = document.is_object() ? document.find("ranges") : document.end();
    if (!document.is_object() || list == document.end() || !list->is_array())
        return notRun(error_code::bad_request, "range map without ranges");
    BOOST_OUTCOME_TRY(lives, readLives(document));
    std::vector<owned_range> ranges;
    ranges.reserve(list->size());
    key_number next = 0;
    for (const auto& value : *list) {
        BOOST_OUTCOME_TRY(range, readRange(value, lives));
        if (range.keys.first < next || range.keys.last < range.keys.first)
            return notRun(error_code::bad_request, "ranges of a range map must be ordered");
        next = range.keys.last + 1;
        ranges.push_back(std::move(range));
    }
    return ranges;
}

} // namespace heatherdrift
