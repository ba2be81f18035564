#pragma once

#include "base/timerservice.h"

#include <optional>

namespace RadishSwitch
{

/// Decides when a connection is probed and when it is given up as silent.
///
/// A connection that something between the two ends has lost track of stays open for good on both sides, and its
/// streams would wait for ever. A PING that nothing answers shows it. Where one direction alone is lost, the side that
/// hears nothing gives up, and the other, which still hears it, is told that the connection has ended.
class ConnectionProbe
{
public:
    enum class Step {
        Wait,
        SendPing,
        GiveUp,
    };

    /// Who probes: the one that opened the connection at every interval, the other only where it has heard nothing for
    /// one, because it hears those probes.
    enum class Habit {
        Always,
        WhenQuiet,
    };

    ConnectionProbe(Habit habit, Duration interval, Duration timeout);

    /// Something came from the other side.
    void heard();

    /// What to do now. `hasUnreadInput` tells of bytes that came and that this process hasn't got round to reading.
    Step step(Instant now, bool hasUnreadInput);

    /// How long after a step the next one is due.
    Duration untilNext(Instant now) const;

private:
    const Habit m_habit;
    const Duration m_interval;
    const Duration m_timeout;
    bool m_wasHeardSinceStep = false;
    /// When the PING went out since which nothing was heard.
    std::optional<Instant> m_unansweredSince;
};

}
