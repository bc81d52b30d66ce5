#pragma once

#include "http/message_body.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heatherdrift {

/// Header fields in order; names compare without case.
class http_headers {
public:
    http_headers() = default;
    http_headers(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value) { m_fields.emplace_back(std::move(name), std::move(value)); }
    /// Replaces all fields of the name.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    /// First value of the name.
    std::optional<std::string_view> find(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>>& fields() const { return m_fields; }

    bool operator==(const http_headers&) const = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct http_request {
    std::string method = "GET";
    std::string target = "/"; ///< Path and query.
    http_headers headers;
    message_body body;

    bool operator==(const http_request&) const = default;
};

struct http_response_head {
    int status = 200;
    http_headers headers;

    bool operator==(const http_response_head&) const = default;
};

struct http_response {
    http_response_head head;
    std::string body;
    std::shared_ptr<byte_share> memory {}; ///< The bytes of the body in the budget of the process, if it has one.

    bool operator==(const http_response& other) const { return head == other.head && body == other.body; }
};

/// Frees the memory of a text. Assigning an empty one keeps it allocated.
inline void freeText(std::string& text) { std::string().swap(text); }

/// Whether two header names are the same.
bool isSameHeaderName(std::string_view, std::string_view);

/// Whether a field belongs to one connection and is not passed on (RFC 9110, section 7.6.1).
bool isHopByHopHeader(std::string_view name);

} // namespace heatherdrift
