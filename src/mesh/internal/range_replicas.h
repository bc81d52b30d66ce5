#pragma once

#include "mesh/internal/mesh_directory.h"
#include "ranges/range_map.h"
#include "store/watched_store.h"

#include <map>
#include <set>

namespace heatherdrift {

/// Range map with its version, as nodes send it to each other.
struct versioned_ranges {
    row_version version = 0;
    range_map map;
};

std::string toJson(const versioned_ranges&);
result<versioned_ranges> parseVersionedRanges(std::string_view);

/// Range maps of other services. They are fetched from the nodes of the service when an answer names a newer version,
/// which costs no call to the store.
class range_replicas {
public:
    range_replicas(const mesh_settings&, mesh_directory&);

    /// Null if none is known yet; one is asked for then.
    const range_map* find(const std::string& service, time_point now);
    /// The known map names no owner that answers: a newer one is asked for, from one node after the other.
    void refresh(const std::string& service, time_point now);
    /// A node of the service knows a map of this version.
    void notice(const std::string& service, const instance_id& node, row_version);

    static constexpr const char* target = "/heatherdrift/ranges";

private:
    void fetchFrom(const std::string& service, const instance_id& node);

    mesh_directory& m_directory;
    std::map<std::string, versioned_ranges> m_known;
    std::map<std::string, time_point> m_mayRefreshAt;
    /// Starts at another one for each node, or all nodes of a new system would ask the same one at once.
    std::size_t m_nextNode;
    std::set<std::string> m_fetching; ///< Services whose map is on its way.
};

} // namespace heatherdrift
