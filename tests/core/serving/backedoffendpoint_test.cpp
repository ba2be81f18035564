#include "base/failure.h"
#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace RadishSwitch;

/// Endpoints that turn calls away and say for how long they want none, at fleets of several sizes, in virtual time.
class BackedOffEndpointTest : public testing::TestWithParam<int>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kEndpoints = 12;
    static constexpr Duration kTravel = Milliseconds(3);
    static constexpr Duration kWork = Milliseconds(20);
    static constexpr Duration kOnTheirWay = Milliseconds(500);
    static constexpr std::size_t kMost = 2;

    struct Demand {
        Instant at{};
        Duration backoff{};
    };

    /// What one gateway and one endpoint have seen of one another.
    struct Pair {
        std::vector<Instant> arrivals;
        std::vector<Demand> demands;
    };

    BackedOffEndpointTest()
    {
        std::map<std::string, double> weights;
        for (int n = 0; n < GetParam(); ++n) {
            weights["gateway-" + std::to_string(n)] = 1;
        }
        for (const auto &[name, weight] : weights) {
            gates.push_back(std::make_unique<CallGate>(timers, random, name, "a"));
            gates.back()->allowances().setGateways(weights);
            for (int n = 0; n < kEndpoints; ++n) {
                gates.back()->registry().list(listing(n), timers.now());
            }
        }
    }

    static EndpointId id(int n)
    {
        return EndpointId("engine-" + std::to_string(n));
    }

    static EndpointListing listing(int n)
    {
        EndpointListing it;
        it.id = id(n);
        it.pool = PoolId("llm");
        it.address = "10.0.0." + std::to_string(n) + ":1";
        it.zone = "a";
        it.slots = 64;
        it.revision = 1;
        it.startedAtMilliseconds = 1'000;
        return it;
    }

    PlacementQuery query()
    {
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(++m_calls));
        query.pool = PoolId("llm");
        query.deadline = timers.now() + std::chrono::milliseconds(400);
        return query;
    }

    void play(Duration span, int perSecond)
    {
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            if (random.below(1000) < static_cast<std::uint64_t>(perSecond)) {
                send(random.below(gates.size()));
            }
            timers.advance(Milliseconds(1));
        }
    }

    void send(std::size_t gateway)
    {
        CallGate &gate = *gates[gateway];
        ++sent;
        gate.place(query(), [this, gateway](const absl::StatusOr<Placement> &placement) {
            if (!placement.ok()) {
                ++refused;
                return;
            }
            timers.after(kTravel, [this, gateway, it = *placement] {
                arrive(gateway, it);
            });
        });
    }

    void arrive(std::size_t gateway, const Placement &placement)
    {
        Pair &pair = pairs[{gateway, placement.endpoint}];
        pair.arrivals.push_back(timers.now());
        EndpointNotice notice;
        if (backedOff.contains(placement.endpoint)) {
            notice.backoff = backoff;
            pair.demands.push_back({timers.now(), backoff});
        }
        timers.after(notice.backoff ? kTravel : kWork, [this, gateway, placement, notice] {
            answer(gateway, placement, notice);
        });
    }

    void answer(std::size_t gateway, const Placement &placement, const EndpointNotice &notice)
    {
        gates[gateway]->noteNotice(placement.id, notice);
        gates[gateway]->noteEnded(placement.id, notice.backoff ? RunEnd::Refused : RunEnd::Ok);
        (notice.backoff ? turnedAway : answered) += 1;
    }

    /// The most calls of one gateway that reached an endpoint while a demand held, but for those on their way.
    std::size_t mostWhileBackedOff() const
    {
        std::size_t most = 0;
        for (const auto &[names, pair] : pairs) {
            for (const Demand &demand : pair.demands) {
                const auto first = std::ranges::lower_bound(pair.arrivals, demand.at + kOnTheirWay);
                const auto last = std::ranges::lower_bound(pair.arrivals, demand.at + demand.backoff);
                most = std::max(most, static_cast<std::size_t>(std::max(last - first, std::ptrdiff_t(0))));
            }
        }
        return most;
    }

    std::size_t arrivalsAt(const EndpointId &endpoint) const
    {
        std::size_t sum = 0;
        for (const auto &[names, pair] : pairs) {
            sum += names.second == endpoint ? pair.arrivals.size() : 0;
        }
        return sum;
    }

    /// A placement of the first gateway at an endpoint; calls elsewhere end at once.
    Placement placeAt(const EndpointId &endpoint)
    {
        Placement at;
        while (at.endpoint != endpoint) {
            gates.front()->place(query(), [&](const absl::StatusOr<Placement> &placement) {
                ASSERT_TRUE(placement.ok());
                if (placement->endpoint != endpoint) {
                    gates.front()->noteEnded(placement->id, RunEnd::Ok);
                }
                at = *placement;
            });
        }
        return at;
    }

    void demand(const EndpointId &endpoint, Duration span)
    {
        const Placement placement = placeAt(endpoint);
        EndpointNotice notice;
        notice.backoff = span;
        gates.front()->noteNotice(placement.id, notice);
        gates.front()->noteEnded(placement.id, RunEnd::Refused);
    }

    /// Whether the first gateway sends any of many calls there.
    bool isSentCalls(const EndpointId &endpoint)
    {
        bool isSent = false;
        std::vector<PlacementId> placed;
        for (int n = 0; n < 20 * kEndpoints; ++n) {
            gates.front()->place(query(), [&](const absl::StatusOr<Placement> &placement) {
                if (placement.ok()) {
                    isSent = isSent || placement->endpoint == endpoint;
                    placed.push_back(placement->id);
                }
            });
        }
        for (const PlacementId it : placed) {
            gates.front()->noteEnded(it, RunEnd::Ok);
        }
        return isSent;
    }

    VirtualTimerService timers;
    SeededRandom random{7};
    std::vector<std::unique_ptr<CallGate>> gates;
    std::set<EndpointId> backedOff;
    Duration backoff = std::chrono::seconds(3);
    std::map<std::pair<std::size_t, EndpointId>, Pair> pairs;
    int sent = 0;
    int refused = 0;
    int answered = 0;
    int turnedAway = 0;

