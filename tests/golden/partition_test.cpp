#include "budgets/budgetholder.h"
#include "budgets/ledgereditor.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "recordedobjectstore.h"
#include "seededrandom.h"
#include "sessionrecorder.h"
#include "storelink.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

const BudgetId kBudget{OrganisationId("magnolia"), "quotes"};

std::string tellLedger(const std::string &key, const std::string &value)
{
    const absl::StatusOr<LedgerShard> shard = LedgerShard::fromJson(value);
    const BudgetRecord *record = key.ends_with("meta") || !shard.ok() ? nullptr : shard->find(kBudget);
    if (record == nullptr) {
        return "its layout";
    }
    return "(paid " + std::to_string(record->paid()) + ", settled " + std::to_string(record->settled())
        + ", in portions " + std::to_string(record->granted()) + ", free " + std::to_string(record->free()) + ")";
}

LedgerSettings ledgerSettings()
{
    LedgerSettings settings;
    settings.shardCount = 1;
    return settings;
}

/// Two entries in two regions that hold parts of one budget, an operator, and the store, to which each has its own way.
class Partition : public testing::Test
{
protected:
    struct Process {
        Process(Partition &session, const std::string &name, std::uint64_t seed)
            : name(name)
            , random(seed)
            , link(session.m_store, session.m_tasks, session.timers)
            , store(name, link, session.recorder, session.timers, 2ms, tellLedger)
            , ledger(store, session.timers, random, ledgerSettings())
        {
        }

        const std::string name;
        SeededRandom random;
        StoreLink link;
        RecordedObjectStore store;
        Ledger ledger;
        std::int64_t billed = 0;
    };

    struct Entry : Process {
        Entry(Partition &session, const std::string &name, const std::string &region, std::uint64_t seed)
            : Process(session, name, seed)
            , holder(ledger, session.timers, session.m_tasks, random, settings(name, region))
        {
        }

        static BudgetHolderSettings settings(const std::string &name, const std::string &region)
        {
            BudgetHolderSettings settings;
            settings.incarnation = IncarnationId(name);
            settings.region = region;
            return settings;
        }

        BudgetHolder holder;
    };

    /// A request that is reserved at its worst case of 100 tokens and, when let in, billed 60.
    void request(Entry &entry, const std::string &id)
    {
        recorder.sends("shop", entry.name, "question " + id);
        entry.holder.reserve({RequestId(id), kBudget, 100, timers.now() + 2s},
                             [this, &entry, id](const absl::StatusOr<Reservation> &reservation) {
                                 answer(entry, id, reservation);
                             });
        advance(500ms);
    }

    void topUp(const std::string &payment, std::int64_t tokens)
    {
        recorder.happens("the operator books " + payment + ", " + std::to_string(tokens) + " tokens");
        m_editor.topUp(kBudget, PaymentId(payment), tokens, "ada", [this, payment](const auto &record) {
            ASSERT_TRUE(record.ok()) << record.status();
            recorder.happens("the operator is told: " + payment + " is booked, paid " + std::to_string(record->paid()));
        });
        advance(200ms);
    }

    void setUp(const std::string &payment, std::int64_t tokens)
    {
        m_editor.createBudget(kBudget, "ada", [](const absl::Status &) {});
        topUp(payment, tokens);
    }

    void cut(Entry &entry, bool isCut)
    {
        recorder.happens(isCut ? entry.name + " is cut off from the store" : entry.name + " reaches the store again");
        entry.link.setCut(isCut);
    }

    void stop(Entry &entry)
    {
        recorder.happens(entry.name + " stops as planned");
        entry.holder.stop([this, &entry] {
            recorder.happens(entry.name + " has returned its portions");
        });
        advance(2s);
    }

    void advance(Duration span)
    {
        for (m_tasks.runAll(); span > Duration::zero(); span -= Duration(1ms)) {
            timers.advance(1ms);
            m_tasks.runAll();
        }
    }

    void tellSums()
    {
        const absl::StatusOr<LedgerShard> shard = LedgerShard::fromJson(m_store.objects().at("ledger/0000").value);
        ASSERT_TRUE(shard.ok());
        const BudgetRecord &record = *shard->find(kBudget);
        recorder.tells("Sums");
        recorder.sums("billed by south", south.billed);
        recorder.sums("billed by north", north.billed);
        recorder.sums("paid", record.paid());
        recorder.sums("settled", record.settled());
        recorder.sums("still in portions", record.granted());
        recorder.sums("free", record.free());
        EXPECT_EQ(record.settled(), south.billed + north.billed);
        EXPECT_EQ(record.settled() + record.free(), record.paid());
    }

    VirtualTimerService timers;
    SessionRecorder recorder{timers};

private:
    void answer(Entry &entry, const std::string &id, const absl::StatusOr<Reservation> &reservation)
    {
        if (!reservation.ok()) {
            std::string text = "refused: " + std::string(failureName(failureCode(reservation.status())));
            if (const auto retryAfter = retryAfterOf(reservation.status())) {
                text += ", come back in " + std::to_string(retryAfter->count()) + " ms";
            }
            recorder.sends(entry.name, "shop", text + " (" + id + ")");
            return;
        }
        ASSERT_TRUE(entry.holder.settle(RequestId(id), 60).ok());
        entry.billed += 60;
        recorder.sends(entry.name, "shop", "answer to " + id + ", 60 tokens");
    }

    ManualTaskQueue m_tasks;
    MemoryObjectStore m_store{m_tasks};
    Process m_operator{*this, "operator", 3};
    LedgerEditor m_editor{m_operator.ledger, timers, m_tasks};

protected:
    Entry south{*this, "south", "south", 1};
    Entry north{*this, "north", "north", 2};
};

}

// North is cut off from the store while payments come in at the south. North goes on with the part of the budget that
// it holds, and refuses at once when that is used up: it cannot know of the payments, and never spends on a guess. When
// the cut is mended it spends from them. No token is spent twice: at the end what was billed is what is settled.
TEST_F(Partition, northCutOff_withTopUps_spendsWhatItHoldsAndNothingElse)
{
    recorder.tells("The operator books the first payment; both entries serve a question.");
    setUp("payment-1", 1200);
    request(south, "south-1");
    request(north, "north-1");

    recorder.tells("North is cut off. The south's shop pays again, twice by mistake, and goes on.");
    cut(north, true);
    topUp("payment-2", 1000);
    topUp("payment-2", 1000);
    request(south, "south-2");

    recorder.tells("North goes on with what it holds until that is used up, then refuses.");
    for (int n = 2; n <= 9; ++n) {
        request(north, "north-" + std::to_string(n));
    }
    advance(3s);

    recorder.tells("The cut is mended: north spends from the new payment.");
    cut(north, false);
    advance(12s);
    request(north, "north-10");

    recorder.tells("Both stop as planned.");
    stop(south);
    stop(north);
    tellSums();
    recorder.expectGolden("partition-with-top-ups");
}
