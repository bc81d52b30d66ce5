#pragma once

#include "assignment/partition_map.h"
#include "assignment/pool_member.h"
#include "configuration/configuration.h"
#include "store/member_row.h"
#include "store/table_store.h"

#include <string>
#include <vector>

namespace heatherdrift {

/// The replicated rows in their parsed form.
class cluster_view {
public:
    /// Takes rows that are newer than those known. Rows of one transaction must come together. Rows that cannot be
    /// parsed are logged and left out.
    void apply(const std::vector<stored_row>&);

    const member_map& members() const { return m_members; }
    const versioned_member* findMember(const instance_id&) const;
    const partition_map& partitions() const { return m_partitions; }
    /// Null until a configuration was accepted.
    const configuration_ptr& current() const { return m_configuration; }
    /// Grows with each change.
    std::uint64_t revision() const { return m_revision; }

    /// The pool that the labels of a known member choose, or null.
    const pool_configuration* poolOf(const member_row&) const;
    /// Whether an operator drains a known member by its label.
    bool isDrainedByLabel(const member_row&) const;
    /// All rows, in the order of their ids.
    const std::vector<member_row>& memberRows() const;
    std::vector<pool_member> eligible(const pool_configuration&, const ramp_function&) const;

private:
    void applyMember(const stored_row&);
    void applyConfiguration(const stored_row&);
    void place(const member_row&);

    /// What the labels of a member lead to. Kept, because labels are matched for every member several times a second.
    struct placement_by_labels {
        const pool_configuration* pool = nullptr;
        bool isDrained = false;
    };

    member_map m_members;
    std::map<instance_id, placement_by_labels> m_placements;
    mutable std::vector<member_row> m_rows;
    mutable std::uint64_t m_rowsRevision = 0;
    partition_map m_partitions;
    configuration_ptr m_configuration;
    std::uint64_t m_revision = 0;
};

} // namespace heatherdrift
