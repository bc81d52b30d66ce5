#pragma once

#include "base/failure.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heatherdrift {

/// Numeric key of a partitioned service.
using key_number = std::uint32_t;
constexpr key_number lastKey = 65535;

/// Keys from first to last, both included.
struct key_range {
    key_number first = 0;
    key_number last = 0;

    bool contains(key_number key) const { return first <= key && key <= last; }
    bool intersects(const key_range& other) const { return first <= other.last && other.first <= last; }
    bool covers(const key_range& other) const { return first <= other.first && other.last <= last; }
    std::uint32_t size() const { return last - first + 1; }
    auto operator<=>(const key_range&) const = default;
};

/// One run of a backend server from its start to its end. A restart is a new life, also under the same id.
using life_name = std::string;
life_name makeLife(const std::string& id, std::int64_t startedAtMs);
/// Start of a life in milliseconds since 1970; 0 if the name does not tell.
std::int64_t startOf(const life_name&);
/// Only grows over the history of a key; the backend server refuses a grant below one it has seen.
using fencing_token = std::int64_t;

/// Keys with one owner.
struct owned_range {
    key_range keys;
    life_name owner; ///< Empty: nobody.
    fencing_token fence = 0;
    std::vector<life_name> releasing; ///< Earlier owners that may still hold the keys.
    std::string handover; ///< From the last holder's release; lets the owner start with the holder's state.
    /// Milliseconds after which an earlier owner that is silent holds the keys no more; 0 if that was not decided.
    std::int64_t silenceMs = 0;

    bool operator==(const owned_range&) const = default;
};

/// Owners of all keys of a service: ranges in order without gaps. An immutable value; edits return a new one.
class range_map {
public:
    /// Plans split no range of a map with so many, so that it fits into a row of the store.
    static constexpr std::size_t mostRanges = 500;

    /// Without owners.
    range_map();

    const std::vector<owned_range>& ranges() const { return m_ranges; }
    const owned_range& find(key_number) const;
    bool hasOwner(const life_name&) const;
    /// Whether the life owns keys or may still hold some.
    bool names(const life_name&) const;
    /// Whether any key has an owner.
    bool hasOwners() const;
    /// Number of keys that the life owns.
    std::uint32_t keyCount(const life_name&) const;

    /// Gives the keys to an owner. Earlier owners have to release them first.
    range_map assign(key_range, const life_name& owner, fencing_token, std::int64_t silenceMs = 0) const;
    /// The life holds none of the keys any more.
    range_map release(const life_name&, key_range, const std::string& handover) const;
    /// The life has ended, so that it holds nothing; its keys go to the successor. An empty one leaves them unowned.
    range_map replace(const life_name& ended, const life_name& successor, fencing_token) const;

    /// Neighbouring ranges of one owner that nobody else holds become one, with the higher token.
    range_map mergeSettled() const;

    /// Moves for which no silence was decided get this one, so that an owner lost in the middle of a move is outwaited.
    range_map withSilence(std::int64_t silenceMs) const;

    /// Present and earlier owners of the ranges that differ from those of an earlier map.
    std::set<life_name> livesOfChanges(const range_map& before) const;

    std::string toJson() const;
    static result<range_map> fromJson(std::string_view);

    bool operator==(const range_map&) const = default;

private:
    explicit range_map(std::vector<owned_range>);

    std::vector<owned_range> m_ranges;
};

} // namespace heatherdrift
