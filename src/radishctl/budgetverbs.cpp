#include "budgetverbs.h"

#include "base/failure.h"
#include "table/auditrecord.h"
#include "table/tablecolumns.h"

#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

namespace RadishSwitch
{

namespace
{

constexpr char kBudgetHelp[] = "ORGANISATION/BUDGET; ORGANISATION alone is its budget \"main\"";
constexpr char kDefaultBudget[] = "main";

std::string_view stateName(PortionState state)
{
    switch (state) {
    case PortionState::Open:
        return "open";
    case PortionState::Closing:
        return "closing";
    case PortionState::Withheld:
        break;
    }
    return "withheld";
}

nlohmann::json sumsOf(const BudgetId &budget, const BudgetRecord &record)
{
    return {{"budget", budget.toString()},     {"paid", record.paid()},         {"settled", record.settled()},
            {"in_portions", record.granted()}, {"withheld", record.withheld()}, {"free", record.free()}};
}

std::string sumsText(const BudgetId &budget, const BudgetRecord &record)
{
    return absl::StrCat(budget.toString(), ": paid ", record.paid(), ", settled ", record.settled(), ", in portions ",
                        record.granted(), ", of these withheld ", record.withheld(), ", free ", record.free(),
                        " tokens");
}

Sheet portionsOf(const BudgetRecord &record)
{
    Sheet sheet{{"portion", "state", "holder", "region", "granted", "spent", "taken", "reason"}, {}};
    for (const auto &[id, portion] : record.portions()) {
        sheet.rows.push_back({id.value(), std::string(stateName(portion.state)), portion.holder.value(), portion.region,
                              portion.granted, portion.spent, formatWallClock(portion.takenAtMilliseconds),
                              portion.reason});
    }
    return sheet;
}

Sheet topUpsOf(const BudgetRecord &record)
{
    Sheet sheet{{"payment", "tokens", "operator", "when"}, {}};
    for (const auto &[id, topUp] : record.topUps()) {
        sheet.rows.push_back({id.value(), topUp.tokens, topUp.operatorName, formatWallClock(topUp.atMilliseconds)});
    }
    return sheet;
}

}

absl::StatusOr<BudgetId> parseBudget(const std::string &text)
{
    const std::size_t slash = text.find('/');
    const std::string organisation = text.substr(0, slash);
    const std::string name = slash == std::string::npos ? kDefaultBudget : text.substr(slash + 1);
    if (!isRowName(organisation) || !isRowName(name)) {
        return makeFailure(FailureCode::InvalidSettings, "'" + text + "' should be ORGANISATION/BUDGET");
    }
    return BudgetId{OrganisationId(organisation), name};
}

absl::Status ledgerOutcome(const absl::Status &status)
{
    if (failureCode(status) != FailureCode::StoreTimeout) {
        return status;
    }
    return withUnknownOutcome(makeFailure(FailureCode::StoreTimeout,
                                          "the store did not answer in time, and the change may be in or may come in "
                                          "yet; do the same again, it counts once"));
}

void BudgetVerbs::addTo(CLI::App &parent, Command &chosen)
{
    addBudgetGroup(parent, chosen);
    CLI::App *paying = addVerb(parent, "topup", "Book a payment into a budget, once however often it is told",
                               "  radishctl topup magnolia --tokens 5000000 --payment-id invoice-2026-03-17", chosen,
                               [this](CommandContext &context) {
                                   return topUp(context);
                               });
    paying->add_option("budget", m_budget, kBudgetHelp)->required();
    paying->add_option("--tokens", m_tokens, "Tokens paid for")->required()->check(CLI::PositiveNumber);
    paying->add_option("--payment-id", m_paymentId, "The payment's name in your books; the same one counts once")
        ->required();

    CLI::App *releasing = addVerb(parent, "release-withheld",
                                  "Free what a withheld portion has not proved to be spent; you answer for it",
                                  "  radishctl release-withheld magnolia/main 9f3a0c5517de2b84 --reason \"agent lost\"",
                                  chosen, [this](CommandContext &context) {
                                      return releaseWithheld(context);
                                  });
    releasing->add_option("budget", m_budget, kBudgetHelp)->required();
    releasing->add_option("portion", m_portion, "The portion, as `budget show` gives it")->required();
    releasing->add_option("-r,--reason", m_reason, "Why, for the audit trail")->required();
}

void BudgetVerbs::addBudgetGroup(CLI::App &parent, Command &chosen)
{
    CLI::App *group = parent.add_subcommand("budget", "Prepaid budgets");
    group->require_subcommand(1);
    CLI::App *creating = addVerb(*group, "create", "Create an empty budget; one that is there stays as it is",
                                 "  radishctl budget create magnolia/main", chosen, [this](CommandContext &context) {
                                     return create(context);
                                 });
    creating->add_option("budget", m_budget, kBudgetHelp)->required();
    CLI::App *showing = addVerb(*group, "show", "Show a budget's sums, portions and payments",
                                "  radishctl budget show magnolia/main", chosen, [this](CommandContext &context) {
                                    return show(context);
                                });
    showing->add_option("budget", m_budget, kBudgetHelp)->required();
    CLI::App *listing = addVerb(*group, "list", "List budgets with their sums; reads the whole ledger",
                                "  radishctl budget list --org magnolia", chosen, [this](CommandContext &context) {
                                    return list(context);
                                });
    listing->add_option("--org", m_organisation, "Only budgets of this organisation");
}

/// A budget of an organisation that the table does not know could not be drawn on; most likely its name is misspelt.
ExitCode BudgetVerbs::create(CommandContext &context) const
{
    const absl::StatusOr<BudgetId> budget = parseBudget(m_budget);
    if (!budget.ok()) {
        return context.fail(budget.status());
    }
    const absl::StatusOr<TableDocument> document = context.readTable();
    if (!document.ok()) {
        return context.fail(document.status());
    }
    if (!document->rows.find(TableKind::Organisation, budget->organisation.value())) {
        return context.fail(makeFailure(FailureCode::RowMissing,
                                        "the table has no organisation \"" + budget->organisation.value() + "\""));
    }
    LedgerEditor &editor = context.environment().budgets;
    const absl::Status status = context.awaitBoundedStatus([&](std::function<void(absl::Status)> done) {
        editor.createBudget(*budget, context.options().operatorName, std::move(done));
    });
    if (!status.ok()) {
        return context.fail(ledgerOutcome(status));
    }
    context.output().print({{"budget", budget->toString()}}, "budget " + budget->toString() + " stands");
    return ExitCode::Ok;
}

ExitCode BudgetVerbs::show(CommandContext &context) const
{
    const absl::StatusOr<BudgetId> budget = parseBudget(m_budget);
    if (!budget.ok()) {
        return context.fail(budget.status());
    }
    LedgerEditor &editor = context.environment().budgets;
    const auto record = context.awaitBounded<BudgetRecord>([&](LedgerEditor::Callback<BudgetRecord> done) {
        editor.show(*budget, std::move(done));
    });
    if (!record.ok()) {
        return context.fail(record.status());
    }
    if (context.output().isJson()) {
        nlohmann::json json = sumsOf(*budget, *record);
        json["portions"] = toJson(portionsOf(*record));
        json["payments"] = toJson(topUpsOf(*record));
        context.output().print(json, "");
        return ExitCode::Ok;
    }
    context.output().printHeading(sumsText(*budget, *record) + "\n");
    context.output().print(portionsOf(*record));
    context.output().printHeading("");
    context.output().print(topUpsOf(*record));
    return ExitCode::Ok;
}

ExitCode BudgetVerbs::list(CommandContext &context) const
{
    LedgerEditor &editor = context.environment().budgets;
    const auto budgets =
        context.awaitBounded<std::vector<BudgetSummary>>([&](LedgerEditor::Callback<std::vector<BudgetSummary>> done) {
            editor.list(OrganisationId(m_organisation), std::move(done));
        });
    if (!budgets.ok()) {
        return context.fail(budgets.status());
    }
    Sheet sheet{{"budget", "paid", "settled", "in_portions", "withheld", "free", "portions"}, {}};
    for (const BudgetSummary &it : *budgets) {
        sheet.rows.push_back(
            {it.budget.toString(), it.paid, it.settled, it.granted, it.withheld, it.free, it.portions});
    }
    context.output().print(sheet);
    return ExitCode::Ok;
}

ExitCode BudgetVerbs::topUp(CommandContext &context) const
{
    const absl::StatusOr<BudgetId> budget = parseBudget(m_budget);
    if (!budget.ok()) {
        return context.fail(budget.status());
    }
    LedgerEditor &editor = context.environment().budgets;
    const auto record = context.awaitBounded<BudgetRecord>([&](LedgerEditor::Callback<BudgetRecord> done) {
        editor.topUp(*budget, PaymentId(m_paymentId), m_tokens, context.options().operatorName, std::move(done));
    });
    if (!record.ok()) {
        return context.fail(ledgerOutcome(record.status()));
    }
    context.output().print(sumsOf(*budget, *record),
                           "payment " + m_paymentId + " is booked\n" + sumsText(*budget, *record));
    return ExitCode::Ok;
}

ExitCode BudgetVerbs::releaseWithheld(CommandContext &context) const
{
    const absl::StatusOr<BudgetId> budget = parseBudget(m_budget);
    if (!budget.ok()) {
        return context.fail(budget.status());
    }
    LedgerEditor &editor = context.environment().budgets;
    const absl::Status status = context.awaitBoundedStatus([&](std::function<void(absl::Status)> done) {
        editor.releaseWithheld(*budget, PortionId(m_portion), context.options().operatorName, m_reason,
                               std::move(done));
    });
    if (!status.ok()) {
        return context.fail(ledgerOutcome(status));
    }
    context.output().print({{"budget", budget->toString()}, {"portion", m_portion}},
                           "portion " + m_portion + " is released");
    return ExitCode::Ok;
}

}
