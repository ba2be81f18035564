#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// An amount per second, as an exponentially weighted moving average.
class DecayingRate
{
public:
    /// Adds an amount at time `now`.
    void note(double amount, Instant now, Duration averagingTime);

    /// The average at `now`, when amounts have been noted for the time `span` only. A `span` shorter than the averaging
    /// time is corrected for: the sum is divided by the weight that it can have reached in that time.
    double perSecond(Instant now, Duration span, Duration averagingTime) const;

private:
    double decayed(Instant now, Duration averagingTime) const;

    double m_perSecond = 0;
    Instant m_notedAt{};
};

}
