#pragma once

#include "mesh/platform_port.h"

namespace heatherdrift {

/// Platform port with headers of the test.
inline platform_port makeTestPort()
{
    platform_port port;
    port.decodeRequest = [](const http_request& message) -> result<caller_request> {
        caller_request out;
        out.id = message.headers.find("id").value_or("");
        out.host = message.headers.find("Host").value_or("");
        out.path = message.target;
        if (const auto timeout = message.headers.find("timeout-ms"))
            out.timeout = std::chrono::milliseconds(std::stoi(std::string(*timeout)));
        if (const auto key = message.headers.find("key"))
            out.key = static_cast<key_number>(std::stoi(std::string(*key)));
        return out;
    };
    port.addBackendHeaders = [](http_headers& headers, const backend_call& call) {
        headers.set("only", call.backendId);
        headers.set("caller", call.callerService);
    };
    port.decodeAnswer = [](const http_response_head& head) {
        return backend_answer { std::string(head.headers.find("id").value_or("")),
            head.headers.find("not-executed").has_value(), head.headers.find("signed").has_value() };
    };
    port.decodeEvacuation = [](const row_key& row) -> std::optional<std::string> {
        const std::string prefix = "evacuate/";
        return row.key.starts_with(prefix) ? std::optional(row.key.substr(prefix.size())) : std::nullopt;
    };
    port.addRetryAfter = [](http_response_head& head, duration delay) {
        head.headers.set("retry-after-us", std::to_string(delay.count()));
    };
    return port;
}

} // namespace heatherdrift
