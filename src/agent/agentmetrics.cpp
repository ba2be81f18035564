#include "agentmetrics.h"

#include <string>

namespace RadishSwitch
{

AgentMetrics::AgentMetrics(Metrics &metrics)
    : m_metrics(metrics)
    , m_started(metrics.counter("radishswitch_agent_runs_started_total", "Runs started at the endpoint."))
    , m_attached(metrics.counter("radishswitch_agent_attached_total", "Readers attached to a run that was there."))
    , m_done(metrics.counter("radishswitch_agent_runs_done_total", "Runs whose whole answer came."))
    , m_chargedTokens(metrics.counter("radishswitch_agent_charged_tokens_total", "Tokens charged to portions."))
    , m_bytes(metrics.counter("radishswitch_agent_answer_bytes_total", "Bytes of answers that the endpoint sent."))
    , m_firstByte(metrics.histogram("radishswitch_agent_first_byte_seconds", "Time to the endpoint's first byte."))
    , m_duration(metrics.histogram("radishswitch_agent_run_seconds", "Time of runs whose whole answer came."))
{
}

void AgentMetrics::noteStarted()
{
    m_started.add();
}

void AgentMetrics::noteAttached()
{
    m_attached.add();
}

void AgentMetrics::noteRefused(const absl::Status &status)
{
    const std::string cause(failureName(failureCode(status)));
    m_metrics.counter("radishswitch_agent_runs_refused_total", "Runs refused, by cause.", {{"cause", cause}}).add();
}

void AgentMetrics::noteFirstByte(Duration sinceStart)
{
    m_firstByte.record(sinceStart);
}

void AgentMetrics::noteBytes(std::size_t n)
{
    m_bytes.add(n);
}

void AgentMetrics::noteDone(Duration sinceStart, std::int64_t chargedTokens)
{
    m_done.add();
    m_duration.record(sinceStart);
    m_chargedTokens.add(static_cast<std::uint64_t>(chargedTokens));
}

void AgentMetrics::noteFailed(const absl::Status &status)
{
    const std::string cause(failureName(failureCode(status)));
    m_metrics.counter("radishswitch_agent_runs_failed_total", "Runs that failed, by cause.", {{"cause", cause}}).add();
}

}
