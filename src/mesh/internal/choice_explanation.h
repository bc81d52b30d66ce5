#pragma once

#include "base/json_reader.h"
#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/range_codec.h"
#include "mesh/platform_port.h"
#include "routes/route_table.h"

#include <functional>

namespace heatherdrift {

/// A request that a caller might send to this node.
struct choice_question {
    std::string host;
    std::string path; ///< Begins with '/'.
    std::string method = "GET";
    std::optional<key_number> key {};

    bool operator==(const choice_question&) const = default;
};

/// Reads a question from the query of a request target. Fails with bad_request.
result<choice_question> parseQuestion(std::string_view target);

/// What the answer is derived from; only read.
struct choice_context {
    const mesh_settings& settings;
    const platform_port& port;
    const route_table& routes;
    const mesh_directory& directory;
    /// Range map of a service as this node holds it; empty if it holds none. Fetches nothing.
    std::function<std::optional<versioned_ranges>(const std::string& service)> map;
    /// Expected time until this node holds the newest configuration that it has heard of; empty if it holds it.
    std::function<std::optional<duration>()> configurationWait;
    time_point endsAt = time_point::max(); ///< End of the process; requests with a later deadline are refused.
};

/// Where this node would send the request now, and why. Sends nothing and changes nothing. Times are in milliseconds.
/// Fails with bad_request if the platform cannot read such a request.
result<json> explainChoice(const choice_context&, const choice_question&, time_point now);

/// Answer to a request for `explainPath`.
http_response answerQuestion(const choice_context&, const http_request&, time_point now);

constexpr const char* explainPath = "/explain";

} // namespace heatherdrift
