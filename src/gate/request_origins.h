#pragma once

#include <map>
#include <string>

namespace heatherdrift {

/// Tracks which services call each route, to detect nested requests, i.e. those made while handling another request.
///
/// Callers and the backend server of an instance send from the same address, so the address does not identify the
/// sender. Callers run on the instances of all services, whereas nested requests to a route come from the instances of
/// the one service that makes them. A route called almost only from one service therefore counts as nested, provided
/// that another route is called from several; without such a route there is no evidence and no request counts as
/// nested.
class request_origins {
public:
    void record(const std::string& route, const std::string& callerService);
    bool isNested(const std::string& route) const;

private:
    struct origins {
        double total = 0;
        std::map<std::string, double> countByService;

        double largestShare() const;
    };

    std::map<std::string, origins> m_routes;
};

} // namespace heatherdrift
