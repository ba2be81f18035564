#include "base/failure.h"
#include "prefillengines.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>

using namespace RadishSwitch;

/// The endpoints of one zone come back cold while the gateways are under load, simulated in virtual time.
class ColdZoneTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kGateways = 29;
    static constexpr int kEngines = 18;
    static constexpr int kEnginesInZone = 6;
    static constexpr double kColdCallsPerSecond = 18;

    explicit ColdZoneTest(double coldLimit = kColdCallsPerSecond)
    {
        ServedPool pool;
        pool.name = PoolId("llm");
        pool.coldCallsPerSecond = coldLimit;
        pool.coldStart = std::chrono::seconds(3);
        std::map<std::string, double> weights;
        for (int n = 0; n < kGateways; ++n) {
            weights[nameOf(n)] = 1;
        }
        for (int n = 0; n < kGateways; ++n) {
            gates.push_back(std::make_unique<CallGate>(timers, random, nameOf(n), zone(n)));
            gates.back()->allowances().setPools({pool});
            gates.back()->allowances().setGateways(weights);
            gates.back()->setClosedZones({});
            for (int engine = 0; engine < kEngines; ++engine) {
                gates.back()->registry().list(listing(engine), timers.now());
            }
        }
    }

    static std::string nameOf(int n)
    {
        return "gateway-" + std::to_string(n);
    }

    static std::string zone(int n)
    {
        return std::string(1, static_cast<char>('a' + n % 3));
    }

    static EndpointListing listing(int engine)
    {
        EndpointListing it;
        it.id = PrefillEngines::id(engine);
        it.pool = PoolId("llm");
        it.address = "10.0.0." + std::to_string(engine) + ":1";
        it.zone = zone(engine);
        it.slots = 64;
        it.revision = 1;
        return it;
    }

    static bool isInZone(const EndpointId &endpoint)
    {
        return zone(std::stoi(endpoint.value().substr(7))) == "a";
    }

    /// Sends `perSecond` calls over all gateways; a third of them share one prefix.
    void runLoad(Duration span, int perSecond)
    {
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            if (random.below(1000) < static_cast<std::uint64_t>(perSecond)) {
                send();
            }
            timers.advance(Milliseconds(1));
        }
    }

    void send()
    {
        ++calls;
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(calls));
        query.pool = PoolId("llm");
        query.organisation = OrganisationId("o");
        const std::uint64_t subject = calls % 3 == 0 ? 1 : 2 + random.below(100);
        query.parts = {{subject, 400}, {static_cast<std::uint64_t>(1'000'000 + calls), 600}};
        query.deadline = timers.now() + Milliseconds(450);
        CallGate &gate = *gates[random.below(kGateways)];
        gate.place(query, [this, &gate, query](const absl::StatusOr<Placement> &placement) {
            if (!placement.ok()) {
                ++refused;
                return;
            }
            noteArrival(placement->endpoint);
            engines.prefill(placement->endpoint, query.parts, [&gate, id = placement->id] {
                gate.noteFirstAnswer(id);
                gate.noteEnded(id, RunEnd::Ok);
            });
        });
    }

    void noteArrival(const EndpointId &endpoint)
    {
        arrivalsInZone += isInZone(endpoint) ? 1 : 0;
        std::deque<Instant> &lastSecond = arrivals[endpoint.value()];
        while (!lastSecond.empty() && timers.now() - lastSecond.front() >= std::chrono::seconds(1)) {
            lastSecond.pop_front();
        }
        lastSecond.push_back(timers.now());
        if (isInZone(endpoint)) {
            mostInOneSecond = std::max(mostInOneSecond, lastSecond.size());
        }
    }

    void openZone()
    {
        for (const auto &gate : gates) {
            gate->openZone("a");
        }
    }

    void closeZone()
    {
        for (const auto &gate : gates) {
            gate->closeZone("a");
        }
    }

    VirtualTimerService timers;
    SeededRandom random{5};
    PrefillEngines engines{timers, kEngines};
    std::vector<std::unique_ptr<CallGate>> gates;
    std::map<std::string, std::deque<Instant>> arrivals;
    int calls = 0;
    int refused = 0;
    int arrivalsInZone = 0;
    std::size_t mostInOneSecond = 0;
};

