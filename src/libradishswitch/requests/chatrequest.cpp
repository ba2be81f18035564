#include "requests/chatrequest.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

constexpr std::int64_t kTokensPerMessage = 8;
constexpr std::int64_t kTokensPerRequest = 16;
constexpr std::int64_t kLargestMaximumTokens = 1 << 20;
constexpr std::size_t kMaximumMessages = 4096;

absl::Status invalid(const std::string &message)
{
    return makeFailure(FailureCode::InvalidRequest, message);
}

// The text of a message. Its content is a string, or a list of parts that must all be of type "text".
absl::StatusOr<std::string> textOf(const Json &message)
{
    const auto it = message.find("content");
    if (it == message.end() || it->is_null()) {
        return std::string();
    }
    if (it->is_string()) {
        return it->get<std::string>();
    }
    if (!it->is_array()) {
        return invalid("messages[].content must be a string or a list of parts");
    }
    std::string text;
    for (const Json &part : *it) {
        if (!part.is_object() || part.value("type", Json()) != "text" || !part.value("text", Json()).is_string()) {
            return invalid("messages[].content[] must be parts of type \"text\"");
        }
        text += part["text"].get<std::string>();
    }
    return text;
}

absl::StatusOr<bool> flagOf(const Json &object, const char *name)
{
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) {
        return false;
    }
    if (!it->is_boolean()) {
        return invalid(std::string(name) + " must be true or false");
    }
    return it->get<bool>();
}

absl::StatusOr<std::int64_t> maximumTokensOf(const Json &body)
{
    for (const char *name : {"max_completion_tokens", "max_tokens"}) {
        const auto it = body.find(name);
        if (it == body.end() || it->is_null()) {
            continue;
        }
        if (!it->is_number_integer() || it->get<std::int64_t>() < 1
            || it->get<std::int64_t>() > kLargestMaximumTokens) {
            return invalid(std::string(name) + " must be a whole number from 1 to 1048576");
        }
        return it->get<std::int64_t>();
    }
    return ChatRequest::kDefaultMaximumTokens;
}

absl::Status checkSingleChoice(const Json &body)
{
    const auto it = body.find("n");
    if (it != body.end() && !it->is_null() && *it != 1) {
        return invalid("n must be 1: one answer is billed for one request");
    }
    return absl::OkStatus();
}

}

absl::StatusOr<ChatRequest> ChatRequest::parse(std::string_view body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object()) {
        return invalid("the body must be one JSON object");
    }
    const auto model = json.find("model");
    if (model == json.end() || !model->is_string() || model->get_ref<const std::string &>().empty()) {
        return invalid("model must be a non-empty string");
    }
    const auto messages = json.find("messages");
    if (messages == json.end() || !messages->is_array() || messages->empty() || messages->size() > kMaximumMessages) {
        return invalid("messages must be a list of 1 to 4096 messages");
    }
    const absl::StatusOr<bool> isStreamed = flagOf(json, "stream");
    if (!isStreamed.ok()) {
        return isStreamed.status();
    }
    const absl::StatusOr<std::int64_t> maximumTokens = maximumTokensOf(json);
    if (!maximumTokens.ok()) {
        return maximumTokens.status();
    }
    if (const absl::Status status = checkSingleChoice(json); !status.ok()) {
        return status;
    }

    ChatRequest request;
    for (const Json &message : *messages) {
        if (!message.is_object() || !message.value("role", Json()).is_string()) {
            return invalid("messages[].role must be a string");
        }
        const absl::StatusOr<std::string> text = textOf(message);
        if (!text.ok()) {
            return text.status();
        }
        request.m_promptText += message["role"].get_ref<const std::string &>() + "\n" + *text + "\n";
    }
    const auto options = json.find("stream_options");
    if (options != json.end() && options->is_object()) {
        const absl::StatusOr<bool> wantsUsage = flagOf(*options, "include_usage");
        if (!wantsUsage.ok()) {
            return wantsUsage.status();
        }
        request.m_wantsUsage = *wantsUsage;
    }
    request.m_body = std::string(body);
    request.m_model = model->get<std::string>();
    request.m_isStreamed = *isStreamed;
    request.m_maximumTokens = *maximumTokens;
    request.m_promptTokensBound = static_cast<std::int64_t>(request.m_promptText.size())
        + kTokensPerMessage * static_cast<std::int64_t>(messages->size()) + kTokensPerRequest;
    return request;
}

const std::string &ChatRequest::model() const
{
    return m_model;
}

bool ChatRequest::isStreamed() const
{
    return m_isStreamed;
}

bool ChatRequest::wantsUsage() const
{
    return m_wantsUsage;
}

std::int64_t ChatRequest::promptTokensBound() const
{
    return m_promptTokensBound;
}

std::int64_t ChatRequest::worstCaseTokens() const
{
    return m_promptTokensBound + m_maximumTokens;
}

const std::string &ChatRequest::promptText() const
{
    return m_promptText;
}

std::string ChatRequest::engineBody() const
{
    Json json = Json::parse(m_body);
    json.erase("max_completion_tokens");
    json["max_tokens"] = m_maximumTokens;
    json["stream"] = true;
    if (!json["stream_options"].is_object()) {
        json["stream_options"] = Json::object();
    }
    json["stream_options"]["include_usage"] = true;
    return json.dump();
}

std::string ChatRequest::continuationBody(const std::string &delivered, std::int64_t deliveredTokens) const
{
    Json json = Json::parse(engineBody());
    json["messages"].push_back({{"role", "assistant"}, {"content", delivered}});
    json["continue_final_message"] = true;
    json["add_generation_prompt"] = false;
    json["max_tokens"] = std::max<std::int64_t>(1, m_maximumTokens - deliveredTokens);
    return json.dump();
}

}
