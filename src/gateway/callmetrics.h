#pragma once

#include "metrics.h"
#include "serving/attemptrules.h"

#include <absl/status/status.h>

#include <string>

namespace RadishSwitch
{

/// What is counted of calls: how they ended and why, how long each stage took, and what became of attempts.
class CallMetrics
{
public:
    explicit CallMetrics(Metrics &metrics);

    /// A call ended; an OK status is an answer of an endpoint.
    void noteEnded(const absl::Status &status, Duration taken);

    /// The first of the answer went to the caller, so long after the call came.
    void noteFirstAnswer(Duration taken);

    /// Tokens were set aside, or refused, after so long.
    void noteReserved(Duration taken);

    /// An endpoint was found, or the call refused, after so long in the queue.
    void notePlaced(Duration taken);

    void noteRefusedUnread();
    /// An answer that had begun was broken off.
    void noteCutOff(const absl::Status &status);
    void noteAttemptFailed(AttemptEnd end);

    /// A request was dropped since the way to its endpoint acknowledged nothing.
    void noteHeldUp();

    /// An endpoint asked for backoff, or for a longer one.
    void noteBackoff();

private:
    Metrics &m_metrics;
    Counter &m_refusedUnread;
    Counter &m_backoffs;
    Counter &m_heldUp;
    Histogram &m_total;
    Histogram &m_firstAnswer;
    Histogram &m_reserving;
    Histogram &m_placing;
};

}
