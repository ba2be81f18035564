#include "chatstreamrelay.h"

#include "apierror.h"
#include "base/failure.h"
#include "wholeanswer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr char kDone[] = "[DONE]";
constexpr char kEventStream[] = "text/event-stream";

void appendEvent(std::string &out, const std::string &data)
{
    out += "data: ";
    out += data;
    out += "\n\n";
}

// The chunk at a stream's end that carries the usage has no choices. Parsed only when it may be one: a token's chunk
// has no such member, and there are millions of them.
bool isUsageChunk(const std::string &data)
{
    if (data.find("\"usage\"") == std::string::npos) {
        return false;
    }
    const Json json = Json::parse(data, nullptr, false);
    return json.is_object() && json.contains("usage") && json["usage"].is_object()
        && (!json.contains("choices") || json["choices"].empty());
}

const Json *deltaOf(const Json &json)
{
    if (!json.is_object() || !json.contains("choices") || !json["choices"].is_array() || json["choices"].empty()) {
        return nullptr;
    }
    const Json &choice = json["choices"].front();
    return choice.is_object() && choice.contains("delta") && choice["delta"].is_object() ? &choice["delta"] : nullptr;
}

std::string contentOf(const std::string &data)
{
    const Json json = Json::parse(data, nullptr, false);
    const Json *delta = deltaOf(json);
    if (delta == nullptr || !delta->contains("content") || !(*delta)["content"].is_string()) {
        return {};
    }
    return (*delta)["content"].get<std::string>();
}

std::vector<SseEvent> eventsIn(const std::string &bytes)
{
    SseScanner scanner;
    std::vector<SseEvent> events;
    (void)scanner.scan(bytes, events);
    return events;
}

}

ChatStreamRelay::ChatStreamRelay(HttpExchange &exchange, std::string requestId, bool isStreamed, bool passesUsage)
    : m_exchange(exchange)
    , m_requestId(std::move(requestId))
    , m_isStreamed(isStreamed)
    , m_passesUsage(passesUsage || !isStreamed)
{
}

void ChatStreamRelay::setHead(int status, const std::string &contentType)
{
    m_status = status;
    m_contentType = contentType;
}

boost::asio::awaitable<absl::Status> ChatStreamRelay::append(std::string data)
{
    if (isPassedAsItIs()) {
        m_errorBody += data;
        co_return absl::OkStatus();
    }
    m_events.clear();
    if (const absl::Status status = m_scanner.scan(data, m_events); !status.ok()) {
        co_return status;
    }
    std::string out;
    for (const SseEvent &event : m_events) {
        take(event, out);
    }
    if (out.empty()) {
        co_return absl::OkStatus();
    }
    if (!m_isStreamed) {
        m_delivered += out;
        co_return absl::OkStatus();
    }
    if (const absl::Status status = co_await beginStream(); !status.ok()) {
        co_return status;
    }
    m_delivered += out;
    co_return co_await m_exchange.write(std::move(out));
}

// An engine may answer without a stream: with an error, or because it knows none.
bool ChatStreamRelay::isPassedAsItIs() const
{
    return m_status != kOk || (!m_isStreamed && !m_contentType.starts_with(kEventStream));
}

// A second head inside a stream would be read as a part of the answer, and what another engine says of a part that the
// caller never saw is no answer to its question.
bool ChatStreamRelay::canEndAsItBegan() const
{
    return !isPassedAsItIs() || (!m_isStreaming && !hasDelivered());
}

// An answer may end without an event, and its stream is begun by its end then.
boost::asio::awaitable<absl::Status> ChatStreamRelay::beginStream()
{
    if (std::exchange(m_isStreaming, true)) {
        co_return absl::OkStatus();
    }
    HttpHeaders headers{{"Content-Type", kEventStream}, {"Cache-Control", "no-cache"}};
    headers.add("X-Request-Id", m_requestId);
    co_return co_await m_exchange.beginStream(kOk, std::move(headers));
}

boost::asio::awaitable<absl::Status> ChatStreamRelay::finish()
{
    if (!canEndAsItBegan()) {
        co_return withUnknownOutcome(
            makeFailure(FailureCode::EndpointFailed, "the endpoint refused to go on with the answer"));
    }
    if (isPassedAsItIs()) {
        HttpResponse response{m_status, HttpHeaders{{"Content-Type", m_contentType}}, std::move(m_errorBody)};
        response.headers.add("X-Request-Id", m_requestId);
        co_return co_await m_exchange.respond(std::move(response));
    }
    if (!m_isStreamed) {
        co_return co_await respondWhole();
    }
    if (const absl::Status status = co_await beginStream(); !status.ok()) {
        co_return status;
    }
    std::string out;
    appendEvent(out, kDone);
    if (const absl::Status status = co_await m_exchange.write(std::move(out)); !status.ok()) {
        co_return status;
    }
    co_return co_await m_exchange.endStream();
}

