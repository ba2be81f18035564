#include "table/tableeditor.h"

#include "base/failure.h"
#include "faultyobjectstore.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "table/rowconflict.h"
#include "table/tableproblem.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

class TableEditorTest : public testing::Test
{
protected:
    using Result = std::optional<absl::StatusOr<AuditRecord>>;

    void SetUp() override
    {
        TableEdit edit;
        for (const char *name : {"blinds", "curtains"}) {
            edit.changes.push_back(std::make_shared<AddRowChange>(defaultRow(TableKind::Organisation, name)));
        }
        edit.who = "setup";
        ASSERT_TRUE(submit(m_editor, edit).ok());
    }

    TableEdit setShare(const std::string &who, const std::string &organisation, const std::string &share,
                       std::uint64_t expectedVersion = 1)
    {
        TableEdit edit;
        edit.changes.push_back(
            std::make_shared<SetCellChange>(TableKind::Organisation, organisation, "share", share, expectedVersion));
        edit.who = who;
        edit.fromWhere = "desk of " + who;
        edit.why = "test";
        return edit;
    }

    std::shared_ptr<Result> begin(TableEditor &editor, const TableEdit &edit)
    {
        const auto result = std::make_shared<Result>();
        editor.submit(edit, [result](const absl::StatusOr<AuditRecord> &answer) {
            *result = answer;
        });
        return result;
    }

    void runUntil(const std::shared_ptr<Result> &result)
    {
        for (int n = 0; n < 10'000 && !result->has_value(); ++n) {
            m_tasks.runAll();
            if (!result->has_value()) {
                m_timers.fireNext();
            }
        }
        ASSERT_TRUE(result->has_value());
    }

    absl::StatusOr<AuditRecord> submit(TableEditor &editor, const TableEdit &edit)
    {
        const auto result = begin(editor, edit);
        runUntil(result);
        return result->value_or(makeFailure(FailureCode::Internal, "no answer"));
    }

    TableDocument document()
    {
        return *TableDocument::decode(m_store.objects().at(kTableKey).value);
    }

    std::int64_t share(const std::string &organisation)
    {
        const std::optional<TableRow> row = document().rows.find(TableKind::Organisation, organisation);
        return std::get<OrganisationRow>(*row).share;
    }

    std::vector<AuditRecord> history()
    {
        std::vector<AuditRecord> records;
        m_editor.history({}, [&records](const absl::StatusOr<std::vector<AuditRecord>> &answer) {
            ASSERT_TRUE(answer.ok()) << answer.status();
            records = *answer;
        });
        m_tasks.runAll();
        return records;
    }

    VirtualTimerService m_timers;
    ManualTaskQueue m_tasks;
    SeededRandom m_random;
    MemoryObjectStore m_store{m_tasks};
    FaultyObjectStore m_path{m_store, m_tasks};
    TableEditor m_editor{m_store, m_timers, m_tasks, m_random};
    TableEditor m_other{m_path, m_timers, m_tasks, m_random};
};

}

TEST_F(TableEditorTest, submit_acceptedChange_isOneWriteWithItsRecord)
{
    const int before = m_store.writes();

    const absl::StatusOr<AuditRecord> record = submit(m_editor, setShare("ann", "blinds", "300"));

    ASSERT_TRUE(record.ok()) << record.status();
    EXPECT_EQ(m_store.writes(), before + 1);
    EXPECT_EQ(document().revision, 2u);
    EXPECT_EQ(document().recent.back(), *record);
    EXPECT_EQ(record->who, "ann");
    EXPECT_EQ(record->fromWhere, "desk of ann");
    EXPECT_EQ(record->changes,
              (std::vector<RowChange>{
                  {TableKind::Organisation, "blinds", RowChangeType::Changed, {{"share", "100", "300"}}}}));
}

