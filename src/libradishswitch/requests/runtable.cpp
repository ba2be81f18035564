#include "requests/runtable.h"

#include "base/failure.h"
#include "base/namehash.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// Whether a new attempt of the same request must receive this run's answer instead of starting a run of its own.
bool mustAttachTo(const RunRecord &record, bool isNonIdempotent)
{
    switch (record.state) {
    case RunState::Running:
    case RunState::Done:
        return true;
    case RunState::Failed:
        return isNonIdempotent || record.isNonIdempotent;
    case RunState::Unknown:
    case RunState::Barred:
        return false;
    }
    return false;
}

bool hasOtherBody(const RunRecord &record, const RunStart &start)
{
    return !record.fingerprint.empty() && record.fingerprint != start.fingerprint;
}

RunRecord recordOf(const RunStart &start, const std::string &agentAddress)
{
    RunRecord record;
    record.request = start.request;
    record.attempt = start.attempt;
    record.state = RunState::Running;
    record.portion = start.portion;
    record.reservedTokens = start.reservedTokens;
    record.fingerprint = start.fingerprint;
    record.isNonIdempotent = start.isNonIdempotent;
    record.isAnswerKept = true;
    record.agentAddress = agentAddress;
    record.shard = start.shard;
    record.epoch = start.epoch;
    record.isProvisional = start.isProvisional;
    return record;
}

}

RunTable::RunTable(const TimerService &timers, RunTableSettings settings)
    : m_timers(timers)
    , m_settings(std::move(settings))
    , m_finished(timers, m_settings.finishedRuns)
    , m_chargesCompleteSince(timers.now())
{
}

absl::StatusOr<RunDecision> RunTable::start(const RunStart &start)
{
    if (m_barredAttempts.contains(nameHash(start.attempt))) {
        return makeFailure(FailureCode::AttemptBarred, "the attempt was barred at this agent before it arrived");
    }
    const RunRecord existing = find(start.request, start.attempt);
    if (existing.state == RunState::Unknown) {
        return startNew(start);
    }
    if (hasOtherBody(existing, start)) {
        return makeFailure(FailureCode::KeyReusedForOtherBody, "the attempt id was used for another request body");
    }
    return RunDecision{RunDecision::Action::AttachToRunning, existing};
}

absl::StatusOr<RunDecision> RunTable::startNew(const RunStart &start)
{
    for (const RunRecord *other : recordsOf(start.request)) {
        if (other->state != RunState::Barred && hasOtherBody(*other, start)) {
            return refuse(start,
                          makeFailure(FailureCode::KeyReusedForOtherBody,
                                      "the idempotency key was used for another request body"));
        }
    }
    // This check precedes the checks of leaving, epoch and portion, because attaching to a run starts nothing.
    const RunRecord earlier = findAttachable(start.request);
    if (mustAttachTo(earlier, start.isNonIdempotent)) {
        addBarred(start.request, start.attempt);
        return RunDecision{RunDecision::Action::AttachToRunning, earlier};
    }
    absl::Status refusal = checkMayStart(start);
    if (!refusal.ok()) {
        return refuse(start, std::move(refusal));
    }
    const RunRecord record = recordOf(start, m_settings.agentAddress);
    m_runs[start.attempt] = record;
    m_attemptsOfRequest[start.request].push_back(start.attempt);
    m_running.insert(start.attempt);
    if (start.epoch > 0) {
        m_attemptsOfShard[start.shard].insert(start.attempt);
    }
    return RunDecision{RunDecision::Action::Start, record};
}

absl::Status RunTable::checkMayStart(const RunStart &start) const
{
    if (m_isLeaving) {
        return makeFailure(FailureCode::EndpointLeaving, "the endpoint is leaving");
    }
    const auto it = m_lowestEpochOfShard.find(start.shard);
    if (start.epoch > 0 && it != m_lowestEpochOfShard.end() && start.epoch < it->second) {
        return makeFailure(FailureCode::StaleEpoch, "a later owner of the key shard has collected its runs");
    }
    if (!start.portion.isEmpty() && m_closedPortions.contains(nameHash(start.portion))) {
        return makeFailure(FailureCode::PortionClosed, "the portion was closed");
    }
    return absl::OkStatus();
}

absl::Status RunTable::refuse(const RunStart &start, absl::Status status)
{
    addBarred(start.request, start.attempt);
    return status;
}

RunRecord RunTable::bar(const RequestId &request, const AttemptId &attempt)
{
    const RunRecord existing = find(request, attempt);
    if (existing.state != RunState::Unknown) {
        return existing;
    }
    addBarred(request, attempt);
    return find(request, attempt);
}

