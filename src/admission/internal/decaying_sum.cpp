#include "admission/decaying_sum.h"

#include "admission/seconds.h"

#include <cmath>

namespace heatherdrift {

decaying_sum::decaying_sum(duration timeConstant)
    : m_timeConstant(timeConstant)
{
}

void decaying_sum::add(double value, time_point now)
{
    if (now < m_at) {
        m_value += value * decay(m_at - now);
        return;
    }
    m_value = this->value(now) + value;
    m_at = now;
}

double decaying_sum::value(time_point now) const
{
    if (m_value == 0 || now <= m_at)
        return m_value;
    return m_value * decay(now - m_at);
}

double decaying_sum::rate(time_point now) const { return value(now) / inSeconds(m_timeConstant); }

double decaying_sum::decay(duration age) const { return std::exp(-inSeconds(age) / inSeconds(m_timeConstant)); }

decaying_average::decaying_average(duration timeConstant)
    : m_sum(timeConstant)
    , m_weight(timeConstant)
{
}

void decaying_average::add(double value, time_point now)
{
    m_sum.add(value, now);
    m_weight.add(1, now);
}

double decaying_average::value(double prior, time_point now) const
{
    return (m_sum.value(now) + prior) / (m_weight.value(now) + 1);
}

double decaying_average::weight(time_point now) const { return m_weight.value(now); }

} // namespace heatherdrift
