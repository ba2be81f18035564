#include "logsampler.h"

#include "base/namehash.h"

namespace RadishSwitch
{

bool LogSampler::keeps(const RequestId &call, Instant now)
{
    if (now - m_second >= std::chrono::seconds(1)) {
        m_second = now;
        m_lines = 0;
    }
    ++m_lines;
    return m_lines <= kLinesPerSecond || nameHash(call) % kKeptOneIn == 0;
}

}
