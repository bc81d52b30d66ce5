#include "mesh/internal/range_codec.h"

#include "mesh/internal/text_delta.h"
#include "store/table_limits.h"

#include <algorithm>
#include <charconv>

namespace heatherdrift {

namespace {

    constexpr char headEnd = '\n'; ///< After the version, or the version and that of the base.
    constexpr char baseSeparator = ' '; ///< Between the version and that of the base.
    /// Covers the changes in several intervals between the confirmations of an owner.
    constexpr std::size_t maxVersions = 16;
    /// Bounds the memory for answers to nodes that name versions which this node does not know.
    constexpr std::size_t maxEncoded = 32;

    std::optional<row_version> readVersion(std::string_view& text)
    {
        row_version version = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
        if (error != std::errc() || version < 1)
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        return version;
    }

    bool skip(std::string_view& text, char expected)
    {
        if (!text.starts_with(expected))
            return false;
        text.remove_prefix(1);
        return true;
    }

} // namespace

std::string encodeRanges(const versioned_ranges& ranges)
{
    return encodeDelta(std::to_string(ranges.version) + headEnd + ranges.map.toJson(), "");
}

std::string encodeRangeChanges(const versioned_ranges& ranges, const versioned_ranges& base)
{
    return encodeDelta(std::to_string(ranges.version) + baseSeparator + std::to_string(base.version) + headEnd
            + rangesToJson(ranges.map.changesFrom(base.map)),
        "");
}

result<versioned_ranges> decodeRanges(std::string_view data, const versioned_ranges& base)
{
    BOOST_OUTCOME_TRY(text, decodeDelta(data, "", maxTableBytes));
    std::string_view rest = text;
    const auto version = readVersion(rest);
    if (!version)
        return notRun(error_code::bad_request, "range map without a version");
    std::optional<row_version> statedBase;
    if (skip(rest, baseSeparator)) {
        statedBase = readVersion(rest);
        if (!statedBase)
            return notRun(error_code::bad_request, "changes of a range map without the version of their base");
    }
    if (!skip(rest, headEnd))
        return notRun(error_code::bad_request, "range map without a version");
    if (*version <= base.version)
        return versioned_ranges { *version, *version == base.version ? base.map : range_map() };
    if (!statedBase) {
        BOOST_OUTCOME_TRY(map, range_map::fromJson(rest));
        return versioned_ranges { *version, std::move(map) };
    }
    if (*statedBase != base.version)
        return notRun(error_code::conflict, "changes of a range map from another version");
    BOOST_OUTCOME_TRY(changes, rangesFromJson(rest));
    return versioned_ranges { *version, base.map.withChanges(changes) };
}

void range_history::add(versioned_ranges ranges)
{
    m_encoded.clear();
    m_versions.push_back(std::move(ranges));
    if (m_versions.size() > maxVersions)
        m_versions.pop_front();
}

const std::string& range_history::encode(row_version base)
{
    static const versioned_ranges none;
    const auto& newest = m_versions.empty() ? none : m_versions.back();
    const auto known = std::ranges::find(m_versions, base, &versioned_ranges::version);
    const bool hasChanges = known != m_versions.end() && base < newest.version;
    if (m_encoded.size() > maxEncoded)
        m_encoded.clear();
    const auto [entry, isNew] = m_encoded.try_emplace(hasChanges ? base : 0);
    if (isNew)
        entry->second = hasChanges ? encodeRangeChanges(newest, *known) : encodeRanges(newest);
    return entry->second;
}

row_version range_history::statedBase(std::optional<std::string_view> header)
{
    std::string_view text = header.value_or("");
    const auto version = readVersion(text);
    return version && text.empty() ? *version : 0;
}

} // namespace heatherdrift
