#pragma once

#include "base/json_reader.h"
#include "standin/internal/backend_request.h"

#include <deque>

namespace heatherdrift {

enum class execution_end { completed, cancelled, crashed };

/// What the server has run. The oldest executions are dropped when there are too many.
class execution_journal {
public:
    /// Returns the execution's number.
    std::uint64_t begin(const backend_request&, time_point now);
    void end(std::uint64_t number, execution_end, time_point now);

    /// Executions with a number above `after`, of the token if one is given.
    json list(std::uint64_t after, const std::optional<std::string>& token) const;

private:
    struct execution {
        std::uint64_t number;
        std::string id;
        std::string key;
        std::string token;
        epoch epochNumber;
        time_point start;
        std::optional<time_point> end;
        execution_end how;
    };

    static json toJson(const execution&);

    std::uint64_t m_lastNumber = 0;
    std::deque<execution> m_executions;
};

} // namespace heatherdrift
