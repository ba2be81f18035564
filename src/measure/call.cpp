#include "call.h"

#include "answertext.h"
#include "chatprompt.h"
#include "contenthash.h"
#include "serviceanswer.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace RadishSwitch
{

namespace
{

constexpr char kAnyOrganisation[] = "none";

}

CallFactory::CallFactory(const LoadSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

Call CallFactory::next()
{
    Call call;
    call.id = m_settings.name + "-" + std::to_string(++m_count);
    call.organisation = drawOrganisation();
    const double kind = std::uniform_real_distribution<>(0, 1)(m_random);
    if (kind < m_settings.orderShare) {
        call.kind = CallKind::Order;
    } else if (kind < m_settings.orderShare + m_settings.serviceShare) {
        call.kind = CallKind::Lookup;
    }
    call.isStreamed = draw(m_settings.streamedShare) && call.kind == CallKind::Chat;
    const bool isKeyed = !draw(m_settings.unkeyedShare) || call.kind == CallKind::Order;
    call.isDuplicated = draw(m_settings.duplicateShare) && isKeyed;
    call.isSlowReader = draw(m_settings.slowReaderShare) && call.isStreamed;
    call.kind == CallKind::Chat ? makeChat(call) : makeServiceCall(call);
    if (isKeyed && !m_settings.isDirect) {
        call.key = "key-" + call.id;
        call.request.headers.add("Idempotency-Key", call.key);
    }
    if (!call.organisation.key.empty()) {
        call.request.headers.add("Authorization", "Bearer " + call.organisation.key);
    }
    if (m_settings.deadline > Duration::zero()) {
        call.request.headers.add("Radishswitch-Deadline-Ms", std::to_string(m_settings.deadline.count() / 1000));
    }
    return call;
}

Duration CallFactory::arrivalInterval()
{
    const double seconds = std::exponential_distribution<>(m_settings.rate)(m_random);
    return Duration(std::llround(seconds * 1e6));
}

bool CallFactory::draw(double share)
{
    return std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

const LoadOrganisation &CallFactory::drawOrganisation()
{
    static const LoadOrganisation none{kAnyOrganisation, "", "", 1};
    if (m_settings.organisations.empty()) {
        return none;
    }
    double total = 0;
    for (const LoadOrganisation &organisation : m_settings.organisations) {
        total += organisation.weight;
    }
    double place = std::uniform_real_distribution<>(0, total)(m_random);
    for (const LoadOrganisation &organisation : m_settings.organisations) {
        place -= organisation.weight;
        if (place < 0) {
            return organisation;
        }
    }
    return m_settings.organisations.back();
}

std::string CallFactory::words(std::uint64_t seed, int count) const
{
    return AnswerText(m_settings.name + std::to_string(seed)).tokens(count);
}

void CallFactory::makeChat(Call &call)
{
    auto messages = nlohmann::ordered_json::array();
    if (m_settings.prefixGroups > 0) {
        const std::uint64_t group = m_random() % static_cast<std::uint64_t>(m_settings.prefixGroups);
        messages.push_back({{"role", "system"}, {"content", words(group, m_settings.prefixWords)}});
    }
    const std::string question = "question " + call.id + " " + words(m_random(), m_settings.promptWords);
    messages.push_back({{"role", "user"}, {"content", question}});
    nlohmann::ordered_json body{
        {"model", m_settings.model},
        {"messages", messages},
        {"max_tokens", m_settings.maximumTokens},
        {"stream", call.isStreamed},
    };
    if (call.isStreamed) {
        body["stream_options"] = {{"include_usage", true}};
    }
    call.request = HttpRequest{"POST", "/v1/chat/completions", {{"Content-Type", "application/json"}}, body.dump()};

    const ChatPrompt prompt = *parseChatPrompt(call.request.body);
    const AnswerText answer(prompt.text);
    call.contentHash = contentHash(prompt.text);
    call.expectedPromptTokens = prompt.promptTokens;
    call.expectedCompletionTokens = answer.length(m_settings.maximumTokens);
    call.expectedAnswer = answer.tokens(call.expectedCompletionTokens);
    // Whoever does not know the tokeniser can only say that a byte is at most one token.
    const auto overhead = static_cast<std::int64_t>(messages.size()) * ChatPrompt::kTokensPerMessage;
    call.worstCaseTokens = static_cast<std::int64_t>(prompt.text.size()) + overhead + m_settings.maximumTokens;
}

void CallFactory::makeServiceCall(Call &call)
{
    const std::string base = "/services/" + m_settings.service;
    if (call.kind == CallKind::Order) {
        const nlohmann::json body{{"order", call.id}};
        call.request = HttpRequest{"POST", base + "/orders", {{"Content-Type", "application/json"}}, body.dump()};
    } else {
        call.request = HttpRequest{"GET", base + "/stock/" + call.id, {}, ""};
    }
    call.contentHash = serviceCallHash(call.request.target, call.request.body);
    call.expectedAnswer = serviceAnswer(call.request.method, call.request.target, call.request.body);
}

}
