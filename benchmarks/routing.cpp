#include "limits/fairqueue.h"
#include "manualtaskqueue.h"
#include "membership/fleetmembership.h"
#include "routing/poolrouter.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <benchmark/benchmark.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

constexpr int kModels = 23;
constexpr std::size_t kPromptBlocks = 32;
const Instant kNow{100s};

/// A directory of `n` endpoints, each serving one of 23 models in one pool.
struct Fleet {
    explicit Fleet(int n)
        : size(n)
    {
        for (int i = 0; i < n; ++i) {
            directory.applyReport(reportOf(i, 1), kNow - 20s);
        }
        heartbeat();
    }

    EndpointReport reportOf(int i, std::uint64_t sequence)
    {
        EndpointReport report;
        report.endpoint = EndpointId("endpoint-" + std::to_string(i));
        report.incarnation = IncarnationId("incarnation-" + std::to_string(i));
        report.sequence = sequence;
        report.pool = PoolId("pool");
        report.address = "10.0.0.1:" + std::to_string(i);
        report.zone = "zone-" + std::to_string(i % 5);
        report.region = "south-central";
        report.load.capacity = 32;
        report.load.running = static_cast<std::uint32_t>(random.below(32));
        report.load.tokensPerSecond = 1000;
        report.models = {"model-" + std::to_string(i % kModels)};
        return report;
    }

    void heartbeat()
    {
        ++sequence;
        for (int i = 0; i < size; ++i) {
            directory.applyReport(reportOf(i, sequence + 1), kNow);
        }
    }

    RouteQuery query()
    {
        RouteQuery query;
        query.pool = PoolId("pool");
        query.model = "model-" + std::to_string(random.below(kModels));
        query.promptTokens = 4000;
        query.zone = "zone-1";
        query.region = "south-central";
        const std::uint64_t conversation = random.below(10000);
        for (std::uint64_t i = 0; i < kPromptBlocks; ++i) {
            query.prefixHashes.push_back((conversation << 8) + i);
        }
        return query;
    }

    int size;
    std::uint64_t sequence = 1;
    SeededRandom random;
    EndpointDirectory directory;
    PoolRouter router{directory, random};
};

void chooseWith(benchmark::State &state, const std::string &policy)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    std::vector<RouteQuery> queries;
    for (int i = 0; i < 4096; ++i) {
        queries.push_back(fleet.query());
        queries.back().policy = policy;
    }
    std::size_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.router.choose(queries[i++ % queries.size()], kNow));
    }
}

void chooseDefault(benchmark::State &state)
{
    chooseWith(state, "default");
}

void chooseRoundRobin(benchmark::State &state)
{
    chooseWith(state, "round-robin");
}

void chooseLeastOutstanding(benchmark::State &state)
{
    chooseWith(state, "least-outstanding");
}

void applyReport(benchmark::State &state)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    std::uint64_t sequence = 10;
    std::vector<EndpointReport> reports;
    for (int i = 0; i < state.range(0); ++i) {
        reports.push_back(fleet.reportOf(i, 0));
    }
    std::size_t i = 0;
    for (auto _ : state) {
        EndpointReport &report = reports[i++ % reports.size()];
        report.sequence = ++sequence;
        benchmark::DoNotOptimize(fleet.directory.applyReport(report, kNow));
    }
}

void freeSlots(benchmark::State &state)
{
    Fleet fleet(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(fleet.router.freeSlots(PoolId("pool")));
    }
}

/// One request through a queue that many organisations wait in.
void queueRequest(benchmark::State &state)
{
    FairQueue queue;
    Instant now = kNow;
    std::vector<QueuedRequest> requests;
    for (int i = 0; i < 4096; ++i) {
        const OrganisationId organisation("organisation-" + std::to_string(i % state.range(0)));
        requests.push_back({RequestId("request-" + std::to_string(i)), organisation, 0, 1, 500, now + 3600s});
    }
    std::size_t i = 0;
    for (; i < 900; ++i) {
        queue.enqueue(requests[i], now).IgnoreError();
    }
    for (auto _ : state) {
        now += 100us;
        queue.enqueue(requests[i++ % requests.size()], now).IgnoreError();
        benchmark::DoNotOptimize(queue.next(now));
    }
}

/// The sweep that finds what can't be served in time.
void queueExpire(benchmark::State &state)
{
    FairQueue queue;
    for (int i = 0; i < 900; ++i) {
        const OrganisationId organisation("organisation-" + std::to_string(i % state.range(0)));
        queue.enqueue({RequestId(std::to_string(i)), organisation, 0, 1, 500, kNow + 3600s}, kNow).IgnoreError();
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(queue.expire(kNow));
    }
}

struct Entries {
    explicit Entries(int n)
    {
        for (int i = 0; i < n; ++i) {
            EntryMember member;
            member.incarnation = IncarnationId("entry-" + std::to_string(i));
            member.address = "10.1.0.1:" + std::to_string(i);
            member.zone = "zone-" + std::to_string(i % 5);
            member.region = "south-central";
            member.sequence = 1;
            membership.applyHeartbeat(member, kNow);
        }
    }

    ManualTaskQueue tasks;
    FleetMembership membership{tasks, kNow};
};

void homeOf(benchmark::State &state)
{
    Entries entries(static_cast<int>(state.range(0)));
    std::uint32_t shard = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(entries.membership.homeOf(shard++, "south-central"));
    }
}

void applyHeartbeat(benchmark::State &state)
{
    Entries entries(static_cast<int>(state.range(0)));
    std::vector<EntryMember> members = entries.membership.liveEntries("south-central");
    std::size_t i = 0;
    for (auto _ : state) {
        EntryMember &member = members[i++ % members.size()];
        ++member.sequence;
        benchmark::DoNotOptimize(entries.membership.applyHeartbeat(member, kNow));
    }
}

void subsetOf(benchmark::State &state)
{
    Entries entries(static_cast<int>(state.range(0)));
    std::vector<EndpointId> endpoints;
    for (int i = 0; i < 1300; ++i) {
        endpoints.emplace_back("endpoint-" + std::to_string(i));
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(entries.membership.subsetOf(endpoints, IncarnationId("entry-1"), 64));
    }
}

}

BENCHMARK(chooseDefault)->Arg(13)->Arg(130)->Arg(1300)->Arg(13000);
BENCHMARK(chooseRoundRobin)->Arg(1300);
BENCHMARK(chooseLeastOutstanding)->Arg(130)->Arg(1300)->Arg(13000);
BENCHMARK(applyReport)->Arg(130)->Arg(1300);
BENCHMARK(freeSlots)->Arg(130)->Arg(1300);
BENCHMARK(queueRequest)->Arg(3)->Arg(100)->Arg(800);
BENCHMARK(queueExpire)->Arg(3)->Arg(100)->Arg(800);
BENCHMARK(homeOf)->Arg(3)->Arg(41)->Arg(410);
BENCHMARK(applyHeartbeat)->Arg(410);
BENCHMARK(subsetOf)->Arg(41)->Arg(410);
