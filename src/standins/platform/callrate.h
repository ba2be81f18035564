#pragma once

#include "base/timerservice.h"

namespace RadishSwitch
{

/// The limit of calls a second of the stand-in: a token bucket that holds half a second's worth.
class CallRate
{
public:
    /// Whether one more call is within `perSecond`; zero sets no limit.
    bool take(int perSecond, Instant now);

private:
    double m_tokens = 0;
    Instant m_filledAt{};
    bool m_isStarted = false;
};

}
