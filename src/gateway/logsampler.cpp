#include "logsampler.h"

#include "base/namehash.h"

#include <utility>

namespace RadishSwitch
{

bool LogSampler::keeps(const RequestId &call, Instant now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_lines = 0;
    }
    ++m_lines;
    const bool isKept = m_lines <= kLinesPerSecond || nameHash(call) % kKeptOneIn == 0;
    m_leftOut += isKept ? 0 : 1;
    return isKept;
}

int LogSampler::takeLeftOut()
{
    return std::exchange(m_leftOut, 0);
}

}
