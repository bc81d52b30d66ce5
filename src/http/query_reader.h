#pragma once

#include "base/failure.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace heatherdrift {

/// Path of a request target, without the query.
std::string_view pathOf(std::string_view target);

/// Reads the query parameters of one request and remembers the first error ("query.pool: ..."). A parameter that was
/// not asked for is an error at finish().
class query_reader {
public:
    explicit query_reader(std::string_view target);

    std::string readText(const std::string& name);
    std::optional<std::string> readOptionalText(const std::string& name);
    std::optional<std::int64_t> readOptionalInteger(const std::string& name, std::int64_t least);

    /// Fails with bad_request.
    result<void> finish();

private:
    void parse(std::string_view query);
    void fail(std::string message);

    std::map<std::string, std::string> m_unread;
    std::optional<failure> m_failure;
};

} // namespace heatherdrift