TEST_F(TableEditorTest, submit_sameValueAgain_writesNothing)
{
    ASSERT_TRUE(submit(m_editor, setShare("ann", "blinds", "300")).ok());
    const int before = m_store.writes();

    const absl::StatusOr<AuditRecord> record = submit(m_editor, setShare("bob", "blinds", "300"));

    ASSERT_TRUE(record.ok()) << record.status();
    EXPECT_TRUE(record->changes.empty());
    EXPECT_EQ(record->revision, 2u);
    EXPECT_EQ(m_store.writes(), before);
}

TEST_F(TableEditorTest, submit_twoOperatorsOneRow_loserLearnsBothValuesAndWinner)
{
    // Two operators read the same row and change it at the same moment. Both writes go out on the same version of the
    // object; the store takes the first. The second reads again, finds the row changed under it, and must not write
    // over what its operator has never seen.
    const auto first = begin(m_editor, setShare("ann", "blinds", "300"));
    const auto second = begin(m_other, setShare("bob", "blinds", "700"));
    runUntil(first);
    runUntil(second);

    ASSERT_TRUE((*first)->ok());
    ASSERT_FALSE((*second)->ok());
    const std::optional<RowConflict> conflict = rowConflictOf((*second)->status());
    ASSERT_TRUE(conflict) << (*second)->status();
    EXPECT_EQ(failureCode((*second)->status()), FailureCode::RowConflict);
    EXPECT_EQ(conflict->column, "share");
    EXPECT_EQ(conflict->yours, "700");
    EXPECT_EQ(conflict->theirs, "300");
    EXPECT_EQ(conflict->winner, "ann");
    EXPECT_EQ(conflict->fromWhere, "desk of ann");
    EXPECT_EQ(share("blinds"), 300);
}

TEST_F(TableEditorTest, submit_twoOperatorsDifferentRows_bothGoIn)
{
    const auto first = begin(m_editor, setShare("ann", "blinds", "300"));
    const auto second = begin(m_other, setShare("bob", "curtains", "700"));
    runUntil(first);
    runUntil(second);

    EXPECT_TRUE((*first)->ok());
    EXPECT_TRUE((*second)->ok());
    EXPECT_EQ(share("blinds"), 300);
    EXPECT_EQ(share("curtains"), 700);
    EXPECT_EQ(document().revision, 3u);
}

TEST_F(TableEditorTest, submit_answerLost_isReadBackAndInOnce)
{
    // The write takes effect and its answer is lost, so the operator's program does not know. Writing again on top
    // would put the change, its record and its revision in twice.
    m_store.loseAnswersOfNextWrites(1);

    const absl::StatusOr<AuditRecord> record = submit(m_editor, setShare("ann", "blinds", "300"));

    ASSERT_TRUE(record.ok()) << record.status();
    EXPECT_EQ(*record, document().recent.back());
    EXPECT_EQ(document().revision, 2u);
    EXPECT_EQ(history().size(), 2u);
}

TEST_F(TableEditorTest, submit_answerLostAndRowChangedSince_isNotSetAgain)
{
    // Ann's write takes effect and its answer is lost. Before her program reads back, Bob sees her value and sets
    // another. Were her change made again, it would revert Bob's, which was accepted after it.
    m_store.loseAnswersOfNextWrites(1);
    const auto first = begin(m_editor, setShare("ann", "blinds", "300", 0));
    m_tasks.runAll();
    ASSERT_FALSE(first->has_value());
    ASSERT_EQ(share("blinds"), 300);
    ASSERT_TRUE(submit(m_other, setShare("bob", "blinds", "700", 2)).ok());
    runUntil(first);

    EXPECT_TRUE((*first)->ok());
    EXPECT_EQ(share("blinds"), 700);
    EXPECT_EQ(history().size(), 3u);
}

