#include "store/store_health.h"

namespace heatherdrift {

bool store_health::record(bool isAnswer, time_point now)
{
    if (isAnswer == m_isAvailable) {
        m_run = 0;
        return false;
    }
    if (m_run++ == 0)
        m_runStart = now;
    const int neededRun = isAnswer ? m_limits.answers : m_limits.failures;
    const auto neededTime = isAnswer ? m_limits.answerTime : m_limits.failureTime;
    if (m_run < neededRun || now - m_runStart < neededTime)
        return false;
    m_isAvailable = isAnswer;
    m_run = 0;
    return true;
}

} // namespace heatherdrift
