#pragma once

#include "limits/loadshedder.h"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace RadishSwitch
{

/// Decides when a process whose link is full turns new requests away.
///
/// Load pattern: one small instance has the requests of a zone's largest caller, and each byte passes its link twice.
/// The link's queue grows to half a second while the processor has time to spare: connections to endpoints and answers
/// of budgets' homes come too late, and so does a new configuration. Callers wait until their deadline.
///
/// The measure is how much longer new connections take than the shortest into the same availability zone did. Each
/// passes the link both ways and waits for nobody's work. One endpoint that takes connections late, or none, says
/// nothing of the link: only when each of the last connections was late, whatever endpoint it led to, is the link.
class LinkShedder
{
public:
    explicit LinkShedder(LoadShedderSettings settings = {});

    /// A connection into `zone` took so long to make, or was given up after so long.
    void noteConnected(const std::string &zone, Duration taken, Instant now);

    /// Whether new requests are to be refused.
    bool isShedding(Instant now) const
    {
        return m_shedder.isShedding(now);
    }

    /// A request was refused for want of room on the link.
    void noteRefused(Instant now)
    {
        m_shedder.noteRefused(now);
    }

    /// Whether new callers should be sent to other instances.
    bool isDiverting(Instant now) const
    {
        return m_shedder.isDiverting(now);
    }

private:
    const Duration m_target;
    LoadShedder m_shedder;
    absl::flat_hash_map<std::string, Duration> m_shortestTimes;
    int m_consecutiveLate = 0;
};

}
