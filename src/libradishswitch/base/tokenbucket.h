#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// A rate with a burst: fills by `rate` a second up to `burst`.
///
/// A cost above the burst may be taken from a full bucket, which is then in debt; else it could never be taken at all.
class TokenBucket
{
public:
    TokenBucket() = default;
    /// Begins full.
    TokenBucket(double rate, double burst, Instant now);

    /// How long until `cost` can be taken; zero when it can be now.
    Duration waitFor(double cost, Instant now) const;

    void take(double cost, Instant now);
    void refund(double amount, Instant now);

    /// Changes rate and burst. What is in the bucket stays, up to the new burst: changing a rate hands nothing out.
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
    Instant m_at{};
};

}
