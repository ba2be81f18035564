#pragma once

#include "base/failure.h"
#include "base/timerservice.h"
#include "metrics.h"

#include <cstdint>

namespace RadishSwitch
{

/// What an agent counts of its runs.
class AgentMetrics
{
public:
    explicit AgentMetrics(Metrics &metrics);

    void noteStarted();
    void noteAttached();
    void noteRefused(const absl::Status &status);
    void noteFirstByte(Duration sinceStart);
    void noteBytes(std::size_t n);
    void noteDone(Duration sinceStart, std::int64_t chargedTokens);
    void noteFailed(const absl::Status &status);

private:
    Metrics &m_metrics;
    Counter &m_started;
    Counter &m_attached;
    Counter &m_done;
    Counter &m_chargedTokens;
    Counter &m_bytes;
    Histogram &m_firstByte;
    Histogram &m_duration;
};

}
