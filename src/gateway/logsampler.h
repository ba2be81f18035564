#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

namespace RadishSwitch
{

/// Which calls are logged, when there are too many for a line each: thousands that fail in a few seconds would take the
/// processor time that the process needs to know what is going on.
///
/// Beyond the rate chosen by the call's id alone, so that all processes keep lines of the same calls.
class LogSampler
{
public:
    /// Lines a second up to which each call is logged, and the part that is kept beyond: one in so many. A line costs
    /// some 20 microseconds; 100 of them are 2 % of a tenth of a core.
    static constexpr int kLinesPerSecond = 100;
    static constexpr std::uint64_t kSampleOneIn = 16;

    bool shouldLog(const RequestId &call, Instant now);

    /// How many were not kept since this was asked last.
    int takeDroppedCount();

private:
    Instant m_secondStart{};
    int m_lines = 0;
    int m_dropped = 0;
};

}