private:
    int m_calls = 0;
};

// Load: a third of the endpoints turns away all calls for nine seconds. Their refusals come at once, so that they look
// idle, and got two to five times the calls of the others.
TEST_P(BackedOffEndpointTest, endpointsThatAskForBackoff_areSentNothingMeanwhile)
{
    backedOff = {id(0), id(3), id(5), id(9)};
    play(std::chrono::seconds(9), 400);
    timers.advance(std::chrono::seconds(1));
    EXPECT_LE(mostWhileBackedOff(), kMost);
    EXPECT_EQ(answered + turnedAway + refused, sent);
    // A call or two for each gateway, endpoint and backoff, and never more than a third of the endpoints would get.
    const int backoffs = static_cast<int>(std::chrono::seconds(9) / backoff);
    const int most = 2 * GetParam() * static_cast<int>(backedOff.size()) * backoffs;
    EXPECT_LE(turnedAway, std::min(most, sent / 3));
}

// Guards against a short demand that ends a longer one, and an answer without one that ends any.
TEST_P(BackedOffEndpointTest, longestOfSeveralDemands_holds)
{
    const Placement before = placeAt(id(2));
    demand(id(2), std::chrono::seconds(3));
    timers.advance(Milliseconds(100));
    EndpointNotice shorter;
    shorter.backoff = Milliseconds(200);
    gates.front()->noteNotice(before.id, shorter);
    gates.front()->noteNotice(before.id, EndpointNotice());
    gates.front()->noteEnded(before.id, RunEnd::Ok);
    timers.advance(Milliseconds(2800));
    EXPECT_FALSE(isSentCalls(id(2)));
    timers.advance(std::chrono::seconds(3));
    EXPECT_TRUE(isSentCalls(id(2)));
}

