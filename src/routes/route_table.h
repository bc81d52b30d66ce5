#pragma once

#include "routes/route_configuration.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace heatherdrift {

/// Finds the route of a request and the service that takes it.
class route_table {
public:
    /// Takes a configuration that is newer than the one in force; false if it is not.
    bool apply(route_configuration);

    std::uint64_t version() const { return m_configuration.version; }
    const route_configuration& configuration() const { return m_configuration; }
    /// Route of the host with the longest prefix that begins the path; null if there is none. Valid until apply().
    const route* find(std::string_view host, std::string_view path) const;
    const service_definition* service(const std::string& name) const;
    /// Next service of the route, so that each gets its share over any run of requests.
    const std::string& pickService(const route&);

private:
    struct split_state {
        std::vector<service_share> services;
        std::vector<double> credits;
    };

    route_configuration m_configuration;
    std::unordered_map<std::string, std::vector<const route*>> m_byHost; ///< Longest prefix first.
    std::unordered_map<std::string, const service_definition*> m_services;
    std::unordered_map<std::string, split_state> m_splits;
};

} // namespace heatherdrift
