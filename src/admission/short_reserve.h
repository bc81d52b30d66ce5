#pragma once

namespace heatherdrift {

/// Number of slots that long calls may not use: the share of the slots, rounded, and more while the demand of short
/// calls (in slots) asks for it. At least one slot is left to long calls. A share of 0 reserves nothing.
int shortReserve(int slots, double share, double shortDemand);

} // namespace heatherdrift
