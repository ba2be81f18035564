#include "limits/linkqueue.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

/// For how long unused bandwidth is remembered. The system grants processor time in periods of 100 ms, so that a
/// process that has used up its share reads nothing for at most that long.
constexpr double kUnusedSeconds = 0.1;

/// Bound of a predicted time, far above any decision, for links with hardly any bandwidth.
constexpr double kLongestSeconds = 3600;

}

void LinkQueue::add(double bytes)
{
    m_bytes += bytes;
}

void LinkQueue::addPassed(double bytes)
{
    const double covered = std::min(bytes, m_unused);
    m_unused -= covered;
    m_bytes += bytes - covered;
}

void LinkQueue::remove(double bytes)
{
    m_bytes = std::max(0.0, m_bytes - bytes);
}

void LinkQueue::advance(Duration span)
{
    const double carried = m_bytesPerSecond * std::chrono::duration<double>(span).count();
    const double drained = std::min(m_bytes, carried);
    m_bytes -= drained;
    m_unused = std::min(m_unused + carried - drained, m_bytesPerSecond * kUnusedSeconds);
}

Duration LinkQueue::length() const
{
    return timeOf(m_bytes);
}

Duration LinkQueue::timeOf(double bytes) const
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(bytes / m_bytesPerSecond, kLongestSeconds)));
}

}
