#pragma once

#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/range_codec.h"
#include "store/watched_store.h"

#include <map>
#include <set>

namespace heatherdrift {

/// Copies of the range maps of other services. A map is fetched from a node of the service when a response names a
/// newer version, so that no call to the store is needed.
class range_replicas {
public:
    range_replicas(const mesh_settings&, mesh_directory&);

    /// Null if there is no copy yet; a fetch is started then.
    const range_map* find(const std::string& service, time_point now);
    /// Null if there is no copy yet; nothing is fetched.
    const versioned_ranges* known(const std::string& service) const;
    /// Fetches the map again because no owner in the copy is reachable. Successive calls ask the nodes in turn.
    void refresh(const std::string& service, time_point now);
    /// Fetches the map from this node of the service if the given version is newer than the copy.
    void handleVersion(const std::string& service, const instance_id& node, row_version);

    static constexpr const char* target = "/heatherdrift/ranges";

private:
    void fetchFrom(const std::string& service, const instance_id& node);

    mesh_directory& m_directory;
    std::map<std::string, versioned_ranges> m_maps;
    std::map<std::string, time_point> m_mayRefreshAt;
    /// Starts at a different index on each node; otherwise all nodes of a new system would ask the same one at once.
    std::size_t m_nextNode;
    std::set<std::string> m_fetching; ///< Services whose map is being fetched.
};

} // namespace heatherdrift
