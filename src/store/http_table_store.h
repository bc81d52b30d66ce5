#pragma once

#include "base/identifiers.h"
#include "store/table_store.h"

#include <event2/event.h>
#include <memory>
#include <vector>

namespace heatherdrift {

struct http_table_store_settings {
    std::vector<endpoint> servers; ///< At least one; all serve the same tables.
    int connectionsPerServer = 8;
    std::size_t scanPartRows = 200; ///< Rows asked for in one request of a scan.
    std::size_t transactionBytes = 1 << 20; ///< Larger transactions fail with `too_large`, not_run.
    std::size_t answerBytes = 16 << 20; ///< Larger answers count as lost.
};

/// Adapter of the port to a table service with the HTTP API of docs/table-service.md. Besides the failures of the port,
/// commit() fails with `bad_request`, not_run, if a text is not UTF-8. Destroying the adapter drops the calls in
/// progress without calling back.
std::unique_ptr<table_store> makeHttpTableStore(event_base*, const http_table_store_settings&);

} // namespace heatherdrift
