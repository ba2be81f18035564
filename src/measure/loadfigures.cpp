#include "loadfigures.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr double kMedian = 0.5;
constexpr double kMost = 0.95;
constexpr double kNearlyAll = 0.99;

bool isComeBackStatus(int status)
{
    return status == 429 || status == 503;
}

}

LoadFigures::LoadFigures(const std::string &logFile)
{
    if (!logFile.empty()) {
        m_log.open(logFile, std::ios::app);
    }
}

void LoadFigures::addRequest(const Call &call)
{
    const std::lock_guard lock(m_mutex);
    ++m_requests;
    ++m_organisations[call.organisation.name].requests;
}

void LoadFigures::addTry(const TryRecord &record, const TryTimes &times)
{
    const std::lock_guard lock(m_mutex);
    m_log << RadishSwitch::toJson(record) << '\n';
    ++m_tries;
    m_cutTries += record.outcome == TryOutcome::Cut || record.outcome == TryOutcome::TimedOut ? 1 : 0;
    m_wrongUsage += record.isUsageRight ? 0 : 1;
    if (record.outcome == TryOutcome::Refused) {
        m_refusal.add(Duration(record.endTime - record.startTime));
        m_missingRetryAfter += isComeBackStatus(record.status) && !record.isRetryAfterGiven ? 1 : 0;
    }
    if (record.outcome == TryOutcome::Whole) {
        addTimes(record, times);
    }
    if (record.isLast) {
        addLast(record);
    }
}

void LoadFigures::addTimes(const TryRecord &record, const TryTimes &times)
{
    const Duration whole(record.endTime - record.startTime);
    if (record.kind != CallKind::Chat) {
        m_serviceCall.add(whole);
        return;
    }
    m_whole.add(whole);
    if (!record.isStreamed) {
        return;
    }
    m_firstToken.add(Duration(record.firstTokenSpan));
    m_organisations[record.organisation].firstToken.add(Duration(record.firstTokenSpan));
    m_stall.add(Duration(record.longestGap));
    for (const Duration gap : times.gaps) {
        m_gap.add(gap);
    }
}

void LoadFigures::addLast(const TryRecord &record)
{
    const bool isFirstChain = record.number < kFirstDuplicateNumber;
    OrganisationFigures &organisation = m_organisations[record.organisation];
    switch (record.outcome) {
    case TryOutcome::Whole:
        m_answered += isFirstChain ? 1 : 0;
        organisation.answered += isFirstChain ? 1 : 0;
        if (isFirstChain) {
            m_tokens += record.completionTokens;
            organisation.tokens += record.promptTokens + record.completionTokens;
        }
        break;
    case TryOutcome::Refused:
        ++m_refused[record.code];
        m_unknown += record.told == ToldOutcome::NotRun ? 0 : 1;
        organisation.refused += isFirstChain ? 1 : 0;
        break;
    case TryOutcome::Cut:
    case TryOutcome::Mixed:
    case TryOutcome::TimedOut:
    case TryOutcome::NotConnected:
        ++m_lostOrMixed;
        break;
    }
}

std::string LoadFigures::toJson(const std::string &prefix, Duration elapsed) const
{
    const std::lock_guard lock(m_mutex);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    auto organisations = nlohmann::ordered_json::object();
    for (const auto &[name, figures] : m_organisations) {
        organisations[name] = {{"requests", figures.requests},
                               {"answered", figures.answered},
                               {"refused", figures.refused},
                               {"tokens", figures.tokens},
                               {"ttft_p95_ms", figures.firstToken.milliseconds(kMost)}};
    }
    const nlohmann::ordered_json document{
        {"requests", m_requests},
        {"answered", m_answered},
        {"tries", m_tries},
        {"refused", m_refused},
        {"lost_or_mixed_answers", m_lostOrMixed},
        {"unknown_outcomes", m_unknown},
        {"cut_tries", m_cutTries},
        {"wrong_usage", m_wrongUsage},
        {"missing_retry_after", m_missingRetryAfter},
        {"seconds", seconds},
        {"requests_per_second", static_cast<double>(m_answered) / seconds},
        {"tokens_per_second", static_cast<double>(m_tokens) / seconds},
        {prefix + "ttft_p50_ms", m_firstToken.milliseconds(kMedian)},
        {prefix + "ttft_p95_ms", m_firstToken.milliseconds(kMost)},
        {prefix + "ttft_p99_ms", m_firstToken.milliseconds(kNearlyAll)},
        {prefix + "gap_p50_ms", m_gap.milliseconds(kMedian)},
        {prefix + "gap_p95_ms", m_gap.milliseconds(kMost)},
        {prefix + "stall_p95_ms", m_stall.milliseconds(kMost)},
        {prefix + "answer_p50_ms", m_whole.milliseconds(kMedian)},
        {prefix + "answer_p95_ms", m_whole.milliseconds(kMost)},
        {prefix + "service_p50_ms", m_serviceCall.milliseconds(kMedian)},
        {prefix + "service_p95_ms", m_serviceCall.milliseconds(kMost)},
        {prefix + "refusal_p50_ms", m_refusal.milliseconds(kMedian)},
        {prefix + "refusal_p95_ms", m_refusal.milliseconds(kMost)},
        {"organisations", organisations},
    };
    return document.dump();
}

}
