#pragma once

#include <cstddef>

namespace heatherdrift {

/// Memory of the smallest instance that a node runs on.
constexpr std::size_t instanceMemoryBytes = 256u << 20;
/// Largest table that is received. Its text, the document parsed from it and the decoded rows are in memory together
/// and take up to ten times its size.
constexpr std::size_t maxTableBytes = instanceMemoryBytes / 16;

} // namespace heatherdrift
