#pragma once

#include "base/failure.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heatherdrift {

/// Numeric key of a partitioned service.
using key_number = std::uint32_t;
constexpr key_number lastKey = 65535;

/// Inclusive range of keys.
struct key_range {
    key_number first = 0;
    key_number last = 0;

    bool contains(key_number key) const { return first <= key && key <= last; }
    bool intersects(const key_range& other) const { return first <= other.last && other.first <= last; }
    bool covers(const key_range& other) const { return first <= other.first && other.last <= last; }
    std::uint32_t size() const { return last - first + 1; }
    auto operator<=>(const key_range&) const = default;
};

/// Identifies an incarnation of a backend server, i.e. one run from its start to its end. A restart is a new
/// incarnation, even under the same id.
using life_name = std::string;
life_name makeLife(const std::string& id, std::int64_t startedAtMs);
/// Start of an incarnation in milliseconds since 1970; 0 if the name does not contain it.
std::int64_t startOf(const life_name&);
/// Stands among the earlier owners of keys for an incarnation that may hold them although no map names it, because the
/// store has lost its newest maps.
inline const life_name unknownHolder = "unknown-holder";
/// Never decreases over the history of a key; backend servers reject a grant with a lower token than one seen before.
using fencing_token = std::int64_t;
constexpr fencing_token maxFence = std::int64_t { 1 } << 62; ///< Leaves room for higher tokens.

/// Range of keys with the same owner.
struct owned_range {
    key_range keys;
    life_name owner; ///< Empty: no owner.
    fencing_token fence = 0;
    std::vector<life_name> releasing; ///< Earlier owners that may still hold the keys.
    std::string handover; ///< From the last holder's release; lets the new owner start with the holder's state.
    /// Milliseconds without contact after which an earlier owner no longer holds the keys; 0: not decided.
    std::int64_t silenceMs = 0;

    bool mayHaveUnknownHolder() const;
    bool operator==(const owned_range&) const = default;

    // Modifications of all keys of the range, described at the functions of range_map. Each returns whether the range
    // has changed.
    bool assignTo(const life_name& newOwner, fencing_token, std::int64_t minSilenceMs);
    bool releaseFrom(const life_name&, const std::string& newHandover);
    bool releaseFromAll();
    bool replaceLife(const life_name& ended, const life_name& successor, fencing_token);
    bool succeedLife(const life_name& earlier, const life_name& successor, fencing_token);
};

/// Owners of all keys of a service, as ordered ranges without gaps. Immutable: modifications return a new map. Copies
/// share their ranges and belong to one thread.
class range_map {
public:
    /// The planner splits no ranges of a map with this many, so that the map fits into a row of the store.
    static constexpr std::size_t maxRanges = 500;

    /// Map without owners.
    range_map();

    const std::vector<owned_range>& ranges() const { return m_content->ranges; }
    const owned_range& find(key_number) const;
    bool hasOwner(const life_name&) const;
    /// All owners of keys; contains an empty name if keys have none.
    const std::set<life_name>& owners() const;
    /// Whether the incarnation owns keys or may still hold some.
    bool names(const life_name&) const;
    /// Whether any key has an owner.
    bool hasOwners() const;
    /// Number of keys owned by the incarnation.
    std::uint32_t keyCount(const life_name&) const;

    /// Assigns the keys to an owner. They can be granted only after the earlier owners have released them.
    range_map assign(key_range, const life_name& owner, fencing_token, std::int64_t silenceMs = 0) const;
    /// Records that the incarnation no longer holds any of the keys.
    range_map release(const life_name&, key_range, const std::string& handover) const;
    /// Assigns the keys of an ended incarnation, which holds nothing, to the successor; if that is empty, they have no
    /// owner.
    range_map replace(const life_name& ended, const life_name& successor, fencing_token) const;

    /// Records for all keys that an unknown incarnation may hold them for the given time, and raises their tokens to at
    /// least the given one. The owners stay.
    range_map withUnknownHolder(fencing_token minFence, std::int64_t silenceMs) const;
    /// Records that no earlier owner holds any of the keys.
    range_map releaseAll(key_range) const;

    /// Merges adjacent ranges of the same owner that no earlier owner may hold, with the higher token.
    range_map mergeSettled() const;

    /// Sets the silence of moves for which none was decided, so that the move completes even if the earlier owner fails
    /// before it has released the keys.
    range_map withSilence(std::int64_t silenceMs) const;

    /// Ranges with the state in this map of all keys whose state differs in the other one, in order.
    std::vector<owned_range> changesFrom(const range_map& base) const;
    /// Replaces the state of all keys in the given ranges, which are in order and do not overlap.
    range_map withChanges(const std::vector<owned_range>&) const;

    /// Current and earlier owners of the ranges that differ from an earlier map.
    std::set<life_name> affectedOwners(const range_map& before) const;

    std::string toJson() const;
    static result<range_map> fromJson(std::string_view);

    bool operator==(const range_map& other) const { return m_content == other.m_content || ranges() == other.ranges(); }

private:
    friend class range_edit;

    struct content {
        std::vector<owned_range> ranges;
        /// Derived from the ranges when they are first needed.
        mutable std::optional<std::set<life_name>> owners;
        mutable std::optional<std::set<life_name>> named;
    };

    explicit range_map(std::vector<owned_range>);

    std::shared_ptr<const content> m_content;
};

/// Text of the ranges, which may leave keys out.
std::string rangesToJson(const std::vector<owned_range>&);
/// Fails unless the ranges are in order and do not overlap.
result<std::vector<owned_range>> rangesFromJson(std::string_view);

} // namespace heatherdrift