/// The same fleet where cold endpoints have no limit.
class UnboundedColdZoneTest : public ColdZoneTest
{
protected:
    UnboundedColdZoneTest()
        : ColdZoneTest(0)
    {
    }
};

// Guards against endpoints that crash because their zone is reopened under a surge while they are cold.
TEST_F(ColdZoneTest, coldZone_reopenedUnderSurge_noEndpointExceedsItsLimit)
{
    closeZone();
    runLoad(std::chrono::seconds(3), 400);
    mostInOneSecond = 0;
    arrivalsInZone = 0;
    openZone();
    runLoad(std::chrono::seconds(3), 400);
    EXPECT_LE(mostInOneSecond, kColdCallsPerSecond);
    // The zone is not left idle either: it serves calls from the first second on.
    EXPECT_GE(arrivalsInZone, 3 * kEnginesInZone * kColdCallsPerSecond / 3);
    EXPECT_EQ(refused, 0);
}

// The baseline: without the limit the same surge sends an endpoint more calls than it can take.
TEST_F(UnboundedColdZoneTest, coldZone_reopenedUnderSurgeWithoutLimit_endpointIsOverloaded)
{
    closeZone();
    runLoad(std::chrono::seconds(3), 400);
    mostInOneSecond = 0;
    openZone();
    runLoad(std::chrono::seconds(3), 400);
    EXPECT_GT(mostInOneSecond, 1.5 * kColdCallsPerSecond);
}

// Guards against calls to a closed zone, even if all other endpoints are full.
TEST_F(ColdZoneTest, closedZone_underLoad_getsNoCalls)
{
    runLoad(std::chrono::seconds(1), 400);
    EXPECT_GT(arrivalsInZone, 0);
    closeZone();
    arrivalsInZone = 0;
    runLoad(std::chrono::seconds(2), 900);
    EXPECT_EQ(arrivalsInZone, 0);
}

// Guards against calls that wait in vain when every zone is closed.
TEST_F(ColdZoneTest, call_allZonesClosed_isRefusedAtOnce)
{
    for (const auto &gate : gates) {
        gate->setClosedZones({"a", "b", "c"});
    }
    send();
    EXPECT_EQ(refused, 1);
}

// Guards against an endpoint that has become cold again and is sent as many calls as before.
TEST_F(ColdZoneTest, endpoint_turnsCold_isHeldToItsLimit)
{
    runLoad(std::chrono::seconds(2), 400);
    for (const auto &gate : gates) {
        for (int engine = 0; engine < kEngines; engine += 3) {
            EndpointListing it = listing(engine);
            it.revision = 2;
            it.coldFor = std::chrono::seconds(3);
            gate->registry().list(it, timers.now());
        }
    }
    arrivals.clear();
    mostInOneSecond = 0;
    runLoad(std::chrono::seconds(2), 400);
    EXPECT_LE(mostInOneSecond, kColdCallsPerSecond);
}

// Guards against a retry-after of seconds where a retry at another gateway would succeed at once.
TEST_F(ColdZoneTest, gateway_shareUsedUp_refusesWithShortRetryAfter)
{
    closeZone();
    openZone();
    for (const auto &gate : gates) {
        gate->setClosedZones({"b", "c"});
    }
    std::optional<std::chrono::milliseconds> retryAfter;
    for (int n = 0; n < 200; ++n) {
        PlacementQuery query;
        query.call = RequestId("crowd-" + std::to_string(n));
        query.pool = PoolId("llm");
        query.organisation = OrganisationId("o");
        query.deadline = timers.now() + Milliseconds(450);
        gates.front()->place(query, [&retryAfter](const absl::StatusOr<Placement> &placement) {
            if (!placement.ok()) {
                retryAfter = retryAfterOf(placement.status());
            }
        });
        timers.advance(Milliseconds(1));
    }
    timers.advance(std::chrono::seconds(1));
    ASSERT_TRUE(retryAfter);
    EXPECT_LE(*retryAfter, Milliseconds(50));
}
