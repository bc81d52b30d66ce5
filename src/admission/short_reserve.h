#pragma once

namespace heatherdrift {

/// Number of slots reserved for short calls: the share of the slots, rounded, and more if the demand of short calls (in
/// slots) requires it. At least one slot is left to long calls. A share of 0 reserves nothing.
int shortReserve(int slots, double share, double shortDemand);

} // namespace heatherdrift
