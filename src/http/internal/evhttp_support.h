#pragma once

#include "base/identifiers.h"
#include "http/http_message.h"

#include <event2/http.h>
#include <optional>
#include <string_view>

struct evkeyvalq;

namespace heatherdrift {

std::optional<evhttp_cmd_type> toCommand(std::string_view method);
std::string_view toMethod(evhttp_cmd_type);
/// All methods that this project accepts.
constexpr ev_uint16_t allowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
    | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

http_headers readHeaders(const evkeyvalq*);
void writeHeaders(const http_headers&, evkeyvalq*);

/// Sends small segments at once: requests and answers are written whole, so waiting for more only adds latency.
void disableNagle(int descriptor);

/// The address that a socket is bound to.
endpoint localAddress(int descriptor);

} // namespace heatherdrift
