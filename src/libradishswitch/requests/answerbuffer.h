#pragma once

#include "base/identifier.h"
#include "base/timerservice.h"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// How an endpoint's answer begins.
struct AnswerHead {
    int status = 0;
    std::string contentType;

    bool operator==(const AnswerHead &) const = default;
};

/// How a run ended, as every reader of its answer is told.
struct AnswerEnd {
    /// OK when the answer is whole.
    absl::Status status;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    std::int64_t chargedTokens = 0;

    bool operator==(const AnswerEnd &) const = default;
};

/// The answer of one run: what the endpoint sent, byte for byte, as far as it has come.
struct KeptAnswer {
    std::optional<AnswerHead> head;
    std::string bytes;
    std::optional<AnswerEnd> end;
    /// Whether a reader got all of it.
    bool isFetched = false;
};

struct AnswerBufferSettings {
    /// All answers together. The oldest finished ones give way; a running one never does.
    std::size_t maximumBytes = 128 * 1024 * 1024;
    /// One answer.
    std::size_t maximumAnswerBytes = 16 * 1024 * 1024;
    /// How long an answer is kept after its run's end.
    Duration retention = std::chrono::minutes(10);
};

/// The answers of one agent's runs, kept so that a caller's retry gets the whole of one that its entry lost.
///
/// Single-threaded, as the run table beside it. Offsets count from the first byte of the endpoint's body and stay the
/// same for the life of the answer.
class AnswerBuffer
{
public:
    AnswerBuffer(const TimerService &timers, AnswerBufferSettings settings);

    /// Begins an empty answer. Overloaded when running answers alone fill the buffer.
    absl::Status open(const AttemptId &attempt);

    void setHead(const AttemptId &attempt, AnswerHead head);

    /// Adds bytes to a running answer. MessageTooLarge when it grows past the bound for one answer; RunUnknown when it
    /// is not running here.
    absl::Status append(const AttemptId &attempt, std::string_view bytes);

    /// Ends an answer; its time to be kept begins.
    void finish(const AttemptId &attempt, AnswerEnd end);

    /// A reader has had the last byte.
    void noteFetched(const AttemptId &attempt);

    /// The answer, or nothing when it was never opened or is gone.
    const KeptAnswer *find(const AttemptId &attempt) const;

    /// At most `limit` bytes from `offset` on; empty when there are none yet. AnswerGone when the answer is not kept,
    /// InvalidRequest when the offset is past what there is. Valid until the next call that is not const.
    absl::StatusOr<std::string_view> read(const AttemptId &attempt, std::uint64_t offset, std::size_t limit) const;

    /// Drops answers that have been kept for long enough.
    void expire();

    /// The answers dropped since this was last asked.
    std::vector<AttemptId> takeDropped();

    /// Whether an answer that ended within `span` still waits for a reader who gets all of it.
    bool hasUnfetchedSince(Duration span) const;

    std::size_t totalBytes() const;

private:
    struct Finished {
        Instant at;
        AttemptId attempt;
    };

    void makeRoom();
    void dropOldest();

    const TimerService &m_timers;
    AnswerBufferSettings m_settings;
    absl::flat_hash_map<AttemptId, KeptAnswer> m_answers;
    std::deque<Finished> m_finished;
    std::vector<AttemptId> m_dropped;
    std::size_t m_totalBytes = 0;
};

}
