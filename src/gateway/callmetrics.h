#pragma once

#include "limits/refusalreason.h"
#include "metrics.h"
#include "serving/attemptrules.h"
#include "serving/streamorigin.h"
#include "writerprobe.h"

#include <absl/status/status.h>

#include <array>
#include <optional>
#include <string>

namespace RadishSwitch
{

/// Who continued a stream that had broken off.
enum class ContinuedBy {
    /// The gateway, with a further attempt within the same call.
    Gateway,
    /// The caller, with another call.
    Caller,
};

/// The software that continues a stream, compared with the software that began it.
enum class ContinuedAt {
    SameVersion,
    OtherVersion,
    /// It is not known which version began the stream.
    UnknownVersion,
};

/// The metrics of calls: their outcomes, the duration of each stage, and the failures of attempts at endpoints.
class CallMetrics
{
public:
    explicit CallMetrics(Metrics &metrics);

    /// Counts a call that has ended. An OK status means that an endpoint's answer was relayed.
    void noteEnded(const absl::Status &status, Duration taken);

    /// Records the time from the arrival of a call to the first bytes of its answer.
    void noteFirstAnswer(Duration taken);

    /// Records the time that it took to reserve tokens, or to be refused them.
    void noteReserved(Duration taken);

    /// Records the time in the queue until an endpoint was found or the call was refused.
    void notePlaced(Duration taken);

    /// Counts a call that was refused before its body was read.
    void noteRefusedUnread(RefusalReason reason);

    /// Counts an answer that was aborted after its head had been sent to the caller.
    void noteCutOff(const absl::Status &status);

    void noteAttemptFailed(AttemptEnd end);

    /// Counts a stream that was sent to an endpoint to be continued after its last event.
    void noteContinued(ContinuedBy by, ContinuedAt at);

    /// A caller continues a stream; nullopt if it is not known where it began.
    void noteOriginSought(std::optional<OriginEvidence> evidence);

    /// Counts an answer that ended with its connection, by what became of the process that wrote it.
    void noteEndedWithConnection(WriterState writer);

    /// Counts an answer that was given up because it was too long.
    void noteTooLong();

    /// Counts a request that was dropped because its endpoint acknowledged none of its bytes.
    void noteHeldUp();

    /// Counts a request of an endpoint for backoff, or for a longer backoff.
    void noteBackoff();

private:
    Metrics &m_metrics;
    /// By reason.
    std::array<Counter *, kRefusalReasons.size()> m_refusedUnread;
    Counter &m_backoffs;
    Counter &m_heldUp;
    Counter &m_tooLong;
    Histogram &m_total;
    Histogram &m_firstAnswer;
    Histogram &m_reserving;
    Histogram &m_placing;
};

}
