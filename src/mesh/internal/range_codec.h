#pragma once

#include "base/store_types.h"
#include "ranges/range_map.h"

#include <deque>
#include <map>

namespace heatherdrift {

/// Range map with its version, as sent between nodes.
struct versioned_ranges {
    row_version version = 0;
    range_map map;

    bool operator==(const versioned_ranges&) const = default;
};

/// Header of requests for a range map: the answer may state only the changes from this version.
constexpr const char* rangeBaseHeader = "heatherdrift-range-base";

/// The whole map.
std::string encodeRanges(const versioned_ranges&);
/// The changes from an earlier map.
std::string encodeRangeChanges(const versioned_ranges&, const versioned_ranges& base);
/// Decodes a map, or changes from the given one; fails if they are from another version. A map that is not newer than
/// the given one is not decoded: the result has its version and, if that is the same, the given map.
result<versioned_ranges> decodeRanges(std::string_view, const versioned_ranges& base = {});

/// The newest range map and some earlier ones. Most nodes that ask for the map have one of these, so that their answer
/// is small, and the same for all with the same version: with one whole map for each of a hundred owners after each
/// change, the node that confirms the map to them spent more processor time than it has.
class range_history {
public:
    /// Adds a map that is newer than the others.
    void add(versioned_ranges);
    /// The newest map as an answer to a node that has the given version. Valid until the next call of add().
    const std::string& encode(row_version base);
    /// The version that the header of a request names; 0 if it names none.
    static row_version statedBase(std::optional<std::string_view> header);

private:
    std::deque<versioned_ranges> m_versions; ///< The newest one last.
    std::map<row_version, std::string> m_encoded; ///< The newest one for each version that was asked with.
};

} // namespace heatherdrift
