#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace RadishSwitch
{

enum class CallKind {
    /// A chat completion.
    Chat,
    /// A plain call that may be repeated.
    Lookup,
    /// A plain call that may not be repeated.
    Order,
};

/// How one try ended for the caller.
enum class TryOutcome {
    /// The whole answer, and its own.
    Whole,
    /// An error answer.
    Refused,
    /// The connection or the stream ended before the answer did.
    Cut,
    /// An answer that isn't the request's own, or not in order.
    Mixed,
    /// Nothing came for the caller's whole patience.
    TimedOut,
    /// No connection was made, so nothing was sent.
    NotConnected,
};

/// What a refusal said about the run.
enum class ToldOutcome {
    Nothing,
    NotRun,
    Unknown,
};

/// The number from which a call that is sent twice at once counts the tries of the second.
constexpr int kFirstDuplicateNumber = 100;

/// What a caller saw of one try. Times are microseconds since 1970, spans microseconds.
struct TryRecord {
    std::string id;
    int number = 0;
    std::string key;
    std::string organisation;
    std::string budget;
    CallKind kind = CallKind::Chat;
    bool isStreamed = false;
    /// The name under which the stand-ins know the work.
    std::string contentHash;
    std::string target;
    std::int64_t startTime = 0;
    std::int64_t endTime = 0;
    TryOutcome outcome = TryOutcome::NotConnected;
    int status = 0;
    std::string code;
    ToldOutcome told = ToldOutcome::Nothing;
    /// Whether the answer said when to come back.
    bool isRetryAfterGiven = false;
    /// What the answer's usage told; zero when it told nothing.
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// What the request can cost at most for one who does not know the tokeniser: the bytes of its prompt, and its
    /// limit.
    std::int64_t worstCaseTokens = 0;
    /// What it really costs.
    std::int64_t trueCostTokens = 0;
    /// Whether the usage was what the answer really cost.
    bool isUsageRight = true;
    std::int64_t firstTokenSpan = 0;
    std::int64_t longestGap = 0;
    /// Whether the caller gave the request up after this try, or was satisfied.
    bool isLast = false;

    bool operator==(const TryRecord &) const = default;
};

std::string_view toString(CallKind kind);
std::string_view toString(TryOutcome outcome);
std::string_view toString(ToldOutcome told);

/// One line of JSON.
std::string toJson(const TryRecord &record);

/// Reads a line. MalformedMessage when it is none.
absl::StatusOr<TryRecord> tryRecordOfJson(std::string_view line);

}