boost::asio::awaitable<absl::Status> ChatStreamRelay::respondWhole()
{
    WholeAnswer answer;
    for (const SseEvent &event : eventsIn(m_delivered)) {
        answer.add(event.data);
    }
    absl::StatusOr<std::string> body = answer.body();
    if (!body.ok()) {
        co_return body.status();
    }
    HttpResponse response{kOk, HttpHeaders{{"Content-Type", "application/json"}}, std::move(*body)};
    response.headers.add("X-Request-Id", m_requestId);
    co_return co_await m_exchange.respond(std::move(response));
}

boost::asio::awaitable<void> ChatStreamRelay::fail(const absl::Status &status)
{
    if (!m_isStreaming) {
        (void)co_await m_exchange.respond(errorResponse(status, m_requestId));
        co_return;
    }
    (void)co_await m_exchange.write(errorEvent(status, m_requestId));
    (void)co_await m_exchange.endStream();
}

bool ChatStreamRelay::restart()
{
    if (m_isStreaming) {
        return false;
    }
    m_delivered.clear();
    m_priorTokens = 0;
    beginContinuation();
    return true;
}

bool ChatStreamRelay::hasDelivered() const
{
    return !m_delivered.empty();
}

void ChatStreamRelay::beginContinuation()
{
    m_scanner = SseScanner();
    m_errorBody.clear();
    m_isContinuation = hasDelivered();
}

std::string ChatStreamRelay::deliveredText() const
{
    std::string text;
    for (const SseEvent &event : eventsIn(m_delivered)) {
        text += contentOf(event.data);
    }
    return text;
}

std::int64_t ChatStreamRelay::deliveredTokens() const
{
    std::int64_t n = 0;
    for (const SseEvent &event : eventsIn(m_delivered)) {
        n += contentOf(event.data).empty() ? 0 : 1;
    }
    return n;
}

const std::string &ChatStreamRelay::deliveredBytes() const
{
    return m_delivered;
}

void ChatStreamRelay::take(const SseEvent &event, std::string &out)
{
    if (event.data == kDone || (!m_passesUsage && isUsageChunk(event.data))) {
        return;
    }
    if (!m_isContinuation) {
        appendEvent(out, m_priorTokens > 0 ? withTrueUsage(event.data) : event.data);
        return;
    }
    const std::string data = withTrueUsage(continued(event.data));
    if (!data.empty()) {
        appendEvent(out, data);
    }
}

void ChatStreamRelay::setPriorTokens(std::int64_t tokens)
{
    m_priorTokens = tokens;
}

// An engine that goes on with an answer counts what it was given of it as prompt. The caller asked for one answer, and
// is told its prompt and its answer as if one engine had made it; the sum, which is billed, is the same.
std::string ChatStreamRelay::withTrueUsage(const std::string &data) const
{
    if (m_priorTokens == 0 || data.find("\"usage\"") == std::string::npos) {
        return data;
    }
    Json json = Json::parse(data, nullptr, false);
    const auto usage = json.is_object() ? json.find("usage") : json.end();
    if (!json.is_object() || usage == json.end() || !usage->is_object()) {
        return data;
    }
    const Json prompt = usage->value("prompt_tokens", Json());
    const Json completion = usage->value("completion_tokens", Json());
    if (!prompt.is_number_integer() || !completion.is_number_integer()) {
        return data;
    }
    (*usage)["prompt_tokens"] = prompt.get<std::int64_t>() - m_priorTokens;
    (*usage)["completion_tokens"] = completion.get<std::int64_t>() + m_priorTokens;
    return json.dump();
}

// A caller's library takes a stream's chunks as one completion by their id, and a second opening chunk with a role as
// a second answer. So a later attempt's chunks get the first one's id, and its opening chunk is left out.
std::string ChatStreamRelay::continued(const std::string &data) const
{
    Json json = Json::parse(data, nullptr, false);
    const Json *delta = deltaOf(json);
    const bool isOpening = delta != nullptr && delta->contains("role") && contentOf(data).empty();
    if (isOpening) {
        return {};
    }
    const std::vector<SseEvent> events = eventsIn(m_delivered.substr(0, m_delivered.find("\n\n") + 2));
    const Json first = events.empty() ? Json() : Json::parse(events.front().data, nullptr, false);
    if (json.is_object() && first.is_object()) {
        for (const char *name : {"id", "created"}) {
            if (first.contains(name)) {
                json[name] = first[name];
            }
        }
    }
    return json.is_discarded() ? data : json.dump();
}

}
