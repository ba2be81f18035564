#include "requests/chatmeter.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <vector>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view kDoneMarker = "[DONE]";
constexpr std::string_view kUsageKey = "\"usage\"";
/// Larger than any count that an engine reports, and small enough that the sum of two such counts cannot overflow.
constexpr std::int64_t kMaximumTokens = 1'000'000'000'000;
constexpr std::string_view kErrorStart = "{\"error\"";

// Whether a chunk may hold a usage or an error. Most chunks hold one token and no usage, or a null usage; parsing their
// JSON would cost more than all other work on the chunk.
bool needsParsing(std::string_view chunk)
{
    if (chunk.starts_with(kErrorStart)) {
        return true;
    }
    const std::size_t n = chunk.find(kUsageKey);
    if (n == std::string_view::npos) {
        return false;
    }
    const std::size_t value = chunk.find_first_not_of(": ", n + kUsageKey.size());
    return value == std::string_view::npos || !chunk.substr(value).starts_with("null");
}

std::optional<std::int64_t> tokensIn(const Json &usage, const char *name)
{
    const auto it = usage.find(name);
    if (it == usage.end()) {
        return 0;
    }
    const std::int64_t n = it->is_number_integer() ? it->get<std::int64_t>() : -1;
    if (n < 0 || n > kMaximumTokens) {
        return std::nullopt;
    }
    return n;
}

}

absl::StatusOr<std::optional<ChatUsage>> parseChatUsage(std::string_view json)
{
    const Json document = Json::parse(json, nullptr, false);
    if (!document.is_object()) {
        return makeFailure(FailureCode::MalformedMessage, "the completion is not a JSON object");
    }
    const auto error = document.find("error");
    if (error != document.end() && !error->is_null()) {
        return makeFailure(FailureCode::EndpointFailed, "the engine reported an error");
    }
    const auto usage = document.find("usage");
    if (usage == document.end() || usage->is_null()) {
        return std::nullopt;
    }
    if (!usage->is_object()) {
        return makeFailure(FailureCode::MalformedMessage, "the usage is not a JSON object");
    }
    const std::optional<std::int64_t> promptTokens = tokensIn(*usage, "prompt_tokens");
    const std::optional<std::int64_t> completionTokens = tokensIn(*usage, "completion_tokens");
    if (!promptTokens || !completionTokens) {
        return makeFailure(FailureCode::MalformedMessage, "the usage has invalid token counts");
    }
    return ChatUsage{*promptTokens, *completionTokens};
}

absl::Status ChatMeter::append(std::string_view bytes)
{
    std::vector<SseEvent> events;
    absl::Status status = m_scanner.scan(bytes, events);
    for (const SseEvent &event : events) {
        status.Update(handleEvent(event));
    }
    return status;
}

absl::Status ChatMeter::handleEvent(const SseEvent &event)
{
    if (event.data == kDoneMarker) {
        m_isComplete = true;
        return absl::OkStatus();
    }
    if (!needsParsing(event.data)) {
        return absl::OkStatus();
    }
    const absl::StatusOr<std::optional<ChatUsage>> usage = parseChatUsage(event.data);
    if (usage.ok() && *usage) {
        m_usage = *usage;
    }
    return usage.status();
}

bool ChatMeter::isComplete() const
{
    return m_isComplete;
}

absl::StatusOr<std::optional<ChatUsage>> ChatMeter::finish()
{
    if (!m_isComplete) {
        return makeFailure(FailureCode::EndpointFailed, "the stream ended without [DONE]");
    }
    return m_usage;
}

}
