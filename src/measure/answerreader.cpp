#include "answerreader.h"

#include <absl/strings/match.h>
#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEndOfEvent = "\n\n";

absl::string_view view(std::string_view text)
{
    return absl::string_view(text.data(), text.size());
}

}

AnswerReader::AnswerReader(const Call &call)
    : m_call(call)
{
}

bool AnswerReader::addEvents(std::string_view data)
{
    m_pending += data;
    bool hasText = false;
    std::size_t begin = 0;
    for (std::size_t end = m_pending.find(kEndOfEvent); end != std::string::npos;
         end = m_pending.find(kEndOfEvent, begin)) {
        const std::string_view event = std::string_view(m_pending).substr(begin, end - begin);
        if (event.substr(0, kDataField.size()) == kDataField) {
            hasText = readEvent(event.substr(kDataField.size())) || hasText;
        }
        begin = end + kEndOfEvent.size();
    }
    m_pending.erase(0, begin);
    return hasText;
}

bool AnswerReader::readEvent(std::string_view data)
{
    if (data == "[DONE]") {
        m_isDone = true;
        return false;
    }
    const Json event = Json::parse(data, nullptr, false);
    if (!event.is_object()) {
        m_isMalformed = true;
        return false;
    }
    if (event.contains("error")) {
        m_error = std::string(data);
    }
    const auto usage = event.find("usage");
    if (usage != event.end() && usage->is_object()) {
        m_promptTokens = usage->value("prompt_tokens", std::int64_t(0));
        m_completionTokens = usage->value("completion_tokens", std::int64_t(0));
    }
    const auto choices = event.find("choices");
    if (choices == event.end() || choices->empty()) {
        return false;
    }
    const Json delta = choices->front().value("delta", Json::object());
    const std::string text =
        delta.contains("content") && delta["content"].is_string() ? delta["content"].get<std::string>() : std::string();
    m_text += text;
    return !text.empty();
}

void AnswerReader::judgeStream(bool isWholeBody, TryRecord &record) const
{
    if (!m_error.empty()) {
        readError(m_error, record);
    }
    record.outcome = outcomeOfText(m_text, isWholeBody && m_isDone && m_error.empty());
    if (record.outcome == TryOutcome::Whole) {
        judgeUsage(m_promptTokens, m_completionTokens, record);
    }
}

void AnswerReader::judgeBody(const std::string &body, TryRecord &record) const
{
    if (m_call.kind != CallKind::Chat) {
        record.outcome = body == m_call.expectedAnswer ? TryOutcome::Whole : TryOutcome::Mixed;
        return;
    }
    try {
        const Json document = Json::parse(body);
        const auto text = document.at("choices").at(0).at("message").at("content").get<std::string>();
        record.outcome = outcomeOfText(text, true);
        const Json &usage = document.at("usage");
        judgeUsage(usage.at("prompt_tokens").get<std::int64_t>(), usage.at("completion_tokens").get<std::int64_t>(),
                   record);
    } catch (const Json::exception &) {
        record.outcome = TryOutcome::Mixed;
    }
}

void AnswerReader::readError(const std::string &body, TryRecord &record)
{
    const Json document = Json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
        record.code = "no_error_form";
        return;
    }
    const Json &error = document["error"];
    record.code = error.contains("code") && error["code"].is_string() ? error["code"].get<std::string>() : "no_code";
    const auto outcome = error.contains("outcome") ? error["outcome"] : document.value("outcome", Json());
    if (outcome == "not_run") {
        record.told = ToldOutcome::NotRun;
    } else if (outcome == "unknown") {
        record.told = ToldOutcome::Unknown;
    }
}

void AnswerReader::judgeUsage(std::int64_t promptTokens, std::int64_t completionTokens, TryRecord &record) const
{
    record.promptTokens = promptTokens;
    record.completionTokens = completionTokens;
    record.isUsageRight =
        promptTokens == m_call.expectedPromptTokens && completionTokens == m_call.expectedCompletionTokens;
}

TryOutcome AnswerReader::outcomeOfText(const std::string &text, bool isEnded) const
{
    if (m_isMalformed || !absl::StartsWith(view(m_call.expectedAnswer), view(text))) {
        return TryOutcome::Mixed;
    }
    if (!isEnded) {
        return TryOutcome::Cut;
    }
    return text == m_call.expectedAnswer ? TryOutcome::Whole : TryOutcome::Cut;
}

}
