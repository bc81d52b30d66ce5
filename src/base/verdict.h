#pragma once

#include <optional>
#include <string_view>

namespace heatherdrift {

/// Says whether a request may have taken effect at a backend server.
enum class verdict {
    not_run, ///< Proven: no backend server started it, and none will.
    may_have_run, ///< Unknown: it may have run, be running, or run later.
    ran, ///< The backend server answered.
};

std::string_view toString(verdict);
std::optional<verdict> parseVerdict(std::string_view);

} // namespace heatherdrift
