#pragma once

#include "base/failure.h"
#include "base/identifiers.h"

#include <event2/event.h>
#include <memory>

namespace heatherdrift {

struct store_service_settings {
    endpoint listen { "127.0.0.1", 0 };
    endpoint control { "127.0.0.1", 0 }; ///< Serves /faults and /stats, also during an outage.
    double readsPerSecond = 2000; ///< Requests above are refused as not_run; 0: no limit.
    double writesPerSecond = 300; ///< Written rows; 0: no limit.
    std::uint64_t seed = 1; ///< Of the faults that affect a share of the requests.
};

/// Stand-in of a store of the platform, in memory; docs/standin.md describes its faults.
class store_service {
public:
    virtual ~store_service() = default;

    virtual endpoint address() const = 0;
    virtual endpoint controlAddress() const = 0;
};

/// The table service of docs/table-service.md.
result<std::unique_ptr<store_service>> startTableService(event_base*, const store_service_settings&);
/// The object store of docs/table-service.md.
result<std::unique_ptr<store_service>> startObjectService(event_base*, const store_service_settings&);

} // namespace heatherdrift
