#pragma once

#include "base/identifiers.h"
#include "configuration/labels.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heatherdrift {

/// How a call that must not run twice is protected.
enum class once_mode {
    none, ///< The call is idempotent.
    token, ///< A token bound to the owner's epoch.
    intent_row, ///< A row in the table service before each run.
    backend_server, ///< The backend server discards duplicates by the token.
};

/// For how long the server that runs a call must own its key.
enum class ownership_need {
    none, ///< Any backend server of the pool may run it.
    start, ///< Only when it starts.
    run, ///< Until it ends; it is cancelled when the lease ends.
};

enum class call_length { short_call, long_call };

/// How one kind of call is treated.
struct call_policy {
    once_mode once = once_mode::none;
    ownership_need ownership = ownership_need::start;
    call_length length = call_length::short_call;
    int priority = 5; ///< 0 (first to be refused) to 9.
    duration timeout = std::chrono::seconds(5); ///< For callers that give none, and the most that they may ask for.

    bool operator==(const call_policy&) const = default;
};

/// Backend servers that serve the same kind of work.
struct pool_configuration {
    std::string name;
    label_selector members; ///< Over the labels of backend servers.
    std::uint32_t partitions = 64; ///< A power of two.
    int slots = 12; ///< Concurrent calls per backend server, unless it announces its own number.
    int connections = 90; ///< Most connections to one backend server.
    double shortShare = 0.5; ///< Share of the slots that long calls may not use.
    std::uint32_t maximumBodyBytes = 1u << 20; ///< Largest request body.

    bool operator==(const pool_configuration&) const = default;
};

/// Says which requests go to which pool and how they are treated. The first match in the list counts.
struct request_selector {
    std::string name;
    label_selector requests;
    std::string pool;
    call_policy policy;

    bool operator==(const request_selector&) const = default;
};

/// What operators control. Versions only grow.
struct configuration {
    std::int64_t version = 0;
    std::vector<pool_configuration> pools;
    std::vector<request_selector> selectors;
    /// Labels that operators give to instances; they count before announced ones. The label "drain" = "true" drains.
    std::map<instance_id, label_set> instanceLabels;

    const pool_configuration* findPool(std::string_view name) const;
    const request_selector* findSelector(const label_set& requestLabels) const;
    /// Announced labels with the operators' labels over them.
    label_set labelsOf(const instance_id&, const label_set& announced) const;
    /// First pool whose selector matches the labels, or null.
    const pool_configuration* poolFor(const label_set& instanceLabels) const;

    bool operator==(const configuration&) const = default;
};

using configuration_ptr = std::shared_ptr<const configuration>;

/// Parses and checks a configuration without its version. Fails with invalid_configuration and the field's path.
result<configuration> parseConfiguration(const json&);
/// Inverse of parseConfiguration().
json toJson(const configuration&);

} // namespace heatherdrift
