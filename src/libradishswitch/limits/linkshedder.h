#pragma once

#include "limits/loadshedder.h"

#include <absl/container/flat_hash_map.h>

#include <string>

namespace RadishSwitch
{

/// Decides when a process whose network link is full refuses new requests.
///
/// Load pattern: a small instance gets the requests of a zone's largest caller, and each byte passes its link twice.
/// The link's queue grows to half a second while the processor is not busy. Connections to endpoints, answers of budget
/// homes and new configurations arrive too late, and callers wait until their deadlines.
///
/// The measure is how much longer new connections take than the shortest so far into the same availability zone. Each
/// connection passes the link in both directions and depends on nobody's work. A single endpoint that accepts
/// connections late, or not at all, says nothing about the link. The link counts as full only when each of the last
/// connections was late, whichever endpoint it led to.
class LinkShedder
{
public:
    explicit LinkShedder(LoadShedderSettings settings = {});

    /// A connection into `zone` was established, or given up, after `taken`.
    void noteConnected(const std::string &zone, Duration taken, Instant now);

    /// Whether new requests are to be refused.
    bool isShedding(Instant now) const
    {
        return m_shedder.isShedding(now);
    }

    /// A request was refused because the link is full.
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