TEST_F(TableEditorTest, submit_writeArrivesAfterItsRetry_isInOnce)
{
    // The first write hangs in the network; the program gives it up, reads, finds nothing and writes again. Then the
    // first one arrives. Both carry the version that was read, so the store takes only one of them.
    m_path.holdNextWrite();
    const absl::StatusOr<AuditRecord> record = submit(m_other, setShare("ann", "blinds", "300"));
    m_path.deliverHeldWrites();
    m_tasks.runAll();

    EXPECT_TRUE(record.ok()) << record.status();
    EXPECT_EQ(document().revision, 2u);
    EXPECT_EQ(history().size(), 2u);
}

TEST_F(TableEditorTest, submit_readFromThePast_neverWritesOverNewerRows)
{
    // The store answers one program's reads from before Ann's change. A write made on that would take her change out
    // again; the store refuses it by version, and the program fails rather than go round for ever.
    m_path.freezeReads();
    ASSERT_TRUE(submit(m_editor, setShare("ann", "blinds", "300")).ok());

    const absl::StatusOr<AuditRecord> record = submit(m_other, setShare("bob", "curtains", "700"));

    EXPECT_FALSE(record.ok());
    EXPECT_EQ(share("blinds"), 300);
    EXPECT_EQ(share("curtains"), 100);
}

TEST_F(TableEditorTest, submit_readOlderThanWhatTheOperatorSaw_waitsForTheStore)
{
    m_path.freezeReads();
    ASSERT_TRUE(submit(m_editor, setShare("ann", "blinds", "300")).ok());

    const auto result = begin(m_other, setShare("bob", "blinds", "700", 2));
    m_tasks.runAll();
    EXPECT_FALSE(result->has_value());
    m_path.thawReads();
    runUntil(result);

    EXPECT_TRUE((*result)->ok()) << (*result)->status();
    EXPECT_EQ(share("blinds"), 700);
}

TEST_F(TableEditorTest, submit_storeAway_failsTypedAndChangesNothing)
{
    const std::string before = m_store.objects().at(kTableKey).value;
    m_store.setUnavailable(true);

    const absl::StatusOr<AuditRecord> record = submit(m_editor, setShare("ann", "blinds", "300"));

    EXPECT_EQ(failureCode(record.status()), FailureCode::StoreUnavailable);
    EXPECT_EQ(outcomeOf(record.status()), RunOutcome::NotRun);
    EXPECT_EQ(m_store.objects().at(kTableKey).value, before);
}

TEST_F(TableEditorTest, submit_outcomeUnknownThenSentAgainUnderItsId_isInOnce)
{
    // The answer is lost and then the store goes away, so the edit ends with an unknown outcome. Much later, when its
    // record has moved to an archive, the operator sends it again under the id that the failure named.
    m_store.loseAnswersOfNextWrites(1);
    TableEdit edit = setShare("ann", "blinds", "300", 0);
    edit.changeId = "1-00000000000000aa";
    const auto result = begin(m_editor, edit);
    m_tasks.runAll();
    m_store.setUnavailable(true);
    runUntil(result);
    EXPECT_EQ(failureCode((*result)->status()), FailureCode::StoreTimeout);
    EXPECT_EQ(outcomeOf((*result)->status()), RunOutcome::Unknown);
    m_store.setUnavailable(false);
    for (int n = 0; n < 150; ++n) {
        ASSERT_TRUE(submit(m_editor, setShare("bob", "blinds", std::to_string(500 + n), 0)).ok());
    }

    const absl::StatusOr<AuditRecord> record = submit(m_other, edit);

    ASSERT_TRUE(record.ok()) << record.status();
    EXPECT_EQ(record->revision, 2u);
    EXPECT_EQ(document().findChange(edit.changeId), nullptr);
    EXPECT_EQ(share("blinds"), 649);
    EXPECT_EQ(history().size(), 152u);
}

TEST_F(TableEditorTest, submit_manyChanges_keepsEveryRecordAndASmallDocument)
{
    for (int n = 0; n < 300; ++n) {
        ASSERT_TRUE(submit(m_editor, setShare("ann", "blinds", std::to_string(200 + n), 0)).ok());
    }

    const std::vector<AuditRecord> records = history();

    EXPECT_LE(document().recent.size(), 65u);
    ASSERT_EQ(records.size(), 301u);
    for (std::size_t n = 0; n < records.size(); ++n) {
        EXPECT_EQ(records[n].revision, records.size() - n);
    }
}

