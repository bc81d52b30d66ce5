#pragma once

#include "ranges/range_map.h"

#include <map>

namespace heatherdrift {

/// Several modifications of a range map that yield one new map. A modification of a range_map copies all its ranges, so
/// that hundreds of them would take a node of a tenth of a core a second.
class range_edit {
public:
    explicit range_edit(const range_map&);

    /// As the functions of range_map with these names.
    void assign(key_range, const life_name& owner, fencing_token, std::int64_t silenceMs = 0);
    void release(const life_name&, key_range, const std::string& handover);
    void releaseAll(key_range);
    void replace(const life_name& ended, const life_name& successor, fencing_token);
    /// Assigns the keys of an earlier incarnation of a backend server to its successor. It stays listed where keys are
    /// on their way from it to others.
    void succeed(const life_name& earlier, const life_name& successor, fencing_token);

    /// The map with all modifications so far; the one that the edit began with if there was none.
    range_map finish() const;

private:
    using iterator = std::map<key_number, owned_range>::iterator;

    /// Splits ranges at the ends of the keys. Returns the first and the end of the ranges inside.
    std::pair<iterator, iterator> split(key_range);
    void splitBefore(key_number);
    void copyRanges();

    range_map m_base;
    bool m_isModified = false;
    std::map<key_number, owned_range> m_ranges; ///< By their first keys; empty before the first modification.
};

} // namespace heatherdrift
