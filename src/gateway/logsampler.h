#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

namespace RadishSwitch
{

/// Selects the calls to be logged when there are too many for a line each. Logging thousands of failed calls within a
/// few seconds would take processor time that the process needs for its work.
///
/// Above the rate limit the selection depends only on the id of the call, so that all processes log the same calls.
class LogSampler
{
public:
    /// Up to this many lines per second every call is logged; above that, one call in `kSampleOneIn`. A line costs
    /// about 20 microseconds, so that 100 lines are 2 % of a tenth of a core.
    static constexpr int kLinesPerSecond = 100;
    static constexpr std::uint64_t kSampleOneIn = 16;

    /// Whether to log a line for this call at this time. Each query counts as a line.
    bool shouldLog(const RequestId &call, Instant now);

    /// The number of lines that were dropped since the previous call of this method.
    int takeDroppedCount();

private:
    Instant m_secondStart{};
    int m_lines = 0;
    int m_dropped = 0;
};

}
