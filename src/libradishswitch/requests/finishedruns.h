#pragma once

#include "agents/agentport.h"
#include "base/timerservice.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <optional>

namespace RadishSwitch
{

/// Limits on what an agent remembers of runs whose full records it has dropped.
struct FinishedRunsSettings {
    /// A run is remembered for at least this time and at most twice this time.
    Duration retention = std::chrono::hours(24);
    /// A generation that reaches this size is closed early, so that a flood of requests cannot exhaust the memory.
    std::size_t maximumRunsPerGeneration = 500'000;
};

/// Compact records of runs that ended long ago: about 60 bytes for each run, in two generations.
///
/// An entry that was partitioned from the agent for an hour still asks what became of its attempt. If the agent had
/// forgotten the attempt, it would treat it as never seen, bar it and answer "never started", and the entry would
/// release a reservation whose tokens were spent. A retention of a day covers the partitions that the fleet must
/// tolerate. Ids are stored as 64-bit hashes. A hash collision is safe: it makes a run known that was not.
class FinishedRuns
{
public:
    FinishedRuns(const TimerService &timers, FinishedRunsSettings settings);

    void remember(const RunRecord &record);

    /// The record of this attempt, if it is remembered. It has no portion and no answer.
    std::optional<RunRecord> find(const RequestId &request, const AttemptId &attempt) const;

    /// The run of this request that a new attempt must not repeat: a run that is done, or a non-idempotent run that
    /// started. Its attempt id is not stored, so the record's attempt is empty.
    std::optional<RunRecord> findStarted(const RequestId &request) const;

    std::size_t size() const;

private:
    struct FinishedRun {
        std::uint64_t attempt = 0;
        std::int64_t chargedTokens = 0;
        RunState state = RunState::Unknown;
        bool isNonIdempotent = false;
    };
    using Generation = absl::flat_hash_map<std::uint64_t, absl::InlinedVector<FinishedRun, 1>>;

    void rotateIfDue();
    static RunRecord toRecord(const RequestId &request, const AttemptId &attempt, const FinishedRun &run);

    const TimerService &m_timers;
    FinishedRunsSettings m_settings;
    Generation m_current;
    Generation m_previous;
    Instant m_rotatedAt;
};

}
