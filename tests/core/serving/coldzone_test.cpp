#include "base/failure.h"
#include "prefillengines.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>

using namespace RadishSwitch;

/// The endpoints of one zone come back cold while the gateways of the fleet are loaded, replayed in virtual time.
class ColdZoneTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kGateways = 29;
    static constexpr int kEngines = 18;
    static constexpr int kEnginesOfZone = 6;
    static constexpr double kBearing = 18;

    explicit ColdZoneTest(double bearing = kBearing)
    {
        ServedPool pool;
        pool.name = PoolId("llm");
        pool.coldCallsPerSecond = bearing;
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

    static bool isOfClosedZone(const EndpointId &endpoint)
    {
        return zone(std::stoi(endpoint.value().substr(7))) == "a";
    }

    /// Plays calls, `perSecond` over all gateways, a third of them of one subject.
    void play(Duration span, int perSecond)
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
        arrivalsInZone += isOfClosedZone(endpoint) ? 1 : 0;
        std::deque<Instant> &lately = arrivals[endpoint.value()];
        while (!lately.empty() && timers.now() - lately.front() >= std::chrono::seconds(1)) {
            lately.pop_front();
        }
        lately.push_back(timers.now());
        if (isOfClosedZone(endpoint)) {
            mostInOneSecond = std::max(mostInOneSecond, lately.size());
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

/// The same fleet where a cold endpoint bears whatever it is sent.
class UnboundedColdZoneTest : public ColdZoneTest
{
protected:
    UnboundedColdZoneTest()
        : ColdZoneTest(0)
    {
    }
};

// Guards against endpoints that crash as their zone is opened again, empty, under a surge.
TEST_F(ColdZoneTest, zoneOpenedUnderSurge_sendsNoEndpointMoreThanItBears)
{
    closeZone();
    play(std::chrono::seconds(3), 400);
    mostInOneSecond = 0;
    arrivalsInZone = 0;
    openZone();
    play(std::chrono::seconds(3), 400);
    EXPECT_LE(mostInOneSecond, kBearing);
    // Neither is the zone left idle: it takes a part of the work from the first second on.
    EXPECT_GE(arrivalsInZone, 3 * kEnginesOfZone * kBearing / 3);
    EXPECT_EQ(refused, 0);
}

// The baseline: without the bound the same surge sends an endpoint more than it bears.
TEST_F(UnboundedColdZoneTest, zoneOpenedUnderSurge_overrunsAnEndpoint)
{
    closeZone();
    play(std::chrono::seconds(3), 400);
    mostInOneSecond = 0;
    openZone();
    play(std::chrono::seconds(3), 400);
    EXPECT_GT(mostInOneSecond, 1.5 * kBearing);
}

// Guards against calls into a zone that operators have closed, also where all others are full.
TEST_F(ColdZoneTest, closedZone_getsNothing)
{
    play(std::chrono::seconds(1), 400);
    EXPECT_GT(arrivalsInZone, 0);
    closeZone();
    arrivalsInZone = 0;
    play(std::chrono::seconds(2), 900);
    EXPECT_EQ(arrivalsInZone, 0);
}

// Guards against callers that wait for nothing, when every zone is closed.
TEST_F(ColdZoneTest, allZonesClosed_callsAreRefusedAtOnce)
{
    for (const auto &gate : gates) {
        gate->setClosedZones({"a", "b", "c"});
    }
    send();
    EXPECT_EQ(refused, 1);
}

// Guards against an endpoint that has turned cold again and is sent as much as before.
TEST_F(ColdZoneTest, endpointThatTurnsCold_getsWhatItBears)
{
    play(std::chrono::seconds(2), 400);
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
    play(std::chrono::seconds(2), 400);
    EXPECT_LE(mostInOneSecond, kBearing);
}

// Guards against callers told to come back in seconds, when another gateway would take them at once.
TEST_F(ColdZoneTest, gatewayWithoutPartsLeft_tellsCallersToComeBackAtOnce)
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
