#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "recordedobjectstore.h"
#include "seededrandom.h"
#include "sessionrecorder.h"
#include "table/rowconflict.h"
#include "table/tableeditor.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

std::string tellTable(const std::string &key, const std::string &value)
{
    if (key != kTableKey) {
        return "records";
    }
    const auto document = documentOf(StoredObject{key, value, 1});
    std::string text = "revision " + std::to_string(document->revision) + " (";
    for (const OrganisationRow &row : document->rows.organisations) {
        text += (text.back() == '(' ? "" : ", ") + row.name.value() + " " + std::to_string(row.share);
    }
    return text + ")";
}

/// Two operators at their desks, each with an editor and a way to the one store.
class OperatorRace : public testing::Test
{
protected:
    struct Operator {
        Operator(OperatorRace &race, const std::string &name, std::uint64_t seed)
            : name(name)
            , random(seed)
            , store(name, race.m_store, race.recorder, race.timers, 2ms, tellTable)
            , editor(store, race.timers, race.m_tasks, random)
        {
        }

        const std::string name;
        SeededRandom random;
        RecordedObjectStore store;
        TableEditor editor;
    };

    void submit(Operator &by, std::vector<TableChangePointer> changes, const std::string &why)
    {
        TableEdit edit;
        edit.changes = std::move(changes);
        edit.who = by.name;
        edit.fromWhere = "desk of " + by.name;
        edit.why = why;
        std::string text;
        for (const TableChangePointer &change : edit.changes) {
            text += (text.empty() ? "" : "; ") + change->describe();
        }
        recorder.happens(by.name + " edits: " + text);
        by.editor.submit(std::move(edit), [this, name = by.name](const absl::StatusOr<AuditRecord> &record) {
            tell(name, record);
        });
    }

    TableChangePointer share(const std::string &organisation, const std::string &value, std::uint64_t version)
    {
        return std::make_shared<SetCellChange>(TableKind::Organisation, organisation, "share", value, version);
    }

    void advance(Duration span)
    {
        for (m_tasks.runAll(); span > Duration::zero(); span -= Duration(1ms)) {
            timers.advance(1ms);
            m_tasks.runAll();
        }
    }

    void tellHistory(Operator &by)
    {
        by.editor.history({}, [this](const absl::StatusOr<std::vector<AuditRecord>> &records) {
            ASSERT_TRUE(records.ok());
            for (const AuditRecord &record : *records) {
                recorder.happens("audit: revision " + std::to_string(record.revision) + " by " + record.who + " from "
                                 + record.fromWhere + ": " + record.why);
            }
            recorder.sums("accepted changes", static_cast<std::int64_t>(records->size()), "records");
        });
        advance(100ms);
    }

    VirtualTimerService timers;
    SessionRecorder recorder{timers};

private:
    void tell(const std::string &name, const absl::StatusOr<AuditRecord> &record)
    {
        if (record.ok()) {
            std::string text;
            for (const RowChange &change : record->changes) {
                text += (text.empty() ? "" : "; ") + change.toString();
            }
            recorder.happens(name + " is told: revision " + std::to_string(record->revision) + ", " + text);
            return;
        }
        const std::optional<RowConflict> conflict = rowConflictOf(record.status());
        ASSERT_TRUE(conflict) << record.status();
        recorder.happens(name + " is told: refused, yours " + conflict->yours + ", theirs " + conflict->theirs + " by "
                         + conflict->winner);
    }

    ManualTaskQueue m_tasks;
    MemoryObjectStore m_store{m_tasks};

protected:
    Operator ada{*this, "ada", 1};
    Operator ben{*this, "ben", 2};
};

}

// Two operators edit the table at the same moment. Edits of different rows both go in: the slower writer's is made
// again on the newer table. Of two edits of one cell the later is refused, with both values and the name of who won; it
// never silently undoes the other. The audit names every accepted change.
TEST_F(OperatorRace, twoEditors_sameMoment_bothRowsGoInAndOneCellConflicts)
{
    recorder.tells("Ada sets two organisations up.");
    submit(ada,
           {std::make_shared<AddRowChange>(defaultRow(TableKind::Organisation, "harbour")),
            std::make_shared<AddRowChange>(defaultRow(TableKind::Organisation, "magnolia"))},
           "the first table");
    advance(100ms);

    recorder.tells("Both edit at once, each another row.");
    submit(ada, {share("harbour", "200", 1)}, "harbour pays more");
    submit(ben, {share("magnolia", "300", 1)}, "magnolia's sale");
    advance(500ms);

    recorder.tells("Both edit one cell, each having seen the same table.");
    submit(ben, {share("harbour", "50", 2)}, "harbour is quiet");
    submit(ada, {share("harbour", "400", 2)}, "harbour's season");
    advance(500ms);

    recorder.tells("What the audit has, newest first");
    tellHistory(ben);
    recorder.expectGolden("operator-race");
}
