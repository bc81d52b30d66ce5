#pragma once

#include "base/identifiers.h"

#include <memory>
#include <vector>

namespace heatherdrift {

using instance_index = std::uint32_t;

/// Append-only list of the instance references that pages refer to by index. Index 0 is the empty reference.
class instance_table {
public:
    instance_table();

    const instance_ref& at(instance_index index) const { return m_refs[index]; }
    /// Null for index 0.
    const instance_ref* find(instance_index index) const { return index == 0 ? nullptr : &m_refs[index]; }
    /// Index of the reference, or 0 if it is not in the table.
    instance_index indexOf(const instance_ref&) const;
    instance_index append(const instance_ref&);

    /// References that no page uses any more stay in the table until the views are rebuilt with a new table.
    bool needsCompaction() const { return m_refs.size() > m_compactionThreshold; }
    void updateCompactionThreshold() { m_compactionThreshold = 2 * m_refs.size() + 1024; }
    std::size_t memoryBytes() const;

private:
    struct hash_entry {
        std::uint64_t hash;
        instance_index index;
    };

    std::vector<instance_ref> m_refs;
    std::vector<hash_entry> m_byHash;
    std::size_t m_compactionThreshold = 1024;
};

/// Adds references to a table; the table is copied when the first new reference is added.
class instance_interner {
public:
    explicit instance_interner(std::shared_ptr<const instance_table> table)
        : m_table(std::move(table))
    {
    }

    instance_index intern(const instance_ref&);
    std::shared_ptr<const instance_table> table() const { return m_table; }

private:
    std::shared_ptr<const instance_table> m_table;
    std::shared_ptr<instance_table> m_copy;
};

} // namespace heatherdrift
