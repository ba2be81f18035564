#include "logsampler.h"

#include "base/namehash.h"

#include <utility>

namespace RadishSwitch
{

bool LogSampler::shouldLog(const RequestId &call, Instant now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_lines = 0;
    }
    ++m_lines;
    const bool isKept = m_lines <= kLinesPerSecond || nameHash(call) % kSampleOneIn == 0;
    m_dropped += isKept ? 0 : 1;
    return isKept;
}

int LogSampler::takeDroppedCount()
{
    return std::exchange(m_dropped, 0);
}

}
