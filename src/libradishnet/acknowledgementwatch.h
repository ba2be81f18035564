#pragma once

#include "base/timerservice.h"

#include <chrono>
#include <cstddef>
#include <optional>

namespace RadishSwitch
{

/// Finds out that the other side of a connection acknowledges nothing any more, from how many bytes the kernel still
/// keeps for it.
class AcknowledgementWatch
{
public:
    using Clock = std::chrono::steady_clock;

    /// `limit` is how long nothing may be acknowledged.
    explicit AcknowledgementWatch(Duration limit);

    /// So many bytes are on their way and not acknowledged. Whether that has not changed for the limit.
    bool isHeldUp(std::size_t unacknowledged, Clock::time_point now);

private:
    struct Standstill {
        std::size_t unacknowledged = 0;
        Clock::time_point since;
    };

    const Duration m_limit;
    std::optional<Standstill> m_standstill;
};

}