// Guards against calls that wait for their deadline while nothing can take them, and callers told nothing of use.
TEST_P(BackedOffEndpointTest, callWhileAllBackedOff_isRefusedAtOnceWithTheTimeOfTheFirst)
{
    for (int n = 0; n < kEndpoints; ++n) {
        demand(id(n), std::chrono::seconds(n == 4 ? 2 : 5));
    }
    std::optional<absl::Status> status;
    gates.front()->place(query(), [&](const absl::StatusOr<Placement> &placement) {
        status = placement.status();
    });
    ASSERT_TRUE(status.has_value());
    EXPECT_EQ(outcomeOf(*status), RunOutcome::NotRun);
    EXPECT_GE(retryAfterOf(*status), std::chrono::seconds(2));
    EXPECT_LE(retryAfterOf(*status), Milliseconds(3100));
}

// Guards against a later life that pays for what the one before it asked for, and the other way round.
TEST_P(BackedOffEndpointTest, demand_bindsOneLife)
{
    const Placement ofEarlier = placeAt(id(2));
    demand(id(2), std::chrono::seconds(60));
    EndpointListing reborn = listing(2);
    reborn.startedAtMilliseconds = 2'000;
    reborn.revision = 2;
    gates.front()->registry().list(reborn, timers.now());
    EXPECT_TRUE(isSentCalls(id(2)));
    EndpointNotice late;
    late.backoff = std::chrono::seconds(60);
    gates.front()->noteNotice(ofEarlier.id, late);
    gates.front()->noteEnded(ofEarlier.id, RunEnd::Refused);
    EXPECT_TRUE(isSentCalls(id(2)));
}

// Guards against the call that asks a limit of nothing again while the endpoint wants none.
TEST_P(BackedOffEndpointTest, limitOfNothing_isNotAskedAgainDuringABackoff)
{
    const Placement placement = placeAt(id(2));
    EndpointNotice notice;
    notice.callsPerSecond = 0;
    notice.backoff = std::chrono::seconds(20);
    gates.front()->noteNotice(placement.id, notice);
    gates.front()->noteEnded(placement.id, RunEnd::Refused);
    for (int n = 0; n < 19; ++n) {
        timers.advance(std::chrono::seconds(1));
        EXPECT_FALSE(isSentCalls(id(2))) << n;
    }
}

// Guards against a call that was placed before the demand came, and is sent once its connection stands.
TEST_P(BackedOffEndpointTest, callPlacedBeforeADemand_mayNotBeSentAfterIt)
{
    const Placement before = placeAt(id(2));
    EXPECT_TRUE(gates.front()->mayStillBeSent(before.id));
    demand(id(2), std::chrono::seconds(3));
    EXPECT_FALSE(gates.front()->mayStillBeSent(before.id));
    gates.front()->noteEnded(before.id, RunEnd::Cancelled);
    EXPECT_FALSE(gates.front()->mayStillBeSent(before.id));
}

// Guards against calls that waited for room when the demand came, and are sent there once there is room.
TEST_P(BackedOffEndpointTest, callsThatWait_keepToADemand)
{
    std::vector<Placement> placed;
    const auto note = [&](const absl::StatusOr<Placement> &placement) {
        if (placement.ok()) {
            placed.push_back(*placement);
        }
    };
    while (gates.front()->waiting() < 20) {
        gates.front()->place(query(), note);
    }
    const std::size_t before = placed.size();
    EndpointNotice notice;
    notice.backoff = std::chrono::seconds(3);
    for (std::size_t n = 0; n < before; ++n) {
        const bool isResting = placed[n].endpoint == id(2);
        gates.front()->noteNotice(placed[n].id, isResting ? notice : EndpointNotice());
        if (isResting) {
            gates.front()->noteEnded(placed[n].id, RunEnd::Refused);
        }
    }
    EXPECT_EQ(placed.size(), before);
    for (std::size_t n = 0; n < before; ++n) {
        if (placed[n].endpoint != id(2)) {
            gates.front()->noteEnded(placed[n].id, RunEnd::Ok);
        }
    }
    EXPECT_GT(placed.size(), before);
    for (std::size_t n = before; n < placed.size(); ++n) {
        EXPECT_NE(placed[n].endpoint, id(2));
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, BackedOffEndpointTest, testing::Values(1, 4, 30, 300));
