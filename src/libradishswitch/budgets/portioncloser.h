#pragma once

#include "agents/agentport.h"
#include "budgets/beginclosechange.h"
#include "budgets/ledger.h"
#include "budgets/portionclosersettings.h"
#include "budgets/portionproof.h"

#include <set>

namespace RadishSwitch
{

/// Progress of closing the portions of one holder in one shard.
struct CloseReport {
    /// Portions that were settled by the charges that the agents reported.
    std::size_t closed = 0;
    /// Portions that are not settled yet, including withheld ones.
    std::size_t open = 0;
    std::size_t withheld = 0;
    /// Tokens in withheld portions that are not proved to be spent.
    std::int64_t withheldTokens = 0;

    bool operator==(const CloseReport &) const = default;
};

/// Closes the portions of a dead holder by the charges that the agents report.
///
/// First the ledger closes the portion to its holder. Then every agent is told to start no new run on the portion, and
/// to report the charges to it. From then on the sum can only grow by runs that are still in progress, and the closer
/// waits for these. A holder that is only paused loses nothing but the portion: the agents refuse its later runs on it
/// as "not run". When two closers work at the same time, both arrive at the same sum, and the portion is settled once.
///
/// The class is single-threaded; the ledger and the agents answer in the same context.
class PortionCloser
{
public:
    using Callback = std::function<void(const CloseReport &)>;

    PortionCloser(Ledger &ledger, AgentPort &agents, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                  const PortionCloserSettings &settings);
    ~PortionCloser();

    PortionCloser(const PortionCloser &) = delete;
    PortionCloser &operator=(const PortionCloser &) = delete;

    /// Closes every portion that `holder` has in a shard now, and continues until each is settled. `callback` is called
    /// through the task queue each time a portion was settled or withheld, and once when the holder has no portion
    /// there. While this goes on, a second call for the same holder and shard has no effect and drops its `callback`.
    ///
    /// Tokens that a holder withheld itself belong to no holder and are not touched: with an empty `holder` nothing is
    /// done.
    ///
    /// A holder that was closed while it was alive may take new portions afterwards. It must be closed again when it
    /// dies.
    void closeHolder(const IncarnationId &holder, std::uint32_t shard, Callback callback);

    /// Number of pairs of a holder and a shard that are being closed.
    std::size_t openJobs() const;

private:
    enum class Stage {
        Proving,
        /// A FinishCloseChange has been submitted.
        Finishing,
    };

    struct Closing {
        BudgetId budget;
        Stage stage = Stage::Proving;
        std::int64_t granted = 0;
        std::int64_t reported = 0;
        std::int64_t takenAtMilliseconds = 0;
        PortionProof proof;
        bool isWithheld = false;
        std::int64_t withheldProved = 0;
        std::set<std::string> withheldMissingAgents;
    };

    struct Job {
        IncarnationId holder;
        std::uint32_t shard = 0;
        Callback callback;
        Instant startedAt{};
        bool isBegun = false;
        std::map<PortionId, Closing> portions;
        /// Every agent that was known during the job. An agent that is no longer listed may still have runs in
        /// progress.
        std::set<std::string> agents;
        /// Agents that did not answer the last query, with the time of the first query in a row that failed.
        std::map<std::string, Instant> unreachableSince;
        /// Agents whose answers the current round waits for.
        std::set<std::string> awaitedAgents;
        std::size_t closed = 0;
        int rounds = 0;
        TimerId timer = 0;
    };

    using JobPointer = std::shared_ptr<Job>;

    void begin(const JobPointer &job);
    void handleBegun(const JobPointer &job, const BeginCloseChange &change, const absl::Status &status);
    void startRound(const JobPointer &job);
    std::vector<PortionId> portionsToAsk(const Job &job, const std::string &agent) const;
    void ask(const JobPointer &job, const std::string &agent, const std::vector<PortionId> &portions);
    void handleCharges(const JobPointer &job, const std::string &agent,
                       const absl::StatusOr<std::vector<PortionCharges>> &charges);
    void evaluate(const JobPointer &job);
    void evaluatePortion(const JobPointer &job, const PortionId &portion, Closing &closing);
    std::set<std::string> missingAgents(const Job &job, const Closing &closing) const;
    bool isWithholdDelayOver(const Job &job, const std::set<std::string> &missing) const;
    bool hasRuns(const Job &job, const Closing &closing) const;
    void finish(const JobPointer &job, const PortionId &portion, Closing &closing);
    void handleFinished(const JobPointer &job, const PortionId &portion, const absl::Status &status);
    /// Withholds all unproved tokens of a portion, or at most `unproved` of them when that bound is known.
    void withhold(const JobPointer &job, const PortionId &portion, Closing &closing, const std::string &reason,
                  const std::set<std::string> &missing, std::optional<std::int64_t> unproved = std::nullopt);
    Duration ageOf(const Closing &closing) const;
    void scheduleRound(const JobPointer &job, Duration delay);
    Duration drawPause(int rounds);
    void removeSettled(const JobPointer &job, const PortionId &portion);
    void reportProgress(const Job &job);

    /// Wraps a handler so that it does nothing after the closer was destroyed.
    template<typename Handler>
    auto guarded(Handler handler)
    {
        return [alive = std::weak_ptr<int>(m_alive), handler = std::move(handler)](const auto &answer) {
            if (!alive.expired()) {
                handler(answer);
            }
        };
    }

    Ledger &m_ledger;
    AgentPort &m_agents;
    TimerService &m_timers;
    TaskQueue &m_tasks;
    RandomSource &m_random;
    PortionCloserSettings m_settings;
    Instant m_startedAt;
    std::vector<JobPointer> m_jobs;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

}
