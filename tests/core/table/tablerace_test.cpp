#include "table/tableeditor.h"
#include "table/tablefollower.h"

#include "base/failure.h"
#include "faultyobjectstore.h"
#include "manualtaskqueue.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

constexpr int kOperators = 4;
constexpr int kFollowers = 3;
constexpr int kRows = 3;
constexpr int kSteps = 300;

class NoPeers : public TablePeerPort
{
public:
    void pullTable(const std::string &, std::uint64_t, std::function<void(absl::StatusOr<std::string>)>) override
    {
    }
};

/// An operator who reads the table and sets a share, again and again, and sends an edit of unknown outcome again.
class Operator
{
public:
    Operator(MemoryObjectStore &store, TimerService &timers, TaskQueue &tasks, SeededRandom &random, std::string name)
        : path(store, tasks)
        , m_editor(path, timers, tasks, random)
        , m_random(random)
        , m_name(std::move(name))
    {
    }

    void work()
    {
        if (!m_isBusy) {
            m_isBusy = true;
            m_editor.read([this](const absl::StatusOr<TableDocument> &document) {
                document.ok() ? edit(*document) : finish();
            });
        }
    }

    bool isBusy() const
    {
        return m_isBusy;
    }

    FaultyObjectStore path;
    std::vector<std::string> accepted;
    int conflicts = 0;
    int unknown = 0;

private:
    void edit(const TableDocument &document)
    {
        const std::string row = "row-" + std::to_string(m_random.below(kRows));
        const std::optional<TableRow> present = document.rows.find(TableKind::Organisation, row);
        const std::string share = std::to_string(1 + m_random.below(10'000));
        m_edit = TableEdit();
        m_edit.who = m_name;
        m_edit.changes.push_back(std::make_shared<SetCellChange>(TableKind::Organisation, row, "share", share,
                                                                 present ? rowVersionOf(*present) : 0));
        submit();
    }

    void submit()
    {
        m_editor.submit(m_edit, [this](const absl::StatusOr<AuditRecord> &record) {
            if (record.ok() && !record->changes.empty()) {
                accepted.push_back(record->changeId);
            }
            conflicts += failureCode(record.status()) == FailureCode::RowConflict ? 1 : 0;
            if (record.ok() || outcomeOf(record.status()) == RunOutcome::NotRun) {
                finish();
                return;
            }
            ++unknown;
            m_edit.changeId = changeIdOf(record.status());
            submit();
        });
    }

    void finish()
    {
        m_isBusy = false;
    }

    TableEditor m_editor;
    SeededRandom &m_random;
    std::string m_name;
    TableEdit m_edit;
    bool m_isBusy = false;
};

class TableRaceTest : public testing::TestWithParam<int>
{
protected:
    void SetUp() override
    {
        TableEditor editor(m_store, m_timers, m_tasks, m_random);
        TableEdit edit;
        for (int n = 0; n < kRows; ++n) {
            edit.changes.push_back(
                std::make_shared<AddRowChange>(defaultRow(TableKind::Organisation, "row-" + std::to_string(n))));
        }
        editor.submit(edit, [](const auto &) {});
        m_tasks.runAll();
        for (int n = 0; n < kOperators; ++n) {
            m_operators.push_back(
                std::make_unique<Operator>(m_store, m_timers, m_tasks, m_random, "operator-" + std::to_string(n)));
        }
        for (int n = 0; n < kFollowers; ++n) {
            addFollower();
        }
    }

    void addFollower()
    {
        auto path = std::make_unique<FaultyObjectStore>(m_store, m_tasks);
        auto follower = std::make_unique<TableFollower>(*path, m_timers, m_tasks, m_random, m_peers);
        follower->subscribe([this, last = std::uint64_t{0}](const SteeringTablePointer &table) mutable {
            m_reverted += table->revision() <= last ? 1 : 0;
            last = table->revision();
        });
        follower->setWatching(true);
        follower->start();
        m_paths.push_back(std::move(path));
        m_followers.push_back(std::move(follower));
        m_highest.push_back(0);
    }

    void checkRevisions()
    {
        for (std::size_t n = 0; n < m_followers.size(); ++n) {
            const std::uint64_t revision = m_followers[n]->current()->revision();
            m_reverted += revision < m_highest[n] ? 1 : 0;
            m_highest[n] = std::max(m_highest[n], revision);
        }
    }

    FaultyObjectStore &anyPath()
    {
        const std::uint64_t n = m_random.below(kOperators + kFollowers);
        return n < kOperators ? m_operators[n]->path : *m_paths[n - kOperators];
    }

    void breakSomething()
    {
        switch (m_random.below(10)) {
        case 0:
        case 1:
            m_store.loseAnswersOfNextWrites(1 + static_cast<int>(m_random.below(2)));
            break;
        case 2:
            anyPath().freezeReads();
            break;
        case 3:
            anyPath().setSilent(true);
            break;
        case 4:
            anyPath().holdNextWrite();
            break;
        case 5:
            m_store.setUnavailable(m_random.below(2) == 0);
            break;
        default:
            mendOne(anyPath());
        }
    }

    static void mendOne(FaultyObjectStore &path)
    {
        path.thawReads();
        path.setSilent(false);
        path.deliverHeldWrites();
    }

    void mendAll()
    {
        m_store.setUnavailable(false);
        m_store.loseAnswersOfNextWrites(0);
        for (const auto &it : m_operators) {
            mendOne(it->path);
        }
        for (const auto &it : m_paths) {
            mendOne(*it);
        }
    }

    void pass(Duration span)
    {
        for (Duration passed{}; passed < span; passed += 20ms) {
            m_tasks.runAll();
            checkRevisions();
            m_timers.advance(20ms);
        }
        m_tasks.runAll();
    }

    VirtualTimerService m_timers;
    ManualTaskQueue m_tasks;
    SeededRandom m_random{static_cast<std::uint64_t>(GetParam())};
    MemoryObjectStore m_store{m_tasks};
    NoPeers m_peers;
    std::vector<std::unique_ptr<Operator>> m_operators;
    std::vector<std::unique_ptr<FaultyObjectStore>> m_paths;
    std::vector<std::unique_ptr<TableFollower>> m_followers;
    std::vector<std::uint64_t> m_highest;
    int m_reverted = 0;
};

}

TEST_P(TableRaceTest, operatorsAndFaults_anyOrder_everyAcceptedChangeIsInOnceAndForGood)
{
    // Four operators set shares of the same few rows, while answers are lost, reads come from the past, writes arrive
    // late, calls vanish and the store goes away, at random. Each operator was told of the changes that were accepted.
    // Each of these must be in the table's history once, the history must lead to the rows in force, and no process may
    // ever have gone back.
    for (int n = 0; n < kSteps; ++n) {
        breakSomething();
        for (const auto &it : m_operators) {
            it->work();
        }
        pass(Duration(m_random.below(1'000'000)));
    }
    mendAll();
    pass(60s);

    TableEditor editor(m_store, m_timers, m_tasks, m_random);
    absl::StatusOr<std::vector<AuditRecord>> history = makeFailure(FailureCode::Internal, "no answer");
    absl::StatusOr<TableDocument> document = makeFailure(FailureCode::Internal, "no answer");
    editor.history({}, [&history](const auto &answer) {
        history = answer;
    });
    editor.read([&document](const auto &answer) {
        document = answer;
    });
    m_tasks.runAll();
    ASSERT_TRUE(history.ok()) << history.status();
    ASSERT_TRUE(document.ok()) << document.status();

    std::map<std::string, int> timesIn;
    TableRows replayed;
    for (auto it = history->rbegin(); it != history->rend(); ++it) {
        ++timesIn[it->changeId];
        ASSERT_TRUE(applyRowChanges(replayed, it->changes, it->revision).ok());
    }
    EXPECT_EQ(replayed, document->rows);
    EXPECT_EQ(history->size(), document->revision);
    std::size_t accepted = 0;
    for (const auto &it : m_operators) {
        EXPECT_FALSE(it->isBusy());
        accepted += it->accepted.size();
        for (const std::string &changeId : it->accepted) {
            EXPECT_EQ(timesIn[changeId], 1) << changeId;
        }
    }
    EXPECT_EQ(accepted + 1, history->size());
    EXPECT_EQ(m_reverted, 0);
    for (const auto &it : m_followers) {
        EXPECT_EQ(it->current()->rows(), document->rows);
    }
    int conflicts = 0;
    int unknown = 0;
    for (const auto &it : m_operators) {
        conflicts += it->conflicts;
        unknown += it->unknown;
    }
    RecordProperty("accepted", static_cast<int>(accepted));
    RecordProperty("conflicts", conflicts);
    RecordProperty("unknown", unknown);
    EXPECT_GT(accepted, 100u);
    EXPECT_GT(conflicts, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, TableRaceTest, testing::Range(1, 9));
