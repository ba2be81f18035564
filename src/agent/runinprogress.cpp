#include "runinprogress.h"

#include "base/failure.h"

#include <algorithm>
#include <string>

namespace RadishSwitch
{

namespace
{

constexpr Duration kLongestRun = std::chrono::minutes(10);
constexpr std::string_view kEventStream = "text/event-stream";
constexpr int kTooManyRequests = 429;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool isServerError(int status)
{
    return status >= 500;
}

absl::Status endpointFailed(const std::string &message)
{
    return withUnknownOutcome(makeFailure(FailureCode::EndpointFailed, message));
}

}

RunInProgress::RunInProgress(const wire::RunRequest &request)
    : m_isChat(request.chat())
    , m_reservedTokens(request.reserved_tokens())
    , m_priorTokens(std::max<std::int64_t>(request.prior_completion_tokens(), 0))
    , m_priorBytes(request.prior_answer().size())
{
}

absl::Status RunInProgress::takeHead(const AnswerHead &head)
{
    m_status = head.status;
    m_isStreamed = m_isChat && isSuccess(head.status) && head.contentType.starts_with(kEventStream);
    if (m_isChat && (isServerError(head.status) || head.status == kTooManyRequests)) {
        return endpointFailed("the engine answered " + std::to_string(head.status));
    }
    return absl::OkStatus();
}

absl::Status RunInProgress::takeBytes(std::string_view bytes)
{
    if (!m_isStreamed) {
        return absl::OkStatus();
    }
    const absl::Status status = m_meter.append(bytes);
    return status.ok() ? status : endpointFailed(std::string(status.message()));
}

RunResult RunInProgress::finish(const absl::Status &end, std::string_view answer)
{
    // A connection that breaks after "[DONE]" has cut nothing off.
    const bool isWhole = end.ok() || (m_isStreamed && m_meter.isComplete());
    if (!isWhole) {
        return failed(end);
    }
    if (m_isChat && isSuccess(m_status)) {
        return finishChat(answer.substr(m_priorBytes));
    }
    RunResult result;
    result.usedTokens = m_isChat || isServerError(m_status) ? 0 : m_reservedTokens;
    return result;
}

RunResult RunInProgress::finishChat(std::string_view body)
{
    const absl::StatusOr<std::optional<ChatUsage>> usage = m_isStreamed ? m_meter.finish() : parseChatUsage(body);
    if (!usage.ok()) {
        return failed(endpointFailed(std::string(usage.status().message())));
    }
    if (*usage) {
        return withUsage(**usage);
    }
    // The whole answer is there, but the engine does not say what it cost. Billing nothing would give it away without
    // bound, so it costs what was set aside for it.
    RunResult result;
    result.usedTokens = m_reservedTokens;
    return result;
}

// An engine that continues an answer counts the part that it was given into the prompt. The request is billed as one:
// its own prompt once, and the whole answer.
RunResult RunInProgress::withUsage(const ChatUsage &usage) const
{
    const std::int64_t prior = std::min(m_priorTokens, usage.promptTokens);
    RunResult result;
    result.promptTokens = usage.promptTokens - prior;
    result.completionTokens = usage.completionTokens + prior;
    result.usedTokens = usage.promptTokens + usage.completionTokens;
    return result;
}

RunResult RunInProgress::failed(const absl::Status &status) const
{
    RunResult result;
    const bool isNotReached = m_status == 0 && outcomeOf(status) == RunOutcome::NotRun;
    result.status = isNotReached ? status : withUnknownOutcome(status);
    return result;
}

EndpointRequest RunInProgress::endpointRequest(const wire::RunRequest &request, Duration reachTimeout)
{
    EndpointRequest asked;
    asked.request = RequestId(request.request_id());
    asked.attempt = AttemptId(request.attempt_id());
    asked.method = request.method();
    asked.target = request.target();
    asked.contentType = request.content_type();
    asked.body = request.body();
    asked.priority = request.priority();
    asked.reachTimeout = reachTimeout;
    asked.firstByteTimeout = runDeadline(request);
    asked.silenceTimeout = runDeadline(request);
    return asked;
}

Duration RunInProgress::firstBytePatience(const wire::RunRequest &request, Duration usual)
{
    const bool isMadeWhole = request.chat() && !request.stream();
    return isMadeWhole ? runDeadline(request) : usual;
}

Duration runDeadline(const wire::RunRequest &request)
{
    const Duration::rep longest = std::chrono::duration_cast<std::chrono::milliseconds>(kLongestRun).count();
    return std::chrono::milliseconds(std::clamp<Duration::rep>(request.deadline_ms(), 0, longest));
}

}
