// Reserving and settling in a holder that has many budgets loaded, and what each of them costs in memory.

#include "budgets/budgetholder.h"
#include "budgets/createbudgetchange.h"
#include "budgets/takeportionchange.h"
#include "budgets/topupchange.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <memory>

using namespace RadishSwitch;

namespace
{

constexpr int kOrganisations = 1600;
constexpr std::int64_t kPaid = 1'000'000'000;

BudgetId budgetOf(std::int64_t i)
{
    return {OrganisationId("organisation-" + std::to_string(i % kOrganisations)), "budget-" + std::to_string(i)};
}

LedgerSettings settings()
{
    LedgerSettings settings;
    settings.shardCount = 1024;
    settings.storeCallsPerSecond = 1e9;
    settings.storeCallBurst = 1e9;
    settings.objectLimit = std::size_t(1) << 30;
    return settings;
}

/// A holder with a portion of each of `budgets` budgets, as it is after one request on each.
class LoadedHolder
{
public:
    explicit LoadedHolder(std::int64_t budgets)
    {
        fillStore(budgets);
        // Checkpoints and growing portions belong to another measurement.
        holderSettings.requestsAhead = 100'000;
        holderSettings.checkpointInterval = std::chrono::hours(10);
        holderSettings.incarnation = IncarnationId("0123456789abcdef");
        ledger = std::make_unique<Ledger>(store, timers, random, settings());
        holder = std::make_unique<BudgetHolder>(*ledger, timers, tasks, random, holderSettings);
        const std::size_t before = bytesInUse();
        load(budgets);
        // The rest that a portion's records take in the store's fake is counted out: its values are made before and
        // after alike, so they are measured by themselves.
        bytesPerBudget = static_cast<double>(bytesInUse() - before - (storeBytes() - storeBytesAtFirst))
            / static_cast<double>(budgets);
        granted = 0;
        for (std::int64_t i = 0; i < budgets; ++i) {
            const std::optional<HeldBudgetStatus> status = holder->budgetStatus(budgetOf(i));
            granted += status && !status->portions.empty() ? 1 : 0;
        }
    }

    void reserve(const RequestId &request, const BudgetId &budget)
    {
        const Instant deadline = timers.now() + std::chrono::seconds(600);
        holder->reserve({request, budget, 100, deadline}, [](const absl::StatusOr<Reservation> &answer) {
            benchmark::DoNotOptimize(answer.ok());
        });
    }

    ManualTaskQueue tasks;
    VirtualTimerService timers;
    SeededRandom random;
    MemoryObjectStore store{tasks};
    BudgetHolderSettings holderSettings;
    std::unique_ptr<Ledger> ledger;
    std::unique_ptr<BudgetHolder> holder;
    double bytesPerBudget = 0;
    std::int64_t granted = 0;

private:
    void fillStore(std::int64_t budgets)
    {
        std::vector<LedgerShard> shards(settings().shardCount);
        for (std::int64_t i = 0; i < budgets; ++i) {
            const BudgetId budget = budgetOf(i);
            LedgerShard &shard = shards[ledgerShardOf(budget, settings().shardCount)];
            CreateBudgetChange(budget, "operator", 0).apply(shard).IgnoreError();
            TopUpChange(budget, PaymentId("payment"), kPaid, "operator", 0).apply(shard).IgnoreError();
        }
        for (std::uint32_t i = 0; i < shards.size(); ++i) {
            store.put(ledgerShardKey(i), shards[i].toJson(), 0, [](const auto &) {});
        }
        tasks.runAll();
        storeBytesAtFirst = storeBytes();
    }

    /// One shard after the other, so that each is read and written once.
    void load(std::int64_t budgets)
    {
        std::vector<std::vector<std::int64_t>> byShard(settings().shardCount);
        for (std::int64_t i = 0; i < budgets; ++i) {
            byShard[ledger->shardOf(budgetOf(i))].push_back(i);
        }
        for (const std::vector<std::int64_t> &shard : byShard) {
            for (const std::int64_t i : shard) {
                reserve(RequestId("load-" + std::to_string(i)), budgetOf(i));
            }
            settleDown();
            for (const std::int64_t i : shard) {
                holder->settle(RequestId("load-" + std::to_string(i)), 50).IgnoreError();
            }
        }
    }

    void settleDown()
    {
        for (int i = 0; i < 10; ++i) {
            tasks.runAll();
            timers.advance(std::chrono::milliseconds(5));
        }
        tasks.runAll();
    }

    std::size_t bytesInUse() const
    {
        malloc_trim(0);
        return mallinfo2().uordblks + mallinfo2().hblkhd;
    }

    std::size_t storeBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &[key, object] : store.objects()) {
            bytes += object.value.capacity();
        }
        return bytes;
    }

    std::size_t storeBytesAtFirst = 0;
};

void reserveAndSettle(benchmark::State &state)
{
    LoadedHolder loaded(state.range(0));
    std::vector<BudgetId> budgets;
    for (std::int64_t i = 0; i < 4096; ++i) {
        budgets.push_back(budgetOf(i * 7919 % state.range(0)));
    }
    std::vector<RequestId> requests;
    for (std::int64_t i = 0; i < 4096; ++i) {
        requests.emplace_back("magnolia-request-" + std::to_string(i));
    }
    std::size_t n = 0;
    for (auto _ : state) {
        const std::size_t i = n++ % budgets.size();
        loaded.reserve(requests[i], budgets[i]);
        loaded.tasks.runAll();
        loaded.holder->settle(requests[i], 50).IgnoreError();
    }
    state.counters["budgets_held"] = static_cast<double>(loaded.granted);
    state.counters["bytes_per_budget"] = loaded.bytesPerBudget;
}

/// A shard as it is at 360,000 budgets over 1,024 shards: each budget with one payment and one portion.
LedgerShard usualShard()
{
    constexpr std::int64_t budgetsOfAShard = 352;
    LedgerShard shard;
    for (std::int64_t i = 0; i < budgetsOfAShard; ++i) {
        const BudgetId budget = budgetOf(i);
        CreateBudgetChange(budget, "operator", 0).apply(shard).IgnoreError();
        TopUpChange(budget, PaymentId("payment-2026-" + std::to_string(i)), kPaid, "operator", 0)
            .apply(shard)
            .IgnoreError();
        PortionRequest request;
        request.portion = PortionId("0123456789abcdef-" + std::to_string(i));
        request.holder = IncarnationId("0123456789abcdef");
        request.region = "south-central";
        request.desired = kPaid / 10;
        TakePortionChange(budget, request).apply(shard).IgnoreError();
    }
    return shard;
}

void readShard(benchmark::State &state)
{
    const std::string json = usualShard().toJson();
    for (auto _ : state) {
        benchmark::DoNotOptimize(LedgerShard::fromJson(json).ok());
    }
    state.counters["bytes"] = static_cast<double>(json.size());
}

void writeShard(benchmark::State &state)
{
    const LedgerShard shard = usualShard();
    for (auto _ : state) {
        benchmark::DoNotOptimize(shard.toJson().size());
    }
}

BENCHMARK(readShard)->Unit(benchmark::kMillisecond);
BENCHMARK(writeShard)->Unit(benchmark::kMillisecond);
BENCHMARK(reserveAndSettle)->Arg(1000)->Arg(36'000)->Arg(360'000)->Iterations(200'000)->Unit(benchmark::kMicrosecond);

}
