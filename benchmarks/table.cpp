#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "table/steeringtable.h"
#include "table/tablecheck.h"
#include "table/tablecsv.h"
#include "table/tabledocument.h"
#include "table/tablefollower.h"
#include "table/tableplan.h"
#include "virtualtimerservice.h"

#include <benchmark/benchmark.h>

#include <cstdio>

using namespace RadishSwitch;

namespace
{

constexpr int kPools = 23;

std::string keyHash(int n)
{
    char buf[65];
    std::snprintf(buf, sizeof buf, "%064x", n * 2654435761u);
    return buf;
}

/// A table of the size that the project is designed for: each organisation with two keys and ceilings, every tenth with
/// a route of its own.
TableRows largeRows(int organisations)
{
    TableRows rows;
    for (int n = 0; n < kPools; ++n) {
        PoolRow pool;
        pool.name = PoolId("pool-" + std::to_string(n));
        pool.models = {"model-" + std::to_string(n)};
        rows.put(pool);
        RouteRow route;
        route.name = "all-" + std::to_string(n);
        route.model = pool.models.front();
        route.pool = pool.name;
        rows.put(route);
    }
    for (int n = 0; n < organisations; ++n) {
        OrganisationRow row;
        row.name = OrganisationId("organisation-" + std::to_string(n));
        row.keySha256 = {keyHash(2 * n), keyHash(2 * n + 1)};
        row.share = 100 + n % 7;
        row.ceilingRequestsPerSecond = 50 + n % 100;
        row.ceilingTokensPerSecond = 10'000 + n;
        row.ceilingConcurrent = 20 + n % 10;
        row.rowVersion = n;
        rows.put(row);
        if (n % 10 == 0) {
            RouteRow route;
            route.name = "own-" + std::to_string(n);
            route.organisation = row.name;
            route.model = "model-" + std::to_string(n % kPools);
            route.pool = PoolId("pool-" + std::to_string(n % kPools));
            rows.put(route);
        }
    }
    return rows;
}

TableDocument largeDocument(int organisations)
{
    TableDocument document;
    document.revision = 1000;
    document.rows = largeRows(organisations);
    for (int n = 1; n <= 64; ++n) {
        AuditRecord record;
        record.changeId = "936-0123456789abcdef";
        record.revision = 936 + n;
        record.who = "operator";
        record.fromWhere = "host-1.example";
        record.why = "Saturday peak";
        record.changes = {
            {TableKind::Organisation, "organisation-7", RowChangeType::Changed, {{"share", "100", "300"}}}};
        document.recent.push_back(std::move(record));
    }
    return document;
}

class NoPeers : public TablePeerPort
{
public:
    void pullTable(const std::string &, std::uint64_t, std::function<void(absl::StatusOr<std::string>)>) override
    {
    }
};

}

static void organisationOfKey(benchmark::State &state)
{
    const SteeringTable table(1, largeRows(state.range(0)));
    const std::vector<std::string> keys{keyHash(1), keyHash(777), keyHash(1500), keyHash(99'999'999)};
    std::size_t n = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.organisationOfKey(keys[++n % keys.size()]));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(organisationOfKey)->Arg(10)->Arg(1600);

static void routeForModel(benchmark::State &state)
{
    const SteeringTable table(1, largeRows(state.range(0)));
    const OrganisationId own("organisation-10");
    const OrganisationId other("organisation-11");
    double draw = 0;
    for (auto _ : state) {
        draw = draw < 0.9 ? draw + 0.01 : 0;
        benchmark::DoNotOptimize(table.routeForModel(draw < 0.5 ? own : other, "model-10", draw));
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(routeForModel)->Arg(10)->Arg(1600);

static void decodeDocument(benchmark::State &state)
{
    const std::string bytes = largeDocument(state.range(0)).encode();
    for (auto _ : state) {
        benchmark::DoNotOptimize(TableDocument::decode(bytes));
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}
BENCHMARK(decodeDocument)->Arg(10)->Arg(400)->Arg(1600)->Unit(benchmark::kMillisecond);

static void encodeDocument(benchmark::State &state)
{
    const TableDocument document = largeDocument(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(document.encode());
    }
}
BENCHMARK(encodeDocument)->Arg(1600)->Unit(benchmark::kMillisecond);

static void checkRows(benchmark::State &state)
{
    const TableRows rows = largeRows(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(checkTable(rows));
    }
}
BENCHMARK(checkRows)->Arg(1600)->Unit(benchmark::kMillisecond);

static void planCsv(benchmark::State &state)
{
    const TableRows rows = largeRows(state.range(0));
    const std::string csv = writeTableCsv(rows, std::nullopt);
    for (auto _ : state) {
        benchmark::DoNotOptimize(planTable(rows, *readTableCsv(csv, std::nullopt), false));
    }
    state.counters["bytes"] = static_cast<double>(csv.size());
}
BENCHMARK(planCsv)->Arg(1600)->Unit(benchmark::kMillisecond);

/// What one change costs a process that learns it from a peer: the delta's bytes, and the time to take it in.
static void takeDelta(benchmark::State &state)
{
    VirtualTimerService timers;
    ManualTaskQueue tasks;
    SeededRandom random;
    MemoryObjectStore store(tasks);
    NoPeers peers;
    TableDocument document = largeDocument(state.range(0));
    const TableRows rows = document.rows;
    TableFollower sender(store, timers, tasks, random, peers);
    TableFollower receiver(store, timers, tasks, random, peers);
    if (!sender.offer(document.revision, document.encode()).ok()
        || !receiver.offer(document.revision, document.encode()).ok()) {
        state.SkipWithError("the table was not taken");
        return;
    }
    std::size_t bytes = 0;
    for (auto _ : state) {
        state.PauseTiming();
        AuditRecord record = document.recent.back();
        record.revision = document.revision + 1;
        OrganisationRow row = document.rows.organisations.at(7);
        const TableRows before = document.rows;
        row.share = row.share == 100 ? 300 : 100;
        row.rowVersion = record.revision;
        document.rows.put(row);
        record.changes = differencesBetween(before, document.rows);
        document.recent.erase(document.recent.begin());
        document = document.withChange(document.rows, record);
        if (!sender.offer(document.revision, document.encode()).ok()) {
            state.SkipWithError("the table was not taken");
            return;
        }
        const std::string delta = sender.documentSince(document.revision - 1);
        bytes = delta.size();
        state.ResumeTiming();
        if (!receiver.offer(document.revision, delta).ok()) {
            state.SkipWithError("the delta was not taken");
            return;
        }
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(takeDelta)->Arg(400)->Arg(1600)->Unit(benchmark::kMillisecond);
