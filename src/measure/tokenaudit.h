#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <string>

namespace RadishSwitch
{

/// Where the tokens of one budget lie, in tokens, as the logs of gateways and homes tell it.
struct BudgetTokens {
    std::int64_t paid = 0;
    /// In no portion, by the last line that told it.
    std::int64_t free = 0;
    /// Charged for calls that were answered.
    std::int64_t answered = 0;
    /// Charged for calls that failed after they may have run.
    std::int64_t failed = 0;
    /// In portions of processes that live, less what these had spent when they last told.
    std::int64_t held = 0;
    /// The same of portions whose process has started again since: lost to the budget.
    std::int64_t stranded = 0;

    bool operator==(const BudgetTokens &) const = default;
};

/// Tells from log lines alone what has become of prepaid tokens, so that a budget that refuses calls can be told from
/// one that is used up.
class TokenAudit
{
public:
    /// Takes in the lines of one or more processes, in the order of time. What stands before a line's JSON names the
    /// process, if its own lines do not; lines that are no JSON are passed over.
    void read(std::istream &lines);

    const std::map<std::string, BudgetTokens> &budgets() const;

    /// One JSON object: by budget, and the sums.
    std::string toJson() const;

private:
    struct Portion {
        std::int64_t granted = 0;
        std::int64_t spent = 0;
        bool isLost = false;
    };

    void take(const std::string &process, const std::string &line);
    void settlePortions();

    std::map<std::string, BudgetTokens> m_budgets;
    /// By process, life of it, budget and number.
    std::map<std::string, std::map<std::string, Portion>> m_portions;
    std::map<std::string, int> m_lives;
};

}
