#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// An amount a second, averaged over a time in which the past fades.
class DecayingRate
{
public:
    void note(double amount, Instant now, Duration averagingTime);

    /// The average at `now` of what was noted within `span` before it; a shorter span than the averaging time is set
    /// against the weight that it can have gathered.
    double perSecond(Instant now, Duration span, Duration averagingTime) const;

private:
    double decayed(Instant now, Duration averagingTime) const;

    double m_perSecond = 0;
    Instant m_notedAt{};
};

}
