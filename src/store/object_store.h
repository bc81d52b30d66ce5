#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/identifiers.h"

#include <event2/event.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heatherdrift {

/// Port to the platform's object store: bytes by name. All functions return at once and call back on the event loop of
/// the caller, never before they return. They fail with `store_unavailable`; put() with verdict not_run or
/// may_have_run, and it may be repeated.
class object_store {
public:
    virtual ~object_store() = default;

    /// Replaces the object. Concurrent puts of one name have no defined order, see putVersion().
    virtual void put(std::string name, std::string content, time_point deadline, std::function<void(result<void>)>) = 0;
    /// Empty if there is no object of the name.
    virtual void get(std::string name, time_point deadline, std::function<void(result<std::optional<std::string>>)>)
        = 0;
};

/// 32 hexadecimal digits of XXH3-128; finds damage, not forgery.
std::string contentHash(std::string_view content);

/// Stores one immutable version of a document as the object "name/hash" and returns the hash, by which a row of the
/// table store can refer to it. Lost answers and concurrent writers are harmless, because equal names have equal
/// content.
void putVersion(object_store&, const std::string& name, std::string content, time_point deadline,
    std::function<void(result<std::string>)>);
/// Gets a version; fails with `internal` if its content does not have the hash.
void getVersion(object_store&, const std::string& name, const std::string& hash, time_point deadline,
    std::function<void(result<std::optional<std::string>>)>);

struct http_object_store_settings {
    std::vector<endpoint> servers; ///< At least one; all serve the same objects.
    int connectionsPerServer = 2;
    std::size_t objectBytes = 64 << 20; ///< Larger objects fail with `too_large`.
};

/// Adapter of the port to an object store with the HTTP API of docs/table-service.md. Destroying it drops the calls in
/// progress without calling back.
std::unique_ptr<object_store> makeHttpObjectStore(event_base*, const http_object_store_settings&);

} // namespace heatherdrift
