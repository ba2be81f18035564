#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <benchmark/benchmark.h>

#include <map>
#include <vector>

using namespace RadishSwitch;

namespace
{

constexpr int kEndpoints = 180;
/// Endpoints of a small and of a large fleet.
constexpr int kFew = 60;
constexpr int kMany = 625;
constexpr int kGateways = 103;

/// Load of endpoints of which every third is slow.
class UnevenLoads : public EndpointLoadSource
{
public:
    explicit UnevenLoads(int endpoints)
        : m_loads(static_cast<std::size_t>(endpoints))
    {
        for (std::size_t n = 0; n < m_loads.size(); ++n) {
            const double factor = n % 3 == 0 ? 2.4 : 1;
            m_loads[n].idleEventSeconds = 0.0267 * factor;
            m_loads[n].relativeSpeed = 1 / factor;
            m_loads[n].running = 10;
        }
    }

    std::optional<LoadEstimate> estimate(EndpointSlot slot, Instant /*now*/) const override
    {
        return m_loads[slot];
    }

    bool isUneven(const PoolId & /*pool*/) const override
    {
        return true;
    }

private:
    std::vector<LoadEstimate> m_loads;
};

/// A gateway before endpoints of five zones.
struct Gateway {
    explicit Gateway(int endpoints = kEndpoints)
    {
        ServedPool pool;
        pool.name = PoolId("llm");
        pool.coldCallsPerSecond = 18;
        pool.coldStart = std::chrono::seconds(3);
        gate.allowances().setPools({pool});
        std::map<std::string, double> weights;
        for (int n = 0; n < kGateways; ++n) {
            weights["gateway-" + std::to_string(n)] = 1;
        }
        gate.allowances().setGateways(weights);
        for (int n = 0; n < endpoints; ++n) {
            gate.registry().list(listing(n), timers.now());
        }
    }

    static EndpointListing listing(int n)
    {
        EndpointListing it;
        it.id = EndpointId("endpoint-" + std::to_string(n));
        it.pool = PoolId("llm");
        it.address = "10.0.0." + std::to_string(n) + ":1";
        it.zone = "zone-" + std::to_string(n % 5);
        it.slots = 64;
        it.revision = 1;
        return it;
    }

    /// The endpoints whose number leaves `rest` when divided by three turn cold.
    void makeCold(int rest)
    {
        for (int n = rest; n < kEndpoints; n += 3) {
            EndpointListing it = listing(n);
            it.revision = 2;
            it.coldFor = std::chrono::hours(1);
            gate.registry().list(it, timers.now());
        }
    }

    /// Places a call and ends it, a millisecond after the one before.
    void placeOne()
    {
        placeOne(random.below(100));
    }

    void placeOne(std::uint64_t sharedPrefix)
    {
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(++calls));
        query.pool = PoolId("llm");
        query.organisation = OrganisationId("o");
        query.parts = {{sharedPrefix, 400}, {static_cast<std::uint64_t>(1'000'000 + calls), 600}};
        query.deadline = timers.now() + std::chrono::milliseconds(400);
        query.targetLatency = std::chrono::milliseconds(300);
        query.targetGap = std::chrono::milliseconds(250);
        query.expectedEvents = 42;
        gate.place(query, [this](const absl::StatusOr<Placement> &placement) {
            if (placement.ok()) {
                gate.noteEnded(placement->id, RunEnd::Ok);
            }
        });
        timers.advance(std::chrono::milliseconds(1));
    }

    VirtualTimerService timers;
    SeededRandom random{7};
    CallGate gate{timers, random, "gateway-0", "zone-0"};
    int calls = 0;
};

void placeAmongAll(benchmark::State &state)
{
    Gateway gateway(static_cast<int>(state.range(0)));
    for (auto _ : state) {
        gateway.placeOne();
    }
}

void placeByNeed(benchmark::State &state)
{
    const int endpoints = static_cast<int>(state.range(0));
    const UnevenLoads loads(endpoints);
    Gateway gateway(endpoints);
    gateway.gate.setLoadSource(&loads);
    for (auto _ : state) {
        gateway.placeOne();
    }
}

// The worst case: no call shares its prefix with an earlier one, so that no order of endpoints is known.
void placeByNeedWithNewPrefixes(benchmark::State &state)
{
    const int endpoints = static_cast<int>(state.range(0));
    const UnevenLoads loads(endpoints);
    Gateway gateway(endpoints);
    gateway.gate.setLoadSource(&loads);
    for (auto _ : state) {
        gateway.placeOne(static_cast<std::uint64_t>(10'000'000 + gateway.calls));
    }
}

void placeWithZoneClosedAndThirdCold(benchmark::State &state)
{
    Gateway gateway;
    gateway.gate.closeZone("zone-1");
    gateway.makeCold(0);
    for (auto _ : state) {
        gateway.placeOne();
    }
}

void decideColdCall(benchmark::State &state)
{
    Gateway gateway;
    const RegisteredEndpoint &endpoint = gateway.gate.registry().at(0);
    for (auto _ : state) {
        benchmark::DoNotOptimize(endpoint.coldCalls.isBelow(
            gateway.gate.allowances().ownColdCallsPerSecond(endpoint.listing.pool, endpoint.hash),
            gateway.timers.now()));
    }
}

BENCHMARK(placeAmongAll)->Arg(kFew)->Arg(kEndpoints)->Arg(kMany);
BENCHMARK(placeByNeed)->Arg(kFew)->Arg(kEndpoints)->Arg(kMany);
BENCHMARK(placeByNeedWithNewPrefixes)->Arg(kFew)->Arg(kMany);
BENCHMARK(placeWithZoneClosedAndThirdCold);
BENCHMARK(decideColdCall);

}
