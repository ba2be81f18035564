#include "acknowledgementwatch.h"

namespace RadishSwitch
{

AcknowledgementWatch::AcknowledgementWatch(Duration limit)
    : m_limit(limit)
{
}

bool AcknowledgementWatch::isHeldUp(std::size_t unacknowledged, Clock::time_point now)
{
    if (unacknowledged == 0) {
        m_standstill.reset();
        return false;
    }
    if (!m_standstill || m_standstill->unacknowledged != unacknowledged) {
        m_standstill = Standstill{unacknowledged, now};
    }
    return now - m_standstill->since >= m_limit;
}

}
