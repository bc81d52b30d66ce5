#pragma once

#include <compare>
#include <string>

namespace heatherdrift {

/// A kind of work whose calls take about the same time.
struct work_kind {
    std::string selector; ///< Name of the request selector that matched.
    std::string call; ///< For example method and route.

    auto operator<=>(const work_kind&) const = default;
};

} // namespace heatherdrift
