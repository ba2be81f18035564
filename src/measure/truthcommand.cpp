#include "truthcommand.h"

#include "baselines.h"
#include "runtruth.h"
#include "spendtruth.h"
#include "truthreader.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <functional>

namespace RadishSwitch
{

namespace
{

absl::Status addFiles(const std::vector<std::string> &names,
                      const std::function<absl::Status(const std::string &)> &add)
{
    for (const std::string &name : names) {
        const auto text = readFile(name);
        const absl::Status status = text.ok() ? add(*text) : text.status();
        if (!status.ok()) {
            return status;
        }
    }
    return absl::OkStatus();
}

std::string verdictOf(const TruthRecords &records)
{
    const RequestHistories histories(records);
    const RunTruth runs = computeRunTruth(records, histories);
    const SpendTruth spend = computeSpendTruth(records, histories);
    const BaselineFigures baselines = replayBaselines(records, histories);
    const nlohmann::ordered_json baseline{
        {"split_false_refusals", baselines.splitFalseRefusals},
        {"store_false_refusals", baselines.storeFalseRefusals},
    };
    const nlohmann::ordered_json document{
        {"requests", runs.requests},
        {"answered", runs.answered},
        {"overspend_tokens", spend.overspendTokens},
        {"false_refusals", spend.falseRefusals},
        {"double_billed", spend.doubleBilled},
        {"double_runs", runs.doubleRuns},
        {"false_not_run", runs.falseNotRun},
        {"lost_or_mixed_answers", runs.lostOrMixedAnswers},
        {"cut_off_by_stop", runs.cutOffByStop},
        {"late_work", runs.lateWork},
        {"refusals", spend.refusals},
        {"false_refusals_by_code", spend.falseRefusalsByCode},
        {"false_refusals_at_true_cost", spend.falseRefusalsAtTrueCost},
        {"unknown_outcomes", runs.unknownOutcomes},
        {"refusals_without_outcome", runs.silentRefusals},
        {"repeated_chats", runs.repeatedChats},
        {"wrong_continuations", runs.wrongContinuations},
        {"wrong_usage", runs.wrongUsage},
        {"stray_runs", runs.strayRuns},
        {"prompt_tokens", runs.promptTokens},
        {"cached_tokens", runs.cachedTokens},
        {"paid_tokens", spend.paidTokens},
        {"spent_tokens", spend.spentTokens},
        {"told_tokens", spend.toldTokens},
        {"billed_tokens", spend.billedTokens},
        {"double_billed_tokens", spend.doubleBilledTokens},
        {"unbilled_tokens", spend.unbilledTokens},
        {"withheld_tokens", spend.withheldTokens},
        {"overdrawn_tokens", spend.overdrawnTokens},
        {"paid_mismatch_tokens", spend.paidMismatchTokens},
        {"stall_at_faults_p95_ms", stallAtFaults(records)},
        {"baseline", baseline},
        {"split_false_refusals", baselines.splitFalseRefusals},
        {"store_false_refusals", baselines.storeFalseRefusals},
    };
    return document.dump();
}

}

void TruthCommand::addTo(CLI::App &app)
{
    app.add_option("--engine-runs", m_engineRuns, "Files with an engine's runs");
    app.add_option("--service-runs", m_serviceRuns, "Files with a service's executions");
    app.add_option("--ledger", m_ledgers, "Files with the platform's objects under ledger/");
    app.add_option("--log", m_logs, "Files that the load appended its tries to");
    app.add_option("--events", m_events, "Files with the scenario's events");
}

absl::StatusOr<std::string> TruthCommand::run() const
{
    TruthReader reader;
    absl::Status status = addFiles(m_engineRuns, [&](const std::string &text) {
        return reader.addRuns(text, true);
    });
    status.Update(addFiles(m_serviceRuns, [&](const std::string &text) {
        return reader.addRuns(text, false);
    }));
    status.Update(addFiles(m_ledgers, [&](const std::string &text) {
        return reader.addLedger(text);
    }));
    status.Update(addFiles(m_logs, [&](const std::string &text) {
        return reader.addTries(text);
    }));
    status.Update(addFiles(m_events, [&](const std::string &text) {
        return reader.addEvents(text);
    }));
    if (!status.ok()) {
        return status;
    }
    return verdictOf(reader.records());
}

}
