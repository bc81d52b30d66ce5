#include "admission/slow_start.h"

#include "admission/seconds.h"

namespace heatherdrift {

slow_start::slow_start(time_point startedAt, const slow_start_settings& settings)
    : m_initialShare(settings.initialShare)
    , m_startedAt(startedAt)
    , m_warmAt(startedAt + settings.ramp)
{
}

double slow_start::share(time_point now) const
{
    if (isWarm(now))
        return 1;
    if (now <= m_startedAt)
        return m_initialShare;
    return m_initialShare + (1 - m_initialShare) * inSeconds(now - m_startedAt) / inSeconds(m_warmAt - m_startedAt);
}

} // namespace heatherdrift
