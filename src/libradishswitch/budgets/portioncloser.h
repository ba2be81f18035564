#pragma once

#include "agents/agentport.h"
#include "budgets/beginclosechange.h"
#include "budgets/ledger.h"
#include "budgets/portionclosersettings.h"
#include "budgets/portionproof.h"

#include <set>

namespace RadishSwitch
{

/// How the closing of a holder's portions in one shard stands.
struct CloseReport {
    /// Portions settled by what was proved.
    std::size_t closed = 0;
    /// Portions not settled yet, the withheld ones among them.
    std::size_t open = 0;
    std::size_t withheld = 0;
    /// Tokens in withheld portions that are not proved to be spent.
    std::int64_t withheldTokens = 0;

    bool operator==(const CloseReport &) const = default;
};

/// Closes the portions of a dead holder by what the agents prove.
///
/// First the ledger takes the portion away from its holder, then every agent is told to let no new run on it and to
/// tell what was charged to it. After that the sum can only grow by runs that go on, and these are waited for. A holder
/// that is not dead but paused loses nothing but the portion: its later runs on it are refused by the agents as "not
/// run". Two closers at once prove the same and settle once.
///
/// Single-threaded; answers of ledger and agents come under the same guard.
class PortionCloser
{
public:
    using Callback = std::function<void(const CloseReport &)>;

    PortionCloser(Ledger &ledger, AgentPort &agents, TimerService &timers, TaskQueue &tasks, RandomSource &random,
                  const PortionCloserSettings &settings);
    ~PortionCloser();

    PortionCloser(const PortionCloser &) = delete;
    PortionCloser &operator=(const PortionCloser &) = delete;

    /// Closes every portion that `holder` has in a shard now, and goes on until each is settled. `callback` comes
    /// through the task queue each time a portion was settled or withheld; when there is no portion, once. Asked again
    /// for the same holder and shard while that goes on, it does nothing more and drops `callback`.
    ///
    /// Tokens that a holder withheld itself have no holder and are left alone: for an empty `holder` nothing is done.
    ///
    /// A holder that was closed while it lived may take fresh portions afterwards; when it does die, it must be closed
    /// again.
    void closeHolder(const IncarnationId &holder, std::uint32_t shard, Callback callback);

    /// Holders and shards that are being worked on.
    std::size_t openJobs() const;

private:
    enum class Stage {
        Proving,
        /// FinishClose is on its way.
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
        /// Every agent ever heard of during the job: one that has left the list may still hold runs.
        std::set<std::string> agents;
        /// Agents that did not answer when they were last asked, and since when.
        std::map<std::string, Instant> unreachableSince;
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
    /// Withholds all that is not proved, or no more than `unproved` when that bound is known.
    void withhold(const JobPointer &job, const PortionId &portion, Closing &closing, const std::string &reason,
                  const std::set<std::string> &missing, std::optional<std::int64_t> unproved = std::nullopt);
    Duration ageOf(const Closing &closing) const;
    void scheduleRound(const JobPointer &job, Duration delay);
    Duration drawPause(int rounds);
    void removeSettled(const JobPointer &job, const PortionId &portion);
    void reportProgress(const Job &job);

    /// Wraps a handler so that it does nothing once the closer is gone.
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
