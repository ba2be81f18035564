#pragma once

#include "base/timerservice.h"
#include "call.h"
#include "latencyhistogram.h"
#include "tryrecord.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Times that one try took, which the record has no room for.
struct TryTimes {
    std::vector<Duration> gaps;
};

/// Counts what the callers of a load saw, and writes their log. Safe on any thread.
class LoadFigures
{
public:
    /// One line of JSON for each try goes to the file, unless the name is empty.
    explicit LoadFigures(const std::string &logFile);

    void addRequest(const Call &call);
    void addTry(const TryRecord &record, const TryTimes &times);

    /// One JSON object. Names of latencies get `prefix` in front.
    std::string toJson(const std::string &prefix, Duration elapsed) const;

private:
    struct OrganisationFigures {
        std::int64_t requests = 0;
        std::int64_t answered = 0;
        std::int64_t refused = 0;
        std::int64_t tokens = 0;
        LatencyHistogram firstToken;
    };

    void addLast(const TryRecord &record);
    void addTimes(const TryRecord &record, const TryTimes &times);

    mutable std::mutex m_mutex;
    std::ofstream m_log;
    std::int64_t m_requests = 0;
    std::int64_t m_tries = 0;
    std::int64_t m_answered = 0;
    std::int64_t m_lostOrMixed = 0;
    std::int64_t m_unknown = 0;
    std::int64_t m_cutTries = 0;
    std::int64_t m_wrongUsage = 0;
    std::int64_t m_missingRetryAfter = 0;
    std::int64_t m_tokens = 0;
    std::map<std::string, std::int64_t> m_refused;
    std::map<std::string, OrganisationFigures> m_organisations;
    LatencyHistogram m_firstToken;
    LatencyHistogram m_gap;
    LatencyHistogram m_stall;
    LatencyHistogram m_whole;
    LatencyHistogram m_serviceCall;
    LatencyHistogram m_refusal;
};

}
