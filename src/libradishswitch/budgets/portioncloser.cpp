#include "budgets/portioncloser.h"

#include "budgets/finishclosechange.h"
#include "budgets/withholdchange.h"

#include <algorithm>
#include <utility>

namespace RadishSwitch
{

namespace
{

constexpr int kMaximumDoublings = 16;

}

PortionCloser::PortionCloser(Ledger &ledger, AgentPort &agents, TimerService &timers, TaskQueue &tasks,
                             RandomSource &random, const PortionCloserSettings &settings)
    : m_ledger(ledger)
    , m_agents(agents)
    , m_timers(timers)
    , m_tasks(tasks)
    , m_random(random)
    , m_settings(settings)
    , m_startedAt(timers.now())
{
}

PortionCloser::~PortionCloser()
{
    for (const JobPointer &job : m_jobs) {
        m_timers.cancel(job->timer);
    }
}

void PortionCloser::closeHolder(const IncarnationId &holder, std::uint32_t shard, Callback callback)
{
    const bool isRunning = std::any_of(m_jobs.begin(), m_jobs.end(), [&](const JobPointer &it) {
        return it->holder == holder && it->shard == shard;
    });
    if (isRunning || holder.isEmpty()) {
        return;
    }
    const auto job = std::make_shared<Job>();
    job->holder = holder;
    job->shard = shard;
    job->callback = std::move(callback);
    job->startedAt = m_timers.now();
    m_jobs.push_back(job);
    begin(job);
}

std::size_t PortionCloser::openJobs() const
{
    return m_jobs.size();
}

void PortionCloser::begin(const JobPointer &job)
{
    const auto change = std::make_shared<BeginCloseChange>(job->holder);
    m_ledger.submit(job->shard, change, Urgency::Urgent, guarded([this, job, change](const absl::Status &status) {
                        handleBegun(job, *change, status);
                    }));
}

void PortionCloser::handleBegun(const JobPointer &job, const BeginCloseChange &change, const absl::Status &status)
{
    if (!status.ok()) {
        return scheduleRound(job, m_settings.longestPause);
    }
    job->isBegun = true;
    for (const BeginCloseChange::ClosingPortion &it : change.closingPortions()) {
        Closing &closing = job->portions[it.portion];
        closing.budget = it.budget;
        closing.granted = it.record.granted;
        closing.reported = it.record.spent;
        closing.takenAtMilliseconds = it.record.takenAtMilliseconds;
    }
    if (job->portions.empty()) {
        reportProgress(*job);
        std::erase(m_jobs, job);
        return;
    }
    const Duration discovery = m_settings.discoveryTime - (m_timers.now() - m_startedAt);
    scheduleRound(job, std::max(discovery, Duration::zero()));
}

void PortionCloser::startRound(const JobPointer &job)
{
    for (const std::string &agent : m_agents.agentAddresses()) {
        job->agents.insert(agent);
    }
    ++job->rounds;
    for (const std::string &agent : job->agents) {
        const std::vector<PortionId> portions = portionsToAsk(*job, agent);
        if (!portions.empty()) {
            job->awaitedAgents.insert(agent);
            ask(job, agent, portions);
        }
    }
    if (job->awaitedAgents.empty()) {
        evaluate(job);
    }
}

std::vector<PortionId> PortionCloser::portionsToAsk(const Job &job, const std::string &agent) const
{
    std::vector<PortionId> portions;
    for (const auto &[id, closing] : job.portions) {
        const bool isKnown = closing.proof.hasAnswerOf(agent) && !closing.proof.hasRunsAt(agent);
        if (closing.stage == Stage::Proving && !isKnown) {
            portions.push_back(id);
        }
    }
    return portions;
}

void PortionCloser::ask(const JobPointer &job, const std::string &agent, const std::vector<PortionId> &portions)
{
    m_agents.closePortions(agent, portions,
                           guarded([this, job, agent](const absl::StatusOr<std::vector<PortionCharges>> &charges) {
                               handleCharges(job, agent, charges);
                           }));
}

void PortionCloser::handleCharges(const JobPointer &job, const std::string &agent,
                                  const absl::StatusOr<std::vector<PortionCharges>> &charges)
{
    if (charges.ok()) {
        job->unreachableSince.erase(agent);
        for (const PortionCharges &it : *charges) {
            if (const auto found = job->portions.find(it.portion); found != job->portions.end()) {
                found->second.proof.add(agent, it);
            }
        }
    } else {
        job->unreachableSince.try_emplace(agent, m_timers.now());
    }
    job->awaitedAgents.erase(agent);
    if (job->awaitedAgents.empty()) {
        evaluate(job);
    }
}

void PortionCloser::evaluate(const JobPointer &job)
{
    for (auto &[id, closing] : job->portions) {
        if (closing.stage == Stage::Proving) {
            evaluatePortion(job, id, closing);
        }
    }
    scheduleRound(job, drawPause(job->rounds));
}

void PortionCloser::evaluatePortion(const JobPointer &job, const PortionId &portion, Closing &closing)
{
    const std::set<std::string> missing = missingAgents(*job, closing);
    if (!missing.empty() || job->agents.empty()) {
        if (isWithholdDelayOver(*job, missing)) {
            withhold(job, portion, closing, missing.empty() ? "no agent is known" : "agents could not be asked",
                     missing);
        }
        return;
    }
    if (hasRuns(*job, closing)) {
        return;
    }
    if (closing.proof.provedTokens() < closing.reported) {
        // The holder reported charges that no agent remembers. An agent that is not listed any more must have made
        // them, and its charges after the holder's last report are lost.
        return withhold(job, portion, closing, "agents remember less than the holder reported", {});
    }
    const std::set<std::string> younger = closing.proof.agentsYoungerThan(ageOf(closing));
    if (!younger.empty()) {
        return withhold(job, portion, closing, "agents started after the portion was taken", younger);
    }
    if (const std::int64_t unproved = closing.proof.provisionalTokens(); unproved > 0) {
        return withhold(job, portion, closing, "requests may be billed by other runs", {}, unproved);
    }
    finish(job, portion, closing);
}

// This compares the wall clock of the holder's instance with that of this one, although wall clocks decide nothing
// elsewhere. A wrong clock can only cause tokens to be withheld that would otherwise be settled; it never frees tokens.
Duration PortionCloser::ageOf(const Closing &closing) const
{
    const std::int64_t age = m_timers.wallClockMilliseconds() - closing.takenAtMilliseconds;
    return std::chrono::milliseconds(std::max<std::int64_t>(age, 0));
}

std::set<std::string> PortionCloser::missingAgents(const Job &job, const Closing &closing) const
{
    std::set<std::string> missing;
    for (const std::string &agent : job.agents) {
        const bool isUnreachable = job.unreachableSince.contains(agent);
        if (!closing.proof.hasAnswerOf(agent) || (isUnreachable && closing.proof.hasRunsAt(agent))) {
            missing.insert(agent);
        }
    }
    return missing;
}

bool PortionCloser::isWithholdDelayOver(const Job &job, const std::set<std::string> &missing) const
{
    const Instant limit = m_timers.now() - m_settings.withholdAfter;
    if (missing.empty()) {
        // An empty list of agents does not prove that nothing ran: this process may not have discovered the agents yet.
        return job.startedAt <= limit;
    }
    return std::any_of(missing.begin(), missing.end(), [&](const std::string &agent) {
        const auto it = job.unreachableSince.find(agent);
        return it != job.unreachableSince.end() && it->second <= limit;
    });
}

bool PortionCloser::hasRuns(const Job &job, const Closing &closing) const
{
    return std::any_of(job.agents.begin(), job.agents.end(), [&](const std::string &agent) {
        return closing.proof.hasRunsAt(agent);
    });
}

void PortionCloser::finish(const JobPointer &job, const PortionId &portion, Closing &closing)
{
    closing.stage = Stage::Finishing;
    const std::int64_t proved = closing.proof.provedTokens();
    const auto change = std::make_shared<FinishCloseChange>(closing.budget, portion, proved);
    m_ledger.submit(closing.budget, change, Urgency::Urgent, guarded([this, job, portion](const absl::Status &status) {
                        handleFinished(job, portion, status);
                    }));
}

void PortionCloser::handleFinished(const JobPointer &job, const PortionId &portion, const absl::Status &status)
{
    if (status.ok()) {
        ++job->closed;
        return removeSettled(job, portion);
    }
    job->portions.at(portion).stage = Stage::Proving;
    scheduleRound(job, drawPause(job->rounds));
}

void PortionCloser::withhold(const JobPointer &job, const PortionId &portion, Closing &closing,
                             const std::string &reason, const std::set<std::string> &missing,
                             std::optional<std::int64_t> unproved)
{
    const std::int64_t proved = std::clamp(closing.proof.provedTokens(), closing.reported, closing.granted);
    closing.granted = std::min(closing.granted, unproved ? proved + *unproved : closing.granted);
    if (closing.isWithheld && closing.withheldProved == proved && closing.withheldMissingAgents == missing) {
        return;
    }
    closing.isWithheld = true;
    closing.withheldProved = proved;
    closing.withheldMissingAgents = missing;
    const std::vector<std::string> agents(missing.begin(), missing.end());
    const auto change = std::make_shared<WithholdChange>(closing.budget, portion, proved, unproved, reason, agents);
    m_ledger.submit(closing.budget, change, Urgency::Urgent, guarded([this, job](const absl::Status &) {
                        reportProgress(*job);
                    }));
}

void PortionCloser::scheduleRound(const JobPointer &job, Duration delay)
{
    const bool isDone = job->isBegun && job->portions.empty();
    if (job->timer != 0 || isDone) {
        return;
    }
    job->timer = m_timers.after(delay, [this, job] {
        job->timer = 0;
        if (!job->isBegun) {
            return begin(job);
        }
        startRound(job);
    });
}

Duration PortionCloser::drawPause(int rounds)
{
    const int doublings = std::min(std::max(rounds - 1, 0), kMaximumDoublings);
    const Duration whole = std::min(m_settings.longestPause, m_settings.firstPause * (1 << doublings));
    return whole / 2 + Duration(static_cast<Duration::rep>(m_random.below(whole.count() / 2 + 1)));
}

void PortionCloser::removeSettled(const JobPointer &job, const PortionId &portion)
{
    job->portions.erase(portion);
    reportProgress(*job);
    if (job->portions.empty()) {
        m_timers.cancel(job->timer);
        std::erase(m_jobs, job);
    }
}

void PortionCloser::reportProgress(const Job &job)
{
    CloseReport report;
    report.closed = job.closed;
    report.open = job.portions.size();
    for (const auto &[id, closing] : job.portions) {
        if (closing.isWithheld) {
            ++report.withheld;
            report.withheldTokens += closing.granted - closing.withheldProved;
        }
    }
    m_tasks.post([callback = job.callback, report] {
        callback(report);
    });
}

}
