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
    /// Applies rows that are newer than the current ones. Rows of one transaction must be passed together. Rows that
    /// cannot be parsed are logged and skipped.
    void apply(const std::vector<stored_row>&);

    const member_map& members() const { return m_members; }
    const versioned_member* findMember(const instance_id&) const;
    const partition_map& partitions() const { return m_partitions; }
    /// Null until the first valid configuration arrives.
    const configuration_ptr& current() const { return m_configuration; }
    /// Increases with each change.
    std::uint64_t revision() const { return m_revision; }

    /// The pool that the member's labels select; null if there is none or the member is not in the view.
    const pool_configuration* poolOf(const member_row&) const;
    /// Whether the configuration drains the member with the label `drain`.
    bool isDrainedByLabel(const member_row&) const;
    /// All member rows, ordered by instance id.
    const std::vector<member_row>& memberRows() const;
    std::vector<pool_member> eligible(const pool_configuration&, const ramp_function&) const;

private:
    void applyMember(const stored_row&);
    void applyConfiguration(const stored_row&);
    void updatePlacement(const member_row&);

    /// Pool and drain state that follow from a member's labels. Cached, because they are needed for every member
    /// several times a second.
    struct label_placement {
        const pool_configuration* pool = nullptr;
        bool isDrained = false;
    };

    member_map m_members;
    std::map<instance_id, label_placement> m_placements;
    mutable std::vector<member_row> m_rows;
    mutable std::uint64_t m_rowsRevision = 0;
    partition_map m_partitions;
    configuration_ptr m_configuration;
    std::uint64_t m_revision = 0;
};

} // namespace heatherdrift