void RunTable::addBarred(const RequestId &request, const AttemptId &attempt)
{
    if (!m_barredAttempts.insert(nameHash(attempt)).second) {
        return;
    }
    RunRecord record;
    record.request = request;
    record.attempt = attempt;
    record.agentAddress = m_settings.agentAddress;
    m_attemptsOfRequest[request].push_back(attempt);
    end(m_runs[attempt] = std::move(record), RunState::Barred);
}

std::vector<RunRecord> RunTable::findRuns(const std::vector<RequestId> &requests, std::uint32_t shard,
                                          std::uint64_t epoch)
{
    if (epoch > 0) {
        std::uint64_t &lowest = m_lowestEpochOfShard[shard];
        lowest = std::max(lowest, epoch);
    }
    if (epoch > 0 && requests.empty()) {
        return runsOfShard(shard);
    }
    std::vector<RunRecord> found;
    for (const RequestId &request : requests) {
        const std::vector<const RunRecord *> records = recordsOf(request);
        for (const RunRecord *record : records) {
            found.push_back(*record);
        }
        const bool isStarted = std::ranges::any_of(records, [](const RunRecord *record) {
            return record->state != RunState::Barred;
        });
        std::optional<RunRecord> finished = m_finished.findStarted(request);
        if (finished && !isStarted) {
            finished->agentAddress = m_settings.agentAddress;
            found.push_back(*std::move(finished));
        }
    }
    return found;
}

std::vector<RunRecord> RunTable::runsOfShard(std::uint32_t shard) const
{
    std::vector<RunRecord> found;
    const auto it = m_attemptsOfShard.find(shard);
    if (it == m_attemptsOfShard.end()) {
        return found;
    }
    for (const AttemptId &attempt : it->second) {
        const RunRecord &record = m_runs.at(attempt);
        if (record.state != RunState::Barred) {
            found.push_back(record);
        }
    }
    return found;
}

std::vector<PortionCharges> RunTable::closePortions(const std::vector<PortionId> &portions)
{
    std::vector<PortionCharges> answers;
    absl::flat_hash_map<PortionId, std::size_t> indexOfPortion;
    for (const PortionId &portion : portions) {
        if (!indexOfPortion.emplace(portion, answers.size()).second) {
            continue;
        }
        m_closedPortions.insert(nameHash(portion));
        const auto totals = m_portions.find(portion);
        PortionCharges &answer = answers.emplace_back();
        answer.portion = portion;
        answer.completeFor = m_timers.now() - m_chargesCompleteSince;
        if (totals != m_portions.end()) {
            answer.foldedTokens = totals->second.foldedTokens;
            answer.provisionalTokens = totals->second.provisionalTokens;
        }
    }
    for (const RecentCharge &recent : m_charges) {
        const auto it = indexOfPortion.find(recent.portion);
        if (it != indexOfPortion.end()) {
            answers[it->second].charges.push_back(recent.charge);
        }
    }
    for (const AttemptId &attempt : m_running) {
        const RunRecord &record = m_runs.at(attempt);
        const auto it = indexOfPortion.find(record.portion);
        if (it != indexOfPortion.end()) {
            answers[it->second].running.push_back(record);
        }
    }
    for (PortionCharges &answer : answers) {
        std::ranges::sort(answer.running, {}, &RunRecord::attempt);
    }
    return answers;
}

Instant RunTable::chargesCompleteSince() const
{
    return m_chargesCompleteSince;
}

std::int64_t RunTable::noteDone(const AttemptId &attempt, std::int64_t usedTokens)
{
    if (!m_running.contains(attempt)) {
        return 0;
    }
    RunRecord &record = m_runs.at(attempt);
    if (!record.portion.isEmpty()) {
        record.chargedTokens = std::clamp<std::int64_t>(usedTokens, 0, record.reservedTokens);
    }
    end(record, RunState::Done);
    charge(record);
    return record.chargedTokens;
}

void RunTable::noteFailed(const AttemptId &attempt)
{
    if (m_running.contains(attempt)) {
        end(m_runs.at(attempt), RunState::Failed);
    }
}

void RunTable::noteNotStarted(const AttemptId &attempt)
{
    if (m_running.contains(attempt)) {
        m_barredAttempts.insert(nameHash(attempt));
        end(m_runs.at(attempt), RunState::Barred);
    }
}

void RunTable::noteAnswerGone(const AttemptId &attempt)
{
    const auto it = m_runs.find(attempt);
    if (it != m_runs.end()) {
        it->second.isAnswerKept = false;
    }
}

void RunTable::setLeaving()
{
    m_isLeaving = true;
}

int RunTable::runningCount() const
{
    return static_cast<int>(m_running.size());
}

