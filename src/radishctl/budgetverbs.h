#pragma once

#include "base/identifier.h"
#include "budgets/ledgereditor.h"
#include "commandgroup.h"

#include <cstdint>
#include <string>

namespace RadishSwitch
{

/// `budget`, `topup` and `release-withheld`: the prepaid budgets.
class BudgetVerbs : public CommandGroup
{
public:
    void addTo(CLI::App &parent, Command &chosen) override;

private:
    void addBudgetGroup(CLI::App &parent, Command &chosen);

    ExitCode create(CommandContext &context) const;
    ExitCode show(CommandContext &context) const;
    ExitCode list(CommandContext &context) const;
    ExitCode topUp(CommandContext &context) const;
    ExitCode releaseWithheld(CommandContext &context) const;

    std::string m_budget;
    std::string m_organisation;
    std::int64_t m_tokens = 0;
    std::string m_paymentId;
    std::string m_portion;
    std::string m_reason;
};

/// "organisation/name" as a budget; without "/name" the budget "main". InvalidSettings when it is neither.
absl::StatusOr<BudgetId> parseBudget(const std::string &text);

/// Marks a change of the ledger that nobody saw the end of, and tells what to do.
absl::Status ledgerOutcome(const absl::Status &status);

}
