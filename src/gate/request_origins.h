#pragma once

#include <map>
#include <string>

namespace heatherdrift {

/// Tells from where the requests of each route come, to recognise those that requests in progress make.
///
/// Pattern "callers beside every server": callers and the backend server of an instance send from the same address, so
/// that only the spread of a route shows who uses it. Callers are on the instances of all services; a nested request
/// comes from instances of the one service that makes it. Without a route that is used from several services nothing is
/// known, and no request counts as nested.
class request_origins {
public:
    void record(const std::string& route, const std::string& callerService);
    bool isNested(const std::string& route) const;

private:
    struct origins {
        double total = 0;
        std::map<std::string, double> byService;

        double largestShare() const;
    };

    std::map<std::string, origins> m_routes;
};

} // namespace heatherdrift
