#include "serving/endpointloads.h"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

using namespace RadishSwitch;

namespace
{

std::atomic<std::size_t> allocations = 0;

}

// Counts allocations, since taking in a report is meant to make none.
void *operator new(std::size_t size)
{
    ++allocations;
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace
{

constexpr int kFew = 60;
constexpr int kMany = 625;
/// Endpoints in one message of a collector.
constexpr int kReportsPerMessage = 48;

/// What a gateway knows about the endpoints of one pool, a third of which is slow.
struct Fleet {
    explicit Fleet(int count)
        : count(count)
    {
        for (int n = 0; n < count; ++n) {
            EndpointListing listing;
            listing.id = EndpointId("endpoint-" + std::to_string(n));
            listing.pool = PoolId("llm");
            listing.address = "10.0.100." + std::to_string(n) + ":8080";
            listing.startedAtMilliseconds = 1'700'000'000'000;
            registry.list(listing, now);
            EndpointLoadReport report;
            report.address = listing.address;
            report.startedAtMilliseconds = listing.startedAtMilliseconds;
            report.running = n % 40;
            report.idleEventInterval = std::chrono::milliseconds(n % 3 == 0 ? 24 : 10);
            report.longestPause = std::chrono::milliseconds(n % 100);
            report.expectedWait = std::chrono::milliseconds(n % 3 == 0 ? 300 : 0);
            report.memoryShare = 0.5;
            reports.push_back(report);
        }
        for (int n = 0; n < count; ++n) {
            takeInNext();
        }
        loads.update(now);
    }

    void takeInNext()
    {
        now += std::chrono::microseconds(1);
        benchmark::DoNotOptimize(loads.takeIn(reports[next], now));
        next = (next + 1) % reports.size();
    }

    const int count;
    Instant now{std::chrono::hours(1)};
    EndpointRegistry registry;
    EndpointLoads loads{registry};
    std::vector<EndpointLoadReport> reports;
    std::size_t next = 0;
};

void countAllocations(benchmark::State &state, std::size_t before)
{
    state.counters["allocations"] = static_cast<double>(allocations - before);
}

void takeInReport(benchmark::State &state)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    const std::size_t before = allocations;
    for (auto _ : state) {
        fleet.takeInNext();
    }
    countAllocations(state, before);
}

/// All reports of a message, and the medians after them; the time is that of one report.
void takeInMessage(benchmark::State &state)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    const std::size_t before = allocations;
    while (state.KeepRunningBatch(kReportsPerMessage)) {
        for (int n = 0; n < kReportsPerMessage; ++n) {
            fleet.takeInNext();
        }
        benchmark::DoNotOptimize(fleet.loads.update(fleet.now));
    }
    countAllocations(state, before);
}

void estimateOne(benchmark::State &state)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    const Instant later = fleet.now + std::chrono::milliseconds(700);
    EndpointSlot slot = 0;
    const std::size_t before = allocations;
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.loads.estimate(slot, later));
        slot = (slot + 1) % static_cast<EndpointSlot>(fleet.count);
    }
    countAllocations(state, before);
}

void askIsUneven(benchmark::State &state)
{
    Fleet fleet(kFew);
    const PoolId pool("llm");
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.loads.isUneven(pool));
    }
}

BENCHMARK(takeInReport)->Arg(kFew)->Arg(kMany);
BENCHMARK(takeInMessage)->Arg(kFew)->Arg(kMany);
BENCHMARK(estimateOne)->Arg(kFew)->Arg(kMany);
BENCHMARK(askIsUneven);

}
