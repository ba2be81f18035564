#include "connectionprobe.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

ConnectionProbe::ConnectionProbe(Habit habit, Duration interval, Duration timeout)
    : m_habit(habit)
    , m_interval(interval)
    , m_timeout(timeout)
{
}

void ConnectionProbe::heard()
{
    m_wasHeardSinceStep = true;
    m_unansweredSince.reset();
}

ConnectionProbe::Step ConnectionProbe::step(Instant now, bool hasUnreadInput)
{
    const bool wasHeard = std::exchange(m_wasHeardSinceStep, false);
    if (m_unansweredSince && hasUnreadInput) {
        // It was this process that stood still: the answer may be among what it hasn't read.
        m_unansweredSince = now;
    }
    if (m_unansweredSince) {
        return now - *m_unansweredSince >= m_timeout ? Step::GiveUp : Step::Wait;
    }
    if (m_habit == Habit::WhenQuiet && wasHeard) {
        return Step::Wait;
    }
    m_unansweredSince = now;
    return Step::SendPing;
}

Duration ConnectionProbe::untilNext(Instant now) const
{
    if (!m_unansweredSince) {
        return m_interval;
    }
    return std::clamp(*m_unansweredSince + m_timeout - now, Duration::zero(), m_interval);
}

}
