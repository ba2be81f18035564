#include "auditverb.h"

#include "budgets/ledgereditor.h"
#include "tablehistoryverbs.h"
#include "timetext.h"

#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

#include <algorithm>

namespace RadishSwitch
{

void AuditVerb::addTo(CLI::App &parent, Command &chosen)
{
    CLI::App *verb = addVerb(parent, "audit", "List who changed what in the table and in the budgets, newest first",
                             "  radishctl audit --since 2h\n"
                             "  radishctl audit --since 2026-03-01 --org magnolia --output json",
                             chosen, [this](CommandContext &context) {
                                 return audit(context);
                             });
    verb->add_option("--since", m_since, "30m, 2h, 7d, a day or a moment")->capture_default_str();
    verb->add_option("--org", m_organisation, "Only what concerns this organisation: its row, routes and budgets");
    verb->add_flag("--table-only", m_isTableOnly,
                   "Leave the budgets out, whose trail takes a read of the whole ledger");
}

ExitCode AuditVerb::audit(CommandContext &context) const
{
    const auto since = parseSince(m_since, context.environment().timers.wallClockMilliseconds());
    if (!since.ok()) {
        return context.fail(since.status());
    }
    std::vector<Entry> entries;
    absl::Status status = addTableEntries(context, *since, entries);
    if (status.ok() && !m_isTableOnly) {
        status = addLedgerEntries(context, *since, entries);
    }
    if (!status.ok()) {
        return context.fail(status);
    }
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return left.wallClockMs > right.wallClockMs;
    });
    Sheet sheet{{"when", "who", "from", "what", "why"}, {}};
    for (const Entry &it : entries) {
        sheet.rows.push_back({formatWallClock(it.wallClockMs), it.who, it.fromWhere, it.what, it.why});
    }
    context.output().print(sheet);
    return ExitCode::Ok;
}

absl::Status AuditVerb::addTableEntries(CommandContext &context, std::int64_t sinceMs,
                                        std::vector<Entry> &entries) const
{
    HistoryRange range;
    range.sinceWallClockMs = sinceMs;
    const absl::StatusOr<std::vector<AuditRecord>> records = readHistory(context, range);
    if (!records.ok()) {
        return records.status();
    }
    for (const AuditRecord &record : *records) {
        if (!m_organisation.empty() && !record.concerns(OrganisationId(m_organisation))) {
            continue;
        }
        std::string what = absl::StrCat("table revision ", record.revision);
        for (const RowChange &change : record.changes) {
            absl::StrAppend(&what, "; ", change.toString());
        }
        entries.push_back({record.wallClockMs, record.who, record.fromWhere, what, record.why});
    }
    return absl::OkStatus();
}

absl::Status AuditVerb::addLedgerEntries(CommandContext &context, std::int64_t sinceMs,
                                         std::vector<Entry> &entries) const
{
    using Entries = std::vector<LedgerAuditEntry>;
    LedgerEditor &editor = context.environment().budgets;
    const auto ledger = context.awaitBounded<Entries>([&](LedgerEditor::Callback<Entries> done) {
        editor.audit(OrganisationId(m_organisation), std::move(done));
    });
    if (!ledger.ok()) {
        return ledger.status();
    }
    for (const LedgerAuditEntry &it : *ledger) {
        if (it.atMilliseconds >= sinceMs) {
            const std::string what = absl::StrCat("budget ", it.budget.toString(), ": ", it.action, " ", it.subject,
                                                  " ", it.tokens, " tokens");
            entries.push_back({it.atMilliseconds, it.operatorName, "", what, ""});
        }
    }
    return absl::OkStatus();
}

}
