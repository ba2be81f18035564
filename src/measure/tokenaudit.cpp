#include "tokenaudit.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

constexpr char kBudgetOfOrganisation[] = "/prepaid";

/// Context values are written as text.
std::int64_t numberOf(const Json &context, const char *field)
{
    std::int64_t number = 0;
    return absl::SimpleAtoi(context.value(field, std::string("0")), &number) ? number : 0;
}

Json asJson(const BudgetTokens &tokens)
{
    // Reserved by calls that run, or lost with processes that died. `stranded` is a bound of the latter from above:
    // what a process spent after it told last is in it.
    const std::int64_t rest = tokens.paid - tokens.free - tokens.answered - tokens.failed - tokens.held;
    return {{"paid", tokens.paid},
            {"free", tokens.free},
            {"answered", tokens.answered},
            {"failed", tokens.failed},
            {"held", tokens.held},
            {"stranded", tokens.stranded},
            {"rest", rest}};
}

}

void TokenAudit::read(std::istream &lines)
{
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t brace = line.find('{');
        if (brace != std::string::npos) {
            const std::vector<std::string> words = absl::StrSplit(line.substr(0, brace), ' ', absl::SkipEmpty());
            take(words.empty() ? std::string() : words.back(), line.substr(brace));
        }
    }
    settlePortions();
}

void TokenAudit::take(const std::string &process, const std::string &line)
{
    const Json json = Json::parse(line, nullptr, false);
    if (!json.is_object() || !json.contains("message") || !json.contains("context_map")) {
        return;
    }
    const std::string message = json.value("message", std::string());
    const Json &context = json["context_map"];
    if (message == "starting") {
        for (auto &[key, portion] : m_portions[process]) {
            portion.isLost = true;
        }
        ++m_lives[process];
        return;
    }
    if (message == "call ended" || message == "call failed") {
        const std::string organisation = context.value("organisation", std::string());
        if (organisation.empty()) {
            return;
        }
        BudgetTokens &budget = m_budgets[organisation + kBudgetOfOrganisation];
        (message == "call ended" ? budget.answered : budget.failed) += numberOf(context, "tokens");
        return;
    }
    const bool isTaken = message == "portion taken";
    if (!isTaken && message != "portion given back") {
        return;
    }
    const std::string name = context.value("budget", std::string());
    BudgetTokens &budget = m_budgets[name];
    const std::string key =
        std::to_string(m_lives[process]) + " " + context.value("number", std::string()) + " " + name;
    Portion &portion = m_portions[process][key];
    const std::int64_t tokens = numberOf(context, "tokens");
    portion.granted += isTaken ? tokens : -tokens;
    portion.spent = numberOf(context, "spent");
    if (isTaken) {
        budget.paid = numberOf(context, "paid");
        budget.free = numberOf(context, "free");
    } else {
        budget.free += tokens;
    }
}

void TokenAudit::settlePortions()
{
    for (auto &[name, budget] : m_budgets) {
        budget.held = 0;
        budget.stranded = 0;
    }
    for (const auto &[process, portions] : m_portions) {
        for (const auto &[key, portion] : portions) {
            const std::string name = key.substr(key.rfind(' ') + 1);
            const std::int64_t rest = std::max<std::int64_t>(portion.granted - portion.spent, 0);
            (portion.isLost ? m_budgets[name].stranded : m_budgets[name].held) += rest;
        }
    }
}

const std::map<std::string, BudgetTokens> &TokenAudit::budgets() const
{
    return m_budgets;
}

std::string TokenAudit::toJson() const
{
    Json budgets = Json::object();
    BudgetTokens sum;
    for (const auto &[name, budget] : m_budgets) {
        budgets[name] = asJson(budget);
        sum.paid += budget.paid;
        sum.free += budget.free;
        sum.answered += budget.answered;
        sum.failed += budget.failed;
        sum.held += budget.held;
        sum.stranded += budget.stranded;
    }
    return Json{{"budgets", budgets}, {"sum", asJson(sum)}}.dump();
}

}
