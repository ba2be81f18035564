#pragma once

#include "agents/agentport.h"
#include "base/timerservice.h"
#include "requests/finishedruns.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// The start of an attempt, as far as the agent's decision needs it.
struct RunStart {
    RequestId request;
    AttemptId attempt;
    /// Empty for work that costs no tokens.
    PortionId portion;
    std::uint32_t shard = 0;
    /// Zero when the request carries no idempotency key.
    std::uint64_t epoch = 0;
    std::int64_t reservedTokens = 0;
    std::string fingerprint;
    bool isNonIdempotent = false;
    /// As in Grant.
    bool isProvisional = false;

    bool operator==(const RunStart &) const = default;
};

/// What to do with an attempt that is not refused.
struct RunDecision {
    enum class Action {
        /// The attempt is new and counts as running from now on.
        Start,
        /// The request runs or ran already: `record` names the attempt whose answer to send. Its state may be Done or
        /// Failed, and its answer may be gone.
        AttachToRunning,
    };

    Action action = Action::Start;
    RunRecord record;

    bool operator==(const RunDecision &) const = default;
};

struct RunTableSettings {
    /// How this agent is reached; goes into each record.
    std::string agentAddress;
    /// How long the full record of a run is kept after its end.
    Duration recordRetention = std::chrono::minutes(10);
    /// Beyond so many ended runs the oldest records are dropped early.
    std::size_t maximumEndedRecords = 100'000;
    /// How long, and how many, charges are kept one by one.
    Duration chargeRetention = std::chrono::minutes(10);
    std::size_t maximumCharges = 100'000;
    /// Beyond so many portions the total of the one charged longest ago is forgotten; `chargesCompleteSince` then
    /// moves.
    std::size_t maximumPortions = 500'000;
    FinishedRunsSettings finishedRuns = {};
};

/// The runs of one agent: which attempt may start, which must not any more, and what was charged to which portion.
///
/// Single-threaded: whoever owns it guards it. It reads the time but sets no timers; its owner calls `expire` every
/// few seconds.
///
/// Each attempt id starts at most once here, and each request that is running, done or non-idempotent has at most one
/// run. A refused attempt is barred, so that "not run" stays true when a copy of it comes late.
class RunTable
{
public:
    RunTable(const TimerService &timers, RunTableSettings settings);

    /// Decides on an attempt. KeyReusedForOtherBody, AttemptBarred, EndpointLeaving, StaleEpoch or PortionClosed when
    /// it is refused; the attempt is barred then.
    absl::StatusOr<RunDecision> start(const RunStart &start);

    /// Bars the attempt if it has not started, and gives its record after that. Barred is the proof that it did not
    /// and will not run; every other state means that it started.
    RunRecord bar(const RequestId &request, const AttemptId &attempt);

    /// All that is known of these requests, oldest attempt first. With an epoch above zero, runs of the shard with a
    /// lower epoch above zero are refused from now on; and with no requests named, all keyed runs of the shard are told
    /// that started and are still recorded.
    std::vector<RunRecord> findRuns(const std::vector<RequestId> &requests, std::uint32_t shard, std::uint64_t epoch);

    /// Refuses new runs on these portions from now on and tells what was charged to each and what still runs on it.
    std::vector<PortionCharges> closePortions(const std::vector<PortionId> &portions);

    /// Since when no charge has been forgotten: the start of this process, or later. What was charged to a portion
    /// that is older may be missing from `closePortions`, and must stay withheld.
    Instant chargesCompleteSince() const;

    /// The run has ended with its whole answer and used so many tokens. Gives what it is billed: no more than was
    /// reserved, and nothing without a portion.
    std::int64_t noteDone(const AttemptId &attempt, std::int64_t usedTokens);

    /// The run started and failed or was cancelled; it is billed nothing.
    void noteFailed(const AttemptId &attempt);

    /// The endpoint was never reached: nothing ran, and nothing will under this attempt id.
    void noteNotStarted(const AttemptId &attempt);

    /// The answer's bytes have been dropped.
    void noteAnswerGone(const AttemptId &attempt);

    /// From now on every new run is refused. There is no way back.
    void setLeaving();
    bool isLeaving() const;

    int runningCount() const;

    /// The record of an attempt; Unknown when there is none.
    RunRecord find(const RequestId &request, const AttemptId &attempt) const;

    /// The run of a request to whose answer a reader can be attached: running, done, or else the last that failed.
    /// Unknown when there is none.
    RunRecord findAttachable(const RequestId &request) const;

    /// Drops or folds what has been kept for long enough.
    void expire();

private:
    struct Ended {
        Instant at;
        RequestId request;
        AttemptId attempt;
    };
    struct KeptCharge {
        Instant at;
        PortionId portion;
        PortionCharges::Charge charge;
    };
    struct PortionBook {
        std::int64_t foldedTokens = 0;
        std::int64_t provisionalTokens = 0;
        Instant chargedAt;
    };

    absl::StatusOr<RunDecision> startUnseen(const RunStart &start);
    absl::Status whyNotNow(const RunStart &start) const;
    absl::Status refuse(const RunStart &start, absl::Status status);
    std::vector<RunRecord> runsOfShard(std::uint32_t shard) const;
    void addBarred(const RequestId &request, const AttemptId &attempt);
    void end(RunRecord &record, RunState state);
    void charge(const RunRecord &record);
    void foldOldestCharge();
    void dropOldestRecord();
    void dropOldestPortions();
    std::vector<const RunRecord *> recordsOf(const RequestId &request) const;

    const TimerService &m_timers;
    RunTableSettings m_settings;
    absl::flat_hash_map<AttemptId, RunRecord> m_runs;
    absl::flat_hash_map<RequestId, std::vector<AttemptId>> m_attemptsOfRequest;
    /// Keyed runs that started, for the next owner of their shard.
    absl::flat_hash_map<std::uint32_t, std::set<AttemptId>> m_attemptsOfShard;
    absl::flat_hash_set<AttemptId> m_running;
    std::deque<Ended> m_ended;
    FinishedRuns m_finished;
    /// Hashes of attempt ids, kept for the life of the process: an entry that was paused for hours sends its attempt
    /// when it wakes. A few thousand a day at 10 bytes.
    absl::flat_hash_set<std::uint64_t> m_barredAttempts;
    /// Hashes of portion ids, kept for the life of the process: a paused holder wakes with its portion still in hand.
    absl::flat_hash_set<std::uint64_t> m_closedPortions;
    absl::flat_hash_map<std::uint32_t, std::uint64_t> m_lowestEpochOfShard;
    std::deque<KeptCharge> m_charges;
    absl::flat_hash_map<PortionId, PortionBook> m_portions;
    Instant m_chargesCompleteSince;
    bool m_isLeaving = false;
};

}
