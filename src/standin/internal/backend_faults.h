#pragma once

#include "base/json_reader.h"

#include <optional>
#include <string>

namespace heatherdrift {

/// What GET /load and GET /health report.
struct backend_report {
    int running = 0;
    int queued = 0;
    bool isDraining = false;

    bool operator==(const backend_report&) const = default;
};

enum class health_report { honest, ok, failing };

struct backend_faults {
    bool isFrozen = false; ///< Answers nothing, keeps its connections.
    bool isDraining = false; ///< Refuses new work.
    duration slow {}; ///< Added to each service time.
    duration down {}; ///< Closes everything for this time, at once.
    std::optional<std::string> crashWord; ///< Replaces the setting.
    duration crashDown {}; ///< A crash closes everything for this time; 0: it ends the process.
    health_report health = health_report::honest;
    duration reportLag {}; ///< Age of what /health and /load report.
    std::optional<backend_report> load; ///< Reported instead of the truth.
};

constexpr duration maximumReportLag = std::chrono::minutes(5);

/// Parses the body of PUT /faults. Fails with bad_request.
result<backend_faults> parseBackendFaults(std::string_view);

} // namespace heatherdrift
