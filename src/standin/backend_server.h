#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/identifiers.h"

#include <event2/event.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace heatherdrift {

struct backend_server_settings {
    endpoint listen { "127.0.0.1", 0 };
    endpoint control { "127.0.0.1", 0 }; ///< Serves /faults and /journal, also while the server is frozen or down.
    std::optional<endpoint> announceTo; ///< Admin address of the process beside it.
    std::map<std::string, std::string> labels;
    int slots = 12;
    std::size_t queueBound = 100; ///< Waiting requests; more are refused.
    duration connectionCost = std::chrono::milliseconds(1); ///< Of the first answer on each connection.
    duration serviceTime = std::chrono::milliseconds(5);
    std::map<std::string, duration> serviceTimeByKind; ///< By the request's label "kind".
    bool checksGrants = false;
    duration coldStart {}; ///< Service times are coldFactor times as long in the first time after a start.
    double coldFactor = 3;
    std::string
        crashWord; ///< A request whose header standin-crash has this value crashes the server; empty: none does.
    std::function<void()> onCrash; ///< Ends the process.
    clock_function now = &boot_clock::now; ///< For deadlines, grants, cold start and lagging reports.
};

/// Stand-in of a backend server; docs/standin.md describes its requests and faults.
class backend_server {
public:
    virtual ~backend_server() = default;

    static result<std::unique_ptr<backend_server>> start(event_base*, const backend_server_settings&);

    virtual endpoint address() const = 0;
    virtual endpoint controlAddress() const = 0;
};

} // namespace heatherdrift
