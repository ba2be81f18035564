#include "chatprompt.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

#include <cctype>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

std::string textOf(const Json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    std::string text;
    for (const Json &part : content) {
        if (part.is_object() && part.contains("text")) {
            text += part["text"].get<std::string>();
        }
    }
    return text;
}

ChatPrompt readPrompt(const Json &document)
{
    ChatPrompt prompt;
    prompt.model = document.value("model", std::string());
    prompt.isStreamed = document.value("stream", false);
    if (document.contains("stream_options") && document["stream_options"].is_object()) {
        prompt.isUsageIncluded = document["stream_options"].value("include_usage", false);
    }
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        if (document.contains(name) && document[name].is_number_integer()) {
            prompt.maximumTokens = document[name].get<std::int64_t>();
        }
    }
    const Json &messages = document.at("messages");
    const bool isContinuation = document.value("continue_final_message", false) && !messages.empty()
        && messages.back().value("role", std::string()) == "assistant";
    for (std::size_t n = 0; n < messages.size(); ++n) {
        const std::string content = textOf(messages[n].at("content"));
        const bool isContinued = isContinuation && n + 1 == messages.size();
        // Every prompt ends with the header of the answer's message, so one that is gone on with has no header more.
        prompt.promptTokens += countWords(content) + (isContinued ? 0 : ChatPrompt::kTokensPerMessage);
        if (isContinued) {
            prompt.continued = content;
        } else {
            prompt.text += messages[n].at("role").get<std::string>() + "\n" + content + "\n";
        }
    }
    return prompt;
}

}

absl::StatusOr<ChatPrompt> parseChatPrompt(std::string_view body)
{
    try {
        ChatPrompt prompt = readPrompt(Json::parse(body));
        if (prompt.text.empty()) {
            return makeFailure(FailureCode::InvalidRequest, "messages are empty");
        }
        return prompt;
    } catch (const Json::exception &error) {
        return makeFailure(FailureCode::InvalidRequest, error.what());
    }
}

std::int64_t countWords(std::string_view text)
{
    std::int64_t n = 0;
    bool isInWord = false;
    for (const char character : text) {
        const bool isSpace = std::isspace(static_cast<unsigned char>(character)) != 0;
        n += !isSpace && !isInWord ? 1 : 0;
        isInWord = !isSpace;
    }
    return n;
}

}
