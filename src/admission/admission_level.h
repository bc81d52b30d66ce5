#pragma once

#include "configuration/configuration.h"

#include <cstddef>

namespace heatherdrift {

constexpr int priorityCount = 10;
constexpr std::size_t levelCount = 2 * priorityCount;

/// Class and priority of a call.
struct admission_level {
    call_length length = call_length::short_call;
    int priority = 5; ///< 0 (refused first) to 9.

    /// 0 to levelCount - 1; grows with the priority within a class.
    std::size_t index() const
    {
        return static_cast<std::size_t>((length == call_length::long_call ? priorityCount : 0) + priority);
    }
    bool operator==(const admission_level&) const = default;
};

} // namespace heatherdrift
