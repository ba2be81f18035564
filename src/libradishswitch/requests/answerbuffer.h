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

/// The status and content type with which an endpoint's answer begins.
struct AnswerHead {
    int status = 0;
    std::string contentType;

    bool operator==(const AnswerHead &) const = default;
};

/// How a run ended, as reported to every reader of its answer.
struct AnswerEnd {
    /// OK when the answer is complete.
    absl::Status status;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    std::int64_t chargedTokens = 0;

    bool operator==(const AnswerEnd &) const = default;
};

/// The answer of one run: the bytes that the endpoint has sent so far, unchanged.
struct BufferedAnswer {
    std::optional<AnswerHead> head;
    std::string bytes;
    std::optional<AnswerEnd> end;
    /// Whether a reader has received the complete answer.
    bool isFetched = false;
};

struct AnswerBufferSettings {
    /// Limit in bytes for all answers together. When it is exceeded, the oldest finished answers are evicted; a running
    /// answer is never evicted.
    std::size_t maximumBytes = 128 * 1024 * 1024;
    /// Limit in bytes for one answer.
    std::size_t maximumAnswerBytes = 16 * 1024 * 1024;
    /// How long an answer is kept after the end of its run.
    Duration retention = std::chrono::minutes(10);
};

/// The answers of one agent's runs. They are kept so that a caller's retry receives the complete answer when the entry
/// of its first try failed.
///
/// Single-threaded, like the run table that is used with it. Offsets count from the first byte of the endpoint's body
/// and stay valid as long as the answer is kept.
class AnswerBuffer
{
public:
    AnswerBuffer(const TimerService &timers, AnswerBufferSettings settings);

    /// Begins an empty answer. Overloaded when running answers alone fill the buffer.
    absl::Status open(const AttemptId &attempt);

    void setHead(const AttemptId &attempt, AnswerHead head);

    /// Appends bytes to a running answer. MessageTooLarge when the answer would exceed the limit for one answer;
    /// RunUnknown when no running answer has this attempt id.
    absl::Status append(const AttemptId &attempt, std::string_view bytes);

    /// Ends an answer; its retention begins.
    void finish(const AttemptId &attempt, AnswerEnd end);

    /// Records that a reader has received the last byte.
    void noteFetched(const AttemptId &attempt);

    /// The answer, or null when it was never opened or has been evicted.
    const BufferedAnswer *find(const AttemptId &attempt) const;

    /// At most `limit` bytes from `offset` on; empty when the answer has no bytes there yet. AnswerGone when the answer
    /// is not kept, InvalidRequest when the offset is past the bytes received so far. The view is valid until the next
    /// call of a non-const method.
    absl::StatusOr<std::string_view> read(const AttemptId &attempt, std::uint64_t offset, std::size_t limit) const;

    /// Evicts answers whose retention has passed.
    void expire();

    /// The attempts whose answers were evicted since the last call.
    std::vector<AttemptId> takeEvicted();

    /// Whether an answer that ended within the last `span` has not yet been received completely by any reader.
    bool hasUnfetchedSince(Duration span) const;

    std::size_t totalBytes() const;

private:
    struct Finished {
        Instant at;
        AttemptId attempt;
    };

    void evictToFit();
    void evictOldest();

    const TimerService &m_timers;
    AnswerBufferSettings m_settings;
    absl::flat_hash_map<AttemptId, BufferedAnswer> m_answers;
    std::deque<Finished> m_finished;
    std::vector<AttemptId> m_evicted;
    std::size_t m_totalBytes = 0;
};

}