TEST_F(TableEditorTest, submit_answersOfArchivesLost_losesNoRecord)
{
    for (int n = 0; n < 200; ++n) {
        m_store.loseAnswersOfNextWrites(n % 3);
        ASSERT_TRUE(submit(m_editor, setShare("ann", "blinds", std::to_string(200 + n), 0)).ok());
    }

    EXPECT_EQ(document().revision, 201u);
    EXPECT_EQ(history().size(), 201u);
}

TEST_F(TableEditorTest, submit_conflictWithOldChange_namesItsWinnerFromTheArchive)
{
    ASSERT_TRUE(submit(m_editor, setShare("ann", "blinds", "300")).ok());
    for (int n = 0; n < 100; ++n) {
        ASSERT_TRUE(submit(m_editor, setShare("bob", "curtains", std::to_string(200 + n), 0)).ok());
    }

    const absl::StatusOr<AuditRecord> record = submit(m_other, setShare("cem", "blinds", "700", 1));

    ASSERT_TRUE(rowConflictOf(record.status()));
    EXPECT_EQ(rowConflictOf(record.status())->winner, "ann");
}

TEST_F(TableEditorTest, submit_oneOfTwoChangesInvalid_changesNothing)
{
    TableEdit edit = setShare("ann", "blinds", "300");
    edit.changes.push_back(setShare("ann", "curtains", "minus one").changes.front());

    const absl::StatusOr<AuditRecord> record = submit(m_editor, edit);

    EXPECT_EQ(failureCode(record.status()), FailureCode::TableInvalid);
    EXPECT_EQ(tableProblemsOf(record.status()).front().column, "share");
    EXPECT_EQ(share("blinds"), 100);
}

TEST_F(TableEditorTest, submit_rowRemovedWhileAnotherLeansOnIt_isRefused)
{
    TableEdit edit;
    RouteRow route;
    route.name = "own-route";
    route.organisation = OrganisationId("nobody");
    route.model = "patter-llm";
    route.pool = PoolId("nowhere");
    edit.changes.push_back(std::make_shared<AddRowChange>(route));

    const absl::StatusOr<AuditRecord> record = submit(m_editor, edit);

    EXPECT_EQ(failureCode(record.status()), FailureCode::TableInvalid);
    EXPECT_EQ(tableProblemsOf(record.status()).size(), 2u);
    EXPECT_EQ(document().revision, 1u);
}

TEST_F(TableEditorTest, submit_onAnotherRevision_isRefused)
{
    TableEdit edit = setShare("ann", "blinds", "300");
    edit.onRevision = 7;

    EXPECT_EQ(failureCode(submit(m_editor, edit).status()), FailureCode::VersionConflict);
}

TEST_F(TableEditorTest, submit_tableOfANewerProgram_isLeftAlone)
{
    TableDocument newer = document();
    newer.format = kTableFormat + 1;
    const StoredObject object = m_store.objects().at(kTableKey);
    m_store.put(kTableKey, newer.encode(), object.version, [](const auto &) {});
    m_tasks.runAll();

    EXPECT_EQ(failureCode(submit(m_editor, setShare("ann", "blinds", "300")).status()), FailureCode::ObjectMalformed);
}

TEST_F(TableEditorTest, submit_tablePastAMegabyte_isRefusedTyped)
{
    TableEdit edit;
    for (int n = 0; n < 4000; ++n) {
        OrganisationRow row;
        row.name = OrganisationId("shop-" + std::to_string(n));
        row.note = std::string(200, 'x');
        edit.changes.push_back(std::make_shared<AddRowChange>(row));
    }

    EXPECT_EQ(failureCode(submit(m_editor, edit).status()), FailureCode::ObjectTooLarge);
    EXPECT_EQ(document().revision, 1u);
}
