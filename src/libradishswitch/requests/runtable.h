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

/// The parts of a run's start on which the agent's decision depends.
struct RunStart {
    RequestId request;
    AttemptId attempt;
    /// Empty when the run costs no tokens.
    PortionId portion;
    std::uint32_t shard = 0;
    /// Zero when the request has no idempotency key.
    std::uint64_t epoch = 0;
    std::int64_t reservedTokens = 0;
    std::string fingerprint;
    bool isNonIdempotent = false;
    /// See Grant::isProvisional.
    bool isProvisional = false;

    bool operator==(const RunStart &) const = default;
};

/// What the agent does with an attempt that it does not refuse.
struct RunDecision {
    enum class Action {
        /// The attempt is new and counts as running from now on.
        Start,
        /// The request is running or has run: `record` names the attempt whose answer is sent. Its state may be Done or
        /// Failed, and its answer may have been evicted.
        AttachToRunning,
    };

    Action action = Action::Start;
    RunRecord record;

    bool operator==(const RunDecision &) const = default;
};

struct RunTableSettings {
    /// The address at which this agent is reached, copied into each record.
    std::string agentAddress;
    /// How long the full record of a run is kept after its end.
    Duration recordRetention = std::chrono::minutes(10);
    /// The most records of ended runs. Beyond it the oldest records are dropped early.
    std::size_t maximumEndedRecords = 100'000;
    /// How long each charge is kept as a separate entry, and how many entries there are at most. Older charges are
    /// added to the total of their portion.
    Duration chargeRetention = std::chrono::minutes(10);
    std::size_t maximumCharges = 100'000;
    /// The most portions whose totals are kept. Beyond it the totals that were charged longest ago are forgotten, and
    /// `chargesCompleteSince` moves forward.
    std::size_t maximumPortions = 500'000;
    FinishedRunsSettings finishedRuns = {};
};

/// The runs of one agent: which attempts may start, which are barred, and what was charged to which portion.
///
/// Single-threaded: the owner must serialise the calls. The table reads the time but sets no timers; its owner calls
/// `expire` every few seconds.
///
/// Each attempt id starts at most once at this agent. A request that is running, done or non-idempotent has at most one
/// run. A refused attempt is barred, so that "not run" stays true when the same message arrives again later.
class RunTable
{
public:
    RunTable(const TimerService &timers, RunTableSettings settings);

    /// Decides on an attempt. When it is refused, with KeyReusedForOtherBody, AttemptBarred, EndpointLeaving,
    /// StaleEpoch or PortionClosed, the attempt is barred.
    absl::StatusOr<RunDecision> start(const RunStart &start);

    /// Bars the attempt if it has not started, and returns its record. The state Barred proves that the attempt did not
    /// run and never will; every other state means that it started.
    RunRecord bar(const RequestId &request, const AttemptId &attempt);

    /// The records of these requests, oldest attempt first. With an epoch above zero, runs of the shard with a lower
    /// epoch above zero are refused from now on. With an epoch and no requests, returns all keyed runs of the shard
    /// that started and are still recorded.
    std::vector<RunRecord> findRuns(const std::vector<RequestId> &requests, std::uint32_t shard, std::uint64_t epoch);

    /// Refuses new runs on these portions from now on. Returns what was charged to each portion and the runs that are
    /// still running on it.
    std::vector<PortionCharges> closePortions(const std::vector<PortionId> &portions);

    /// The time since which no charge has been forgotten: the start of this process, or later. For a portion older than
    /// this, `closePortions` may miss charges, so the missing part must stay withheld.
    Instant chargesCompleteSince() const;

    /// Records that a run ended with its complete answer and used this many tokens. Returns the tokens that it is
    /// billed: at most the reserved tokens, and none without a portion.
    std::int64_t noteDone(const AttemptId &attempt, std::int64_t usedTokens);

    /// Records that a run started and failed or was cancelled. It is billed nothing.
    void noteFailed(const AttemptId &attempt);

    /// Records that the endpoint was never reached: nothing ran, and this attempt id never will.
    void noteNotStarted(const AttemptId &attempt);

    /// Records that the answer's bytes were evicted.
    void noteAnswerGone(const AttemptId &attempt);

    /// Refuses every new run from now on. It cannot be undone.
    void setLeaving();

    int runningCount() const;

    /// The record of an attempt; its state is Unknown when there is none.
    RunRecord find(const RequestId &request, const AttemptId &attempt) const;

    /// The run of a request whose answer a reader can receive: one that is running or done, or else the last that
    /// failed. Its state is Unknown when there is none.
    RunRecord findAttachable(const RequestId &request) const;

    /// Drops the records, and adds up the charges, whose retention has passed.
    void expire();

private:
    struct Ended {
        Instant at;
        RequestId request;
        AttemptId attempt;
    };
    struct RecentCharge {
        Instant at;
        PortionId portion;
        PortionCharges::Charge charge;
    };
    struct PortionTotals {
        std::int64_t foldedTokens = 0;
        std::int64_t provisionalTokens = 0;
        Instant chargedAt;
    };

    absl::StatusOr<RunDecision> startNew(const RunStart &start);
    absl::Status checkMayStart(const RunStart &start) const;
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
    /// Keyed runs that started, which are reported to the next owner of their shard.
    absl::flat_hash_map<std::uint32_t, std::set<AttemptId>> m_attemptsOfShard;
    absl::flat_hash_set<AttemptId> m_running;
    std::deque<Ended> m_ended;
    FinishedRuns m_finished;
    /// Hashes of barred attempt ids, kept until the process ends, because an entry that was paused for hours sends its
    /// attempt when it resumes. A few thousand a day, 10 bytes each.
    absl::flat_hash_set<std::uint64_t> m_barredAttempts;
    /// Hashes of closed portion ids, kept until the process ends, because a paused holder resumes and goes on using its
    /// portion.
    absl::flat_hash_set<std::uint64_t> m_closedPortions;
    absl::flat_hash_map<std::uint32_t, std::uint64_t> m_lowestEpochOfShard;
    std::deque<RecentCharge> m_charges;
    absl::flat_hash_map<PortionId, PortionTotals> m_portions;
    Instant m_chargesCompleteSince;
    bool m_isLeaving = false;
};

}
