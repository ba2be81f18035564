#pragma once

#include "base/failure.h"
#include "budgets/budgetholder.h"
#include "budgets/ledgereditor.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "storelink.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace RadishSwitch
{

inline const BudgetId kBudget{OrganisationId("magnolia"), "quotes"};

/// A store in memory, virtual time, and processes that each have their own connection to the store.
class BudgetFixture : public ::testing::Test
{
protected:
    using Seconds = std::chrono::seconds;
    using Milliseconds = std::chrono::milliseconds;

    /// One process that holds portions.
    struct Process {
        Process(BudgetFixture &fixture, const std::string &incarnation, const std::string &region)
            : link(fixture.store, fixture.tasks, fixture.timers)
            , ledger(link, fixture.timers, fixture.random, fixture.ledgerSettings)
        {
            BudgetHolderSettings settings = fixture.holderSettings;
            settings.incarnation = IncarnationId(incarnation);
            settings.region = region;
            holder.emplace(ledger, fixture.timers, fixture.tasks, fixture.random, settings);
        }

        StoreLink link;
        Ledger ledger;
        std::optional<BudgetHolder> holder;
    };

    /// The result of a reservation and the time at which it arrived.
    struct Answer {
        std::optional<absl::StatusOr<Reservation>> result;
        Instant at{};

        bool isGranted() const
        {
            return result && result->ok();
        }

        bool isRefusedWith(FailureCode code) const
        {
            return result && !result->ok() && failureCode(result->status()) == code;
        }
    };

    BudgetFixture()
    {
        ledgerSettings.shardCount = 2;
        // Most tests use one budget that runs low, so the intervals for other budgets are set to the same values.
        ledgerSettings.relaxedDelay = ledgerSettings.soonDelay;
        holderSettings.relaxedCheckpointInterval = holderSettings.checkpointInterval;
        holderSettings.survivalTime = Seconds(90);
    }

    std::unique_ptr<Process> start(const std::string &incarnation, const std::string &region = "south")
    {
        return std::make_unique<Process>(*this, incarnation, region);
    }

    /// Advances virtual time by `span` and runs all tasks and timers.
    void run(Duration span, Duration step = Milliseconds(5))
    {
        const Instant end = timers.now() + span;
        tasks.runAll();
        while (timers.now() < end) {
            timers.advance(std::min<Duration>(step, end - timers.now()));
            tasks.runAll();
        }
    }

    void topUp(const std::string &payment, std::int64_t tokens, const BudgetId &budget = kBudget)
    {
        editor.createBudget(budget, "operator", [](const absl::Status &) {});
        editor.topUp(budget, PaymentId(payment), tokens, "operator", [](const auto &) {});
        run(Seconds(1));
    }

    std::shared_ptr<Answer> reserve(Process &process, const std::string &request, std::int64_t tokens,
                                    Duration timeout = Seconds(10), const BudgetId &budget = kBudget)
    {
        const auto answer = std::make_shared<Answer>();
        const ReservationRequest asked{RequestId(request), budget, tokens, timers.now() + timeout};
        process.holder->reserve(asked, [this, answer](absl::StatusOr<Reservation> result) {
            EXPECT_FALSE(answer->result) << "answered twice";
            answer->result = std::move(result);
            answer->at = timers.now();
        });
        return answer;
    }

    /// Reserves and settles at once; returns whether the reservation was granted.
    bool spend(Process &process, const std::string &request, std::int64_t reserved, std::int64_t charged)
    {
        const auto answer = reserve(process, request, reserved);
        run(Milliseconds(200));
        if (!answer->isGranted()) {
            return false;
        }
        spent += charged;
        return process.holder->settle(RequestId(request), charged).ok();
    }

    BudgetRecord record(const BudgetId &budget = kBudget) const
    {
        const auto it = store.objects().find(ledgerShardKey(ledgerShardOf(budget, ledgerSettings.shardCount)));
        if (it == store.objects().end()) {
            return {};
        }
        const absl::StatusOr<LedgerShard> shard = LedgerShard::fromJson(it->second.value);
        EXPECT_TRUE(shard.ok()) << shard.status();
        const BudgetRecord *found = shard.ok() ? shard->find(budget) : nullptr;
        return found ? *found : BudgetRecord();
    }

    /// Checks the invariant of the record, and that the tokens that requests really used do not exceed those paid.
    void expectLedgerHolds() const
    {
        EXPECT_TRUE(record().check().ok());
        EXPECT_LE(spent, record().paid());
    }

    /// Changes the record in the store in place of another process.
    void editRecord(const std::function<absl::Status(BudgetRecord &)> &change)
    {
        const std::string key = ledgerShardKey(ledgerShardOf(kBudget, ledgerSettings.shardCount));
        const StoredObject object = store.objects().at(key);
        LedgerShard shard = LedgerShard::fromJson(object.value).value();
        ASSERT_TRUE(shard.change(kBudget, change).ok());
        store.put(key, shard.toJson(), object.version, [](const auto &) {});
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    SeededRandom random;
    MemoryObjectStore store{tasks};
    LedgerSettings ledgerSettings;
    BudgetHolderSettings holderSettings;
    /// Tokens that the test's requests really used.
    std::int64_t spent = 0;

private:
    LedgerSettings editorSettings() const
    {
        LedgerSettings settings;
        settings.shardCount = 2;
        return settings;
    }

protected:
    Ledger editorLedger{store, timers, random, editorSettings()};
    LedgerEditor editor{editorLedger, timers, tasks};
};

}
