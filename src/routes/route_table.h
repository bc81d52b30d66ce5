#pragma once

#include "routes/route_configuration.h"

#include <map>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace heatherdrift {

/// Finds the route of a request and selects its service.
class route_table {
public:
    /// Applies a configuration if it is newer than the current one; otherwise returns false.
    bool apply(route_configuration);

    std::uint64_t version() const { return m_configuration.version; }
    const route_configuration& configuration() const { return m_configuration; }
    /// Route of the host with the longest prefix of the path; null if there is none. Valid until apply().
    const route* find(std::string_view host, std::string_view path) const;
    const service_definition* service(const std::string& name) const;
    /// Selects the service for the next request, so that each gets its share also over short sequences of requests.
    const std::string& pickService(const route&);
    /// The service that the next request would get.
    const std::string& nextService(const route&) const;

private:
    struct split_state {
        std::vector<service_share> services;
        std::vector<double> credits;

        /// Returns the index of the service.
        std::size_t pickNext(const std::vector<service_share>& present);
    };

    route_configuration m_configuration;
    std::unordered_map<std::string, std::vector<const route*>> m_byHost; ///< Longest prefix first.
    std::unordered_map<std::string, const service_definition*> m_services;
    std::unordered_map<std::string, split_state> m_splits;
};

} // namespace heatherdrift
