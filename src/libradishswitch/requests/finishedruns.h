#pragma once

#include "agents/agentport.h"
#include "base/timerservice.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <cstdint>
#include <optional>

namespace RadishSwitch
{

/// How much an agent remembers of runs whose full records it has dropped.
struct FinishedRunsSettings {
    /// A run is remembered for at least this long and at most twice as long.
    Duration retention = std::chrono::hours(24);
    /// A full generation is closed early, so that a flood of requests cannot take the memory.
    std::size_t maximumRunsPerGeneration = 500'000;
};

/// The short memory of runs that ended long ago: some 60 bytes a run, in two generations.
///
/// An entry that was cut off for an hour still asks what became of its attempt. If the agent had forgotten it, it would
/// take the attempt as never seen, bar it and answer "never started"; the entry would then free a reservation that was
/// spent. A day covers the partitions for which the fleet is made; names are kept as 64-bit hashes, and a chance
/// collision errs to the safe side, since it makes a run known that was not.
class FinishedRuns
{
public:
    FinishedRuns(const TimerService &timers, FinishedRunsSettings settings);

    void remember(const RunRecord &record);

    /// What became of this attempt. The record has no portion and no answer.
    std::optional<RunRecord> find(const RequestId &request, const AttemptId &attempt) const;

    /// The run of this request that a new attempt must not repeat: one that is done, or a non-idempotent one that
    /// started. Its attempt id is not known any more and left empty.
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
    Generation m_young;
    Generation m_old;
    Instant m_rotatedAt;
};

}
