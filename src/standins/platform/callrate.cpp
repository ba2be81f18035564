#include "callrate.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr double kBurstSeconds = 0.5;

}

bool CallRate::take(int perSecond, Instant now)
{
    if (perSecond == 0) {
        return true;
    }
    const double capacity = std::max(1.0, perSecond * kBurstSeconds);
    const double elapsed = std::chrono::duration<double>(now - m_filledAt).count();
    m_tokens = m_isStarted ? std::min(capacity, m_tokens + elapsed * perSecond) : capacity;
    m_filledAt = now;
    m_isStarted = true;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

}
