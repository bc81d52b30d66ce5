#include "gate/evacuation_gate.h"

namespace heatherdrift {

void evacuation_gate::begin(time_point keysUntil)
{
    m_unknownUntil = time_point::min();
    m_keysUntil = keysUntil;
}

void evacuation_gate::end()
{
    m_unknownUntil = time_point::min();
    m_keysUntil.reset();
}

bool evacuation_gate::refuses(bool hasKey, time_point now) const
{
    if (now < m_unknownUntil)
        return true;
    return m_keysUntil && (!hasKey || now >= *m_keysUntil);
}

} // namespace heatherdrift
