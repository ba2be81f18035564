#pragma once

#include "base/timerservice.h"
#include "endpoint.h"
#include "requests/answerbuffer.h"
#include "requests/chatmeter.h"
#include "wire.h"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace RadishSwitch
{

/// How a run ended at the endpoint and what it used.
struct RunResult {
    /// OK when the answer is whole. "Not run" when the endpoint was not reached.
    absl::Status status;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// What the endpoint's work comes to in tokens, before the cap of the reservation.
    std::int64_t usedTokens = 0;

    bool operator==(const RunResult &) const = default;
};

/// One run between its start and its end: judges what the endpoint answers. Guarded by its owner.
///
/// A chat completion is whole when its usage can be read and, if streamed, "[DONE]" has come. An engine's 5xx or 429 is
/// a failure, not an answer: another engine may do better. A plain service's answer is passed on whatever it says, and
/// costs the reserved price unless it is a 5xx.
class RunInProgress
{
public:
    explicit RunInProgress(const wire::RunRequest &request);

    /// EndpointFailed when the head alone makes the run fail.
    absl::Status takeHead(const AnswerHead &head);

    /// Follows a streamed completion; the errors of `ChatMeter`.
    absl::Status takeBytes(std::string_view bytes);

    /// Judges the end. `answer` is all that is kept: what an earlier attempt delivered, and what came here.
    RunResult finish(const absl::Status &end, std::string_view answer);

    /// What the endpoint is asked. Its silence ends no answer before the run's deadline: only the entry knows whether
    /// the run can go on elsewhere.
    static EndpointRequest endpointRequest(const wire::RunRequest &request, Duration reachTimeout);

    /// The time to the first byte after which the endpoint counts as silent; the run's own deadline where the first
    /// byte comes when all of the answer is made.
    static Duration firstBytePatience(const wire::RunRequest &request, Duration usual);

    std::shared_ptr<EndpointCall> call;
    TimerId deadlineTimer = 0;
    TimerId silenceTimer = 0;
    /// How long nothing may come before that is told.
    Duration patience{};
    Instant startedAt;
    Instant heardAt;
    bool hasBytes = false;

private:
    RunResult failed(const absl::Status &status) const;
    RunResult finishChat(std::string_view body);
    RunResult withUsage(const ChatUsage &usage) const;

    bool m_isChat;
    std::int64_t m_reservedTokens;
    std::int64_t m_priorTokens;
    std::size_t m_priorBytes;
    int m_status = 0;
    bool m_isStreamed = false;
    ChatMeter m_meter;
};

/// The time that a run may take: up to its request's deadline, within a bound.
Duration runDeadline(const wire::RunRequest &request);

}
