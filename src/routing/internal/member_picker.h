#pragma once

#include "admission/load_view.h"
#include "routing/entry_router.h"

#include <map>
#include <memory>

namespace heatherdrift {

/// Selects pool members for calls without key ownership, by the load and failures that this node has observed.
class member_picker {
public:
    member_picker(instance_id self, clock_function, std::uint64_t seed);

    member_selection_hooks hooks();
    /// Adds serving members to the load view of their pool and removes the others.
    void setSnapshot(const routing_snapshot&);

private:
    struct pool_view {
        std::unique_ptr<load_view> view;
        std::map<instance_id, instance_ref> members;
    };

    std::optional<instance_ref> pick(const std::string& pool, const instance_id& avoid);
    void onCallEnded(const instance_ref&, const call_observation&);
    void update(pool_view&, const std::map<instance_id, const member_route*>& serving);
    pool_view* viewOf(const instance_ref&);

    instance_id m_self;
    clock_function m_now;
    random_function m_random;
    std::string m_zone;
    std::map<std::string, pool_view> m_pools;
};

} // namespace heatherdrift
