#include "wholeanswer.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

constexpr std::size_t kMostToolCalls = 1024;

void appendText(Json &text, const Json &more)
{
    if (!text.is_string()) {
        text = "";
    }
    text.get_ref<std::string &>() += more.get_ref<const std::string &>();
}

// A tool call's first part names it; the arguments come in pieces.
void mergeToolCall(Json &call, const Json &part)
{
    for (const auto &[name, value] : part.items()) {
        if (name == "function" && value.is_object()) {
            mergeToolCall(call["function"], value);
        } else if (name == "arguments" && value.is_string()) {
            appendText(call[name], value);
        } else if (name != "index" && !value.is_null()) {
            call[name] = value;
        }
    }
}

void mergeToolCalls(Json &calls, const Json &parts)
{
    for (const Json &part : parts) {
        const Json index = part.is_object() ? part.value("index", Json(0)) : Json();
        if (!index.is_number_unsigned() || index.get<std::size_t>() >= kMostToolCalls) {
            continue;
        }
        while (calls.size() <= index.get<std::size_t>()) {
            calls.push_back(Json::object());
        }
        mergeToolCall(calls[index.get<std::size_t>()], part);
    }
}

void mergeDelta(Json &message, const Json &delta)
{
    for (const auto &[name, value] : delta.items()) {
        if (name == "tool_calls" && value.is_array()) {
            mergeToolCalls(message[name], value);
        } else if (name != "role" && value.is_string()) {
            appendText(message[name], value);
        }
    }
}

void mergeLogprobs(Json &logprobs, const Json &part)
{
    for (const auto &[name, value] : part.items()) {
        if (value.is_array()) {
            logprobs[name].insert(logprobs[name].end(), value.begin(), value.end());
        }
    }
}

}

WholeAnswer::WholeAnswer()
    : m_answer(std::make_unique<Json>(Json::object()))
    , m_choice(std::make_unique<Json>(Json::object()))
{
    (*m_choice)["index"] = 0;
    (*m_choice)["message"] = {{"role", "assistant"}, {"content", nullptr}};
    (*m_choice)["finish_reason"] = nullptr;
}

WholeAnswer::~WholeAnswer() = default;

void WholeAnswer::add(const std::string &data)
{
    const Json json = Json::parse(data, nullptr, false);
    if (!json.is_object()) {
        return;
    }
    if (json.contains("error") && !json["error"].is_null()) {
        m_error = json["error"].dump();
    }
    for (const char *name : {"id", "created", "model"}) {
        if (json.contains(name) && !m_answer->contains(name)) {
            (*m_answer)[name] = json[name];
        }
    }
    if (json.contains("usage") && json["usage"].is_object()) {
        (*m_answer)["usage"] = json["usage"];
    }
    if (json.contains("choices") && json["choices"].is_array() && !json["choices"].empty()) {
        addChoice(json["choices"].front());
    }
}

void WholeAnswer::addChoice(const Json &choice)
{
    if (!choice.is_object()) {
        return;
    }
    if (choice.contains("delta") && choice["delta"].is_object()) {
        mergeDelta((*m_choice)["message"], choice["delta"]);
    }
    if (choice.contains("logprobs") && choice["logprobs"].is_object()) {
        mergeLogprobs((*m_choice)["logprobs"], choice["logprobs"]);
    }
    if (choice.contains("finish_reason") && !choice["finish_reason"].is_null()) {
        (*m_choice)["finish_reason"] = choice["finish_reason"];
    }
}

absl::StatusOr<std::string> WholeAnswer::body() const
{
    if (!m_error.empty()) {
        return withUnknownOutcome(
            makeFailure(FailureCode::EndpointFailed, "the endpoint broke the answer off: " + m_error));
    }
    Json choice = *m_choice;
    Json &message = choice["message"];
    if (message["content"].is_null() && !message.contains("tool_calls")) {
        message["content"] = "";
    }
    Json answer = *m_answer;
    answer["object"] = "chat.completion";
    answer["choices"] = Json::array({choice});
    return answer.dump();
}

}
