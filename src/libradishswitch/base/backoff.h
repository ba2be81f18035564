#pragma once

#include "base/randomsource.h"
#include "base/timerservice.h"

#include <algorithm>

namespace RadishSwitch
{

/// Exponential backoff with jitter. Each delay is twice the previous one up to a maximum, and is drawn at random from
/// the upper half of that span, so that many clients that failed together do not retry together.
class Backoff
{
public:
    Backoff(Duration initial, Duration maximum)
        : m_next(initial)
        , m_maximum(maximum)
    {
    }

    Duration next(RandomSource &random)
    {
        const Duration span = m_next;
        m_next = std::min(m_next * 2, m_maximum);
        const auto half = span / 2;
        return half + Duration(static_cast<Duration::rep>(static_cast<double>(half.count()) * random.fraction()));
    }

private:
    Duration m_next;
    Duration m_maximum;
};

}
