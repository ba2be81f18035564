#include "requests/finishedruns.h"

#include "base/namehash.h"

#include <utility>

namespace RadishSwitch
{

FinishedRuns::FinishedRuns(const TimerService &timers, FinishedRunsSettings settings)
    : m_timers(timers)
    , m_settings(settings)
    , m_rotatedAt(timers.now())
{
}

void FinishedRuns::remember(const RunRecord &record)
{
    rotateIfDue();
    m_current[nameHash(record.request)].push_back(
        {nameHash(record.attempt), record.chargedTokens, record.state, record.isNonIdempotent});
}

std::optional<RunRecord> FinishedRuns::find(const RequestId &request, const AttemptId &attempt) const
{
    const std::uint64_t attemptHash = nameHash(attempt);
    for (const Generation *generation : {&m_current, &m_previous}) {
        const auto it = generation->find(nameHash(request));
        if (it == generation->end()) {
            continue;
        }
        for (const FinishedRun &run : it->second) {
            if (run.attempt == attemptHash) {
                return toRecord(request, attempt, run);
            }
        }
    }
    return std::nullopt;
}

std::optional<RunRecord> FinishedRuns::findStarted(const RequestId &request) const
{
    for (const Generation *generation : {&m_current, &m_previous}) {
        const auto it = generation->find(nameHash(request));
        if (it == generation->end()) {
            continue;
        }
        for (const FinishedRun &run : it->second) {
            if (run.state == RunState::Done || run.isNonIdempotent) {
                return toRecord(request, AttemptId(), run);
            }
        }
    }
    return std::nullopt;
}

std::size_t FinishedRuns::size() const
{
    return m_current.size() + m_previous.size();
}

void FinishedRuns::rotateIfDue()
{
    const bool isOld = m_timers.now() - m_rotatedAt >= m_settings.retention;
    if (!isOld && m_current.size() < m_settings.maximumRunsPerGeneration) {
        return;
    }
    m_previous = std::exchange(m_current, {});
    m_rotatedAt = m_timers.now();
}

RunRecord FinishedRuns::toRecord(const RequestId &request, const AttemptId &attempt, const FinishedRun &run)
{
    RunRecord record;
    record.request = request;
    record.attempt = attempt;
    record.state = run.state;
    record.chargedTokens = run.chargedTokens;
    record.isNonIdempotent = run.isNonIdempotent;
    return record;
}

}
