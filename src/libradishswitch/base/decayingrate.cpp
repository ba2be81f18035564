#include "base/decayingrate.h"

#include <cmath>

namespace RadishSwitch
{

namespace
{

double secondsOf(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

}

void DecayingRate::note(double amount, Instant now, Duration averagingTime)
{
    m_perSecond = decayed(now, averagingTime) + amount / secondsOf(averagingTime);
    m_notedAt = now;
}

double DecayingRate::perSecond(Instant now, Duration span, Duration averagingTime) const
{
    const double weight = 1 - std::exp(-secondsOf(span) / secondsOf(averagingTime));
    return decayed(now, averagingTime) / weight;
}

double DecayingRate::decayed(Instant now, Duration averagingTime) const
{
    return m_perSecond * std::exp(-secondsOf(now - m_notedAt) / secondsOf(averagingTime));
}

}
