#include "callmetrics.h"

#include "base/failure.h"

namespace RadishSwitch
{

namespace
{

constexpr char kStageName[] = "radishswitch_call_stage_seconds";
constexpr char kStageHelp[] = "Time that calls spent in a stage";

std::string nameOf(ContinuedBy by)
{
    return by == ContinuedBy::Gateway ? "gateway" : "caller";
}

std::string nameOf(ContinuedAt at)
{
    switch (at) {
    case ContinuedAt::SameVersion:
        return "same";
    case ContinuedAt::OtherVersion:
        return "other";
    case ContinuedAt::UnknownVersion:
        break;
    }
    return "unknown";
}

std::string nameOf(std::optional<OriginEvidence> evidence)
{
    if (!evidence) {
        return "none";
    }
    switch (*evidence) {
    case OriginEvidence::Record:
        return "record";
    case OriginEvidence::OnlyVersion:
        return "only_version";
    case OriginEvidence::EstablishedVersion:
        break;
    }
    return "established_version";
}

Histogram &stage(Metrics &metrics, const std::string &name)
{
    return metrics.histogram(kStageName, kStageHelp, kLatencyRange, {{"stage", name}});
}

std::array<Counter *, kRefusalReasons.size()> refusalCounters(Metrics &metrics)
{
    std::array<Counter *, kRefusalReasons.size()> counters{};
    for (const RefusalReason it : kRefusalReasons) {
        counters[static_cast<std::size_t>(it)] =
            &metrics.counter("radishswitch_calls_refused_unread_total", "Calls refused before they were read",
                             {{"reason", std::string(refusalReasonName(it))}});
    }
    return counters;
}

}

CallMetrics::CallMetrics(Metrics &metrics)
    : m_metrics(metrics)
    , m_refusedUnread(refusalCounters(metrics))
    , m_backoffs(
          metrics.counter("radishswitch_endpoint_backoffs_total", "Demands of endpoints to be sent nothing for a time"))
    , m_heldUp(metrics.counter("radishswitch_requests_held_up_total",
                               "Requests dropped since nothing of them was acknowledged"))
    , m_tooLong(metrics.counter("radishswitch_answers_too_long_total",
                                "Answers of endpoints that were given up since they were too long"))
    , m_total(stage(metrics, "whole"))
    , m_firstAnswer(stage(metrics, "first_answer"))
    , m_reserving(stage(metrics, "reserving"))
    , m_placing(stage(metrics, "placing"))
{
}

void CallMetrics::noteEnded(const absl::Status &status, Duration taken)
{
    const std::string outcome(status.ok() ? std::string_view("answered") : failureName(failureCode(status)));
    m_metrics.counter("radishswitch_calls_total", "Calls by outcome", {{"outcome", outcome}}).add();
    m_total.record(taken);
}

void CallMetrics::noteFirstAnswer(Duration taken)
{
    m_firstAnswer.record(taken);
}

void CallMetrics::noteReserved(Duration taken)
{
    m_reserving.record(taken);
}

void CallMetrics::notePlaced(Duration taken)
{
    m_placing.record(taken);
}

void CallMetrics::noteRefusedUnread(RefusalReason reason)
{
    m_refusedUnread[static_cast<std::size_t>(reason)]->add();
}

void CallMetrics::noteCutOff(const absl::Status &status)
{
    const std::string cause(failureName(failureCode(status)));
    m_metrics
        .counter("radishswitch_answers_cut_off_total", "Answers that had begun and were broken off", {{"cause", cause}})
        .add();
}

void CallMetrics::noteAttemptFailed(AttemptEnd end)
{
    const std::string name(attemptEndName(end));
    m_metrics.counter("radishswitch_attempts_failed_total", "Attempts at endpoints that failed", {{"end", name}}).add();
}

void CallMetrics::noteContinued(ContinuedBy by, ContinuedAt at)
{
    m_metrics
        .counter("radishswitch_streams_continued_total",
                 "Streams sent to an endpoint to be continued, by the version of its software against that which began",
                 {{"by", nameOf(by)}, {"version", nameOf(at)}})
        .add();
}

void CallMetrics::noteOriginSought(std::optional<OriginEvidence> evidence)
{
    m_metrics
        .counter("radishswitch_stream_origins_sought_total",
                 "Streams that callers continue, by what tells where they began", {{"evidence", nameOf(evidence)}})
        .add();
}

void CallMetrics::noteEndedWithConnection(WriterState writer)
{
    m_metrics
        .counter("radishswitch_answers_ended_with_connection_total",
                 "Answers that ended with their connections, by what became of the process that wrote them",
                 {{"writer", std::string(writerStateName(writer))}})
        .add();
}

void CallMetrics::noteHeldUp()
{
    m_heldUp.add();
}

void CallMetrics::noteTooLong()
{
    m_tooLong.add();
}

void CallMetrics::noteBackoff()
{
    m_backoffs.add();
}

}
