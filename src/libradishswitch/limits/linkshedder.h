#pragma once

#include "limits/loadshedder.h"

namespace RadishSwitch
{

/// Decides when a process whose link is full turns new requests away.
///
/// Load pattern: one small instance has the requests of a zone's largest caller, and each byte passes its link twice.
/// The link's queue grows to half a second while the processor has time to spare: connections to endpoints and answers
/// of budgets' homes come too late, and so does a new configuration. Callers wait until their deadline.
///
/// The measure is how much longer new connections take than the quickest did. Each passes the link both ways and waits
/// for nobody's work. One endpoint that takes connections late, or none, says nothing of the link: only when each of
/// the last connections was late, whatever endpoint it led to, is the link.
class LinkShedder
{
public:
    explicit LinkShedder(LoadShedderSettings settings = {});

    /// A connection took so long to make, or was given up after so long.
    void noteConnected(Duration taken, Instant now);

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
    bool isAway(Instant now) const
    {
        return m_shedder.isAway(now);
    }

private:
    const Duration m_target;
    LoadShedder m_shedder;
    Duration m_quickest = Duration::max();
    int m_lateInARow = 0;
};

}
