#include "gate/slot_reservation.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    std::size_t indexOf(int height) { return static_cast<std::size_t>(std::clamp(height, 0, maxCallHeight)); }

} // namespace

void slot_reservation::onStarted(int height) { ++m_running[indexOf(height)]; }

void slot_reservation::onEnded(int height) { --m_running[indexOf(height)]; }

int slot_reservation::levelOf(int height) const
{
    return m_isEnabled ? std::clamp(height, 0, std::min(maxCallHeight, m_slots - 1)) : 0;
}

int slot_reservation::runningFrom(int level) const
{
    int count = 0;
    for (int height = 0; height <= maxCallHeight; ++height)
        count += levelOf(height) >= level ? m_running[indexOf(height)] : 0;
    return count;
}

bool slot_reservation::mayStart(int height) const
{
    for (int level = 0; level <= levelOf(height); ++level) {
        if (runningFrom(level) >= slotsFor(level))
            return false;
    }
    return true;
}

} // namespace heatherdrift
