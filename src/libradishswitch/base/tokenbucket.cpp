#include "base/tokenbucket.h"

#include <algorithm>
#include <cmath>

namespace RadishSwitch
{

namespace
{

constexpr double kMicrosecondsPerSecond = 1e6;
// Sums of fractions are slightly too low because of rounding. A cost is taken when the level is short of it by no more
// than this.
constexpr double kCostToleranceSeconds = 1e-6;

}

TokenBucket::TokenBucket(double rate, double burst, Instant now)
    : m_rate(rate)
    , m_burst(burst)
    , m_level(burst)
    , m_updatedAt(now)
{
}

Duration TokenBucket::waitFor(double cost, Instant now) const
{
    const double missing = std::min(cost, m_burst) - levelAt(now);
    if (missing <= kCostToleranceSeconds) {
        return Duration::zero();
    }
    if (m_rate <= 0) {
        return Duration::max();
    }
    return Duration(static_cast<Duration::rep>(std::ceil(missing / m_rate * kMicrosecondsPerSecond)));
}

void TokenBucket::take(double cost, Instant now)
{
    m_level = levelAt(now) - cost;
    m_updatedAt = now;
}

void TokenBucket::refund(double amount, Instant now)
{
    m_level = std::min(m_burst, levelAt(now) + amount);
    m_updatedAt = now;
}

void TokenBucket::setRate(double rate, double burst, Instant now)
{
    m_level = std::min(burst, levelAt(now));
    m_rate = rate;
    m_burst = burst;
    m_updatedAt = now;
}

double TokenBucket::levelAt(Instant now) const
{
    const double passed = static_cast<double>((now - m_updatedAt).count()) / kMicrosecondsPerSecond;
    return std::min(m_burst, m_level + m_rate * std::max(0.0, passed));
}

}
