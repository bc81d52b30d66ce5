#pragma once

#include "base/json_reader.h"
#include "http/http_message.h"

namespace heatherdrift {

inline http_response jsonTextResponse(int status, std::string text)
{
    return { { status, { { "Content-Type", "application/json" } } }, std::move(text) };
}

inline http_response jsonResponse(int status, const json& document)
{
    return jsonTextResponse(status, document.dump(-1, ' ', false, json::error_handler_t::replace));
}

/// Refusal of a request that has had no effect and will have none.
inline http_response refusal(int status, const std::string& reason)
{
    auto response = jsonResponse(status, { { "error", reason } });
    response.head.headers.add("heatherdrift-verdict", std::string(toString(verdict::not_run)));
    return response;
}

} // namespace heatherdrift