RunRecord RunTable::find(const RequestId &request, const AttemptId &attempt) const
{
    const auto it = m_runs.find(attempt);
    if (it != m_runs.end()) {
        return it->second;
    }
    RunRecord record = m_finished.find(request, attempt).value_or(RunRecord());
    if (record.state == RunState::Unknown && m_barredAttempts.contains(nameHash(attempt))) {
        record.state = RunState::Barred;
    }
    record.request = request;
    record.attempt = attempt;
    record.agentAddress = m_settings.agentAddress;
    return record;
}

RunRecord RunTable::findAttachable(const RequestId &request) const
{
    RunRecord best;
    for (const RunRecord *record : recordsOf(request)) {
        if (record->state == RunState::Running || record->state == RunState::Done) {
            return *record;
        }
        if (record->state == RunState::Failed) {
            best = *record;
        }
    }
    if (best.state == RunState::Unknown) {
        best = m_finished.findStarted(request).value_or(RunRecord());
        best.request = request;
        best.agentAddress = m_settings.agentAddress;
    }
    return best;
}

std::vector<const RunRecord *> RunTable::recordsOf(const RequestId &request) const
{
    std::vector<const RunRecord *> records;
    const auto it = m_attemptsOfRequest.find(request);
    if (it == m_attemptsOfRequest.end()) {
        return records;
    }
    for (const AttemptId &attempt : it->second) {
        records.push_back(&m_runs.at(attempt));
    }
    return records;
}

void RunTable::end(RunRecord &record, RunState state)
{
    record.state = state;
    m_running.erase(record.attempt);
    m_ended.push_back({m_timers.now(), record.request, record.attempt});
    if (state == RunState::Barred) {
        record.isAnswerKept = false;
    }
    while (m_ended.size() > m_settings.maximumEndedRecords && m_ended.front().attempt != record.attempt) {
        dropOldestRecord();
    }
}

void RunTable::charge(const RunRecord &record)
{
    if (record.chargedTokens <= 0) {
        return;
    }
    PortionTotals &totals = m_portions[record.portion];
    totals.chargedAt = m_timers.now();
    if (record.isProvisional) {
        totals.provisionalTokens += record.chargedTokens;
        return;
    }
    m_charges.push_back({m_timers.now(), record.portion, {record.request, record.chargedTokens}});
    while (m_charges.size() > m_settings.maximumCharges) {
        foldOldestCharge();
    }
}

void RunTable::foldOldestCharge()
{
    const RecentCharge &oldest = m_charges.front();
    m_portions[oldest.portion].foldedTokens += oldest.charge.tokens;
    m_charges.pop_front();
}

void RunTable::expire()
{
    const Instant now = m_timers.now();
    while (!m_charges.empty() && now - m_charges.front().at >= m_settings.chargeRetention) {
        foldOldestCharge();
    }
    while (!m_ended.empty() && now - m_ended.front().at >= m_settings.recordRetention) {
        dropOldestRecord();
    }
    if (m_portions.size() > m_settings.maximumPortions) {
        dropOldestPortions();
    }
}

void RunTable::dropOldestRecord()
{
    const Ended oldest = std::move(m_ended.front());
    m_ended.pop_front();
    const auto it = m_runs.find(oldest.attempt);
    if (it->second.state != RunState::Barred) {
        m_finished.remember(it->second);
    }
    const auto shard = m_attemptsOfShard.find(it->second.shard);
    if (shard != m_attemptsOfShard.end() && shard->second.erase(oldest.attempt) > 0 && shard->second.empty()) {
        m_attemptsOfShard.erase(shard);
    }
    m_runs.erase(it);
    const auto attempts = m_attemptsOfRequest.find(oldest.request);
    std::erase(attempts->second, oldest.attempt);
    if (attempts->second.empty()) {
        m_attemptsOfRequest.erase(attempts);
    }
}

// Portions with separate charges were charged recently and come last in this order. If even such a portion is dropped,
// its separate charges are kept and only its folded total is lost; the later `m_chargesCompleteSince` reports the loss.
void RunTable::dropOldestPortions()
{
    std::vector<std::pair<Instant, PortionId>> byAge;
    for (const auto &[portion, totals] : m_portions) {
        byAge.emplace_back(totals.chargedAt, portion);
    }
    const std::size_t excess = m_portions.size() - m_settings.maximumPortions * 3 / 4;
    std::ranges::nth_element(byAge, byAge.begin() + static_cast<std::ptrdiff_t>(excess - 1));
    for (std::size_t n = 0; n < excess; ++n) {
        m_chargesCompleteSince = std::max(m_chargesCompleteSince, byAge[n].first);
        m_portions.erase(byAge[n].second);
    }
}

}
