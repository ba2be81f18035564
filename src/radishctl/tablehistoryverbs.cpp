#include "tablehistoryverbs.h"

#include "base/failure.h"
#include "table/tablejson.h"
#include "timetext.h"

#include <absl/strings/str_cat.h>
#include <CLI/CLI.hpp>

#include <algorithm>
#include <map>

namespace RadishSwitch
{

namespace
{

std::string rowName(const RowChange &change)
{
    return absl::StrCat(std::string(tableKindName(change.kind)), "/", change.name);
}

/// The changes of several records as one: each row from its first state to its last.
std::vector<RowChange> netChanges(const std::vector<AuditRecord> &oldestFirst)
{
    std::map<std::string, RowChange> net;
    for (const AuditRecord &record : oldestFirst) {
        for (const RowChange &change : record.changes) {
            const auto [it, isNew] = net.emplace(rowName(change), change);
            if (isNew) {
                continue;
            }
            RowChange &sum = it->second;
            const bool wasAdded = sum.type == RowChangeType::Added;
            const bool isRemoved = change.type == RowChangeType::Removed;
            for (const CellChange &cell : change.cells) {
                const auto same = std::find_if(sum.cells.begin(), sum.cells.end(), [&cell](const CellChange &other) {
                    return other.column == cell.column;
                });
                if (same == sum.cells.end()) {
                    sum.cells.push_back(cell);
                } else {
                    same->after = cell.after;
                }
            }
            sum.type = isRemoved ? RowChangeType::Removed : wasAdded ? RowChangeType::Added : RowChangeType::Changed;
            if (wasAdded && isRemoved) {
                net.erase(it);
            }
        }
    }
    std::vector<RowChange> changes;
    for (auto &[name, change] : net) {
        std::erase_if(change.cells, [](const CellChange &cell) {
            return cell.before == cell.after;
        });
        if (change.type != RowChangeType::Changed || !change.cells.empty()) {
            changes.push_back(std::move(change));
        }
    }
    return changes;
}

}

absl::StatusOr<std::vector<AuditRecord>> readHistory(CommandContext &context, const HistoryRange &range)
{
    const CommandEnvironment &environment = context.environment();
    TableEditor editor(environment.store, environment.timers, environment.tasks, environment.random);
    return context.await<std::vector<AuditRecord>>(
        [&](std::function<void(absl::StatusOr<std::vector<AuditRecord>>)> callback) {
            editor.history(range, std::move(callback));
        });
}

void TableHistoryVerbs::addTo(CLI::App &parent, Command &chosen)
{
    CLI::App *listing = addVerb(parent, "history", "List accepted changes, newest first",
                                "  radishctl table history\n"
                                "  radishctl table history --row organisation/magnolia --since 7d",
                                chosen, [this](CommandContext &context) {
                                    return history(context);
                                });
    listing->add_option("--row", m_row, "Only changes of this row, as KIND/NAME");
    listing->add_option("--since", m_since, "Only changes since 30m, 2h, 7d, a day or a moment");
    listing->add_option("--limit", m_limit, "At most so many; 0 is all")->capture_default_str();

    CLI::App *comparing = addVerb(parent, "diff", "Show what became of the rows between two revisions",
                                  "  radishctl table diff 38\n"
                                  "  radishctl table diff 38 41",
                                  chosen, [this](CommandContext &context) {
                                      return diff(context);
                                  });
    comparing->add_option("from", m_fromRevision, "The earlier revision")->required();
    comparing->add_option("to", m_toRevision, "The later revision; the present one by default");
}

ExitCode TableHistoryVerbs::history(CommandContext &context) const
{
    HistoryRange range;
    if (!m_since.empty()) {
        const auto since = parseSince(m_since, context.environment().timers.wallClockMilliseconds());
        if (!since.ok()) {
            return context.fail(since.status());
        }
        range.sinceWallClockMs = *since;
    }
    range.maximumRecords = m_row.empty() ? m_limit : 0;
    const absl::StatusOr<std::vector<AuditRecord>> records = readHistory(context, range);
    if (!records.ok()) {
        return context.fail(records.status());
    }
    Sheet sheet{{"revision", "when", "who", "from", "why", "change"}, {}};
    for (const AuditRecord &record : *records) {
        for (const RowChange &change : record.changes) {
            const bool isWanted = m_row.empty() || rowName(change) == m_row;
            if (isWanted && (m_limit == 0 || sheet.rows.size() < m_limit)) {
                sheet.rows.push_back({record.revision, formatWallClock(record.wallClockMs), record.who,
                                      record.fromWhere, record.why, change.toString()});
            }
        }
    }
    context.output().print(sheet);
    return ExitCode::Ok;
}

ExitCode TableHistoryVerbs::diff(CommandContext &context) const
{
    HistoryRange range;
    range.sinceRevision = m_fromRevision + 1;
    absl::StatusOr<std::vector<AuditRecord>> records = readHistory(context, range);
    if (!records.ok()) {
        return context.fail(records.status());
    }
    if (m_toRevision != 0) {
        std::erase_if(*records, [this](const AuditRecord &record) {
            return record.revision > m_toRevision;
        });
    }
    std::reverse(records->begin(), records->end());
    nlohmann::json changes = nlohmann::json::array();
    std::string text;
    for (const RowChange &change : netChanges(*records)) {
        changes.push_back(rowChangeToJson(change));
        absl::StrAppend(&text, text.empty() ? "" : "\n", change.toString());
    }
    context.output().print(changes, text.empty() ? "no difference" : text);
    return ExitCode::Ok;
}

}
