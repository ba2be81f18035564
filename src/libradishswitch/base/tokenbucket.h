#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// A token bucket: it fills with `rate` tokens per second up to `burst`.
///
/// A cost above `burst` may be taken from a full bucket, whose level then becomes negative; otherwise it could never be
/// taken.
class TokenBucket
{
public:
    TokenBucket() = default;
    /// The bucket starts full.
    TokenBucket(double rate, double burst, Instant now);

    /// Time until `cost` can be taken; zero when it can be taken now.
    Duration waitFor(double cost, Instant now) const;

    void take(double cost, Instant now);
    void refund(double amount, Instant now);

    /// Changes rate and burst. The level stays as it is, up to the new burst, so that changing a rate adds no tokens.
    void setRate(double rate, double burst, Instant now);

    double rate() const
    {
        return m_rate;
    }

private:
    double levelAt(Instant now) const;

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    Instant m_updatedAt{};
};

}
