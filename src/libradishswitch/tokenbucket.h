#pragma once

#include "timerservice.h"

namespace RadishSwitch
{

/// A rate with a burst: fills by `rate` a second up to `burst`.
///
/// A cost above the burst may be taken from a full bucket, which is then in debt; else it could never be taken at all.
class TokenBucket
{
public:
    TokenBucket() = default;
    TokenBucket(double rate, double burst, Instant now);

    /// How long until `cost` can be taken; zero when it can be now.
    Duration waitFor(double cost, Instant now) const;

    void take(double cost, Instant now);
    void giveBack(double amount, Instant now);

    /// Changes rate and burst, and keeps what was taken: a ceiling that is set anew does not hand out a fresh burst.
    void setRate(double rate, double burst, Instant now);

private:
    double levelAt(Instant now) const;

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    Instant m_at{};
};

}
