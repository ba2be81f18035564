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

/// Endpoints that refuse calls and ask for backoff, with fleets of several sizes, in virtual time.
class BackedOffEndpointTest : public testing::TestWithParam<int>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kEndpoints = 12;
    static constexpr Duration kNetworkDelay = Milliseconds(3);
    static constexpr Duration kServiceTime = Milliseconds(20);
    static constexpr Duration kInFlightTime = Milliseconds(500);
    static constexpr std::size_t kMaxCallsDuringBackoff = 2;

    struct BackoffRequest {
        Instant at{};
        Duration backoff{};
    };

    /// The calls of one gateway that reached one endpoint, and the endpoint's answers that asked for backoff.
    struct GatewayEndpointLog {
        std::vector<Instant> arrivals;
        std::vector<BackoffRequest> backoffRequests;
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

    void runLoad(Duration span, int perSecond)
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
            timers.after(kNetworkDelay, [this, gateway, it = *placement] {
                arrive(gateway, it);
            });
        });
    }

    void arrive(std::size_t gateway, const Placement &placement)
    {
        GatewayEndpointLog &pair = logs[{gateway, placement.endpoint}];
        pair.arrivals.push_back(timers.now());
        EndpointNotice notice;
        if (backedOff.contains(placement.endpoint)) {
            notice.backoff = backoff;
            pair.backoffRequests.push_back({timers.now(), backoff});
        }
        timers.after(notice.backoff ? kNetworkDelay : kServiceTime, [this, gateway, placement, notice] {
            answer(gateway, placement, notice);
        });
    }

    void answer(std::size_t gateway, const Placement &placement, const EndpointNotice &notice)
    {
        gates[gateway]->noteNotice(placement.id, notice);
        gates[gateway]->noteEnded(placement.id, notice.backoff ? RunEnd::Refused : RunEnd::Ok);
        (notice.backoff ? refusedByEndpoint : answered) += 1;
    }

    /// The most calls of one gateway that reached an endpoint during one backoff, without those that were already in
    /// flight.
    std::size_t mostCallsDuringBackoff() const
    {
        std::size_t most = 0;
        for (const auto &[names, pair] : logs) {
            for (const BackoffRequest &request : pair.backoffRequests) {
                const auto first = std::ranges::lower_bound(pair.arrivals, request.at + kInFlightTime);
                const auto last = std::ranges::lower_bound(pair.arrivals, request.at + request.backoff);
                most = std::max(most, static_cast<std::size_t>(std::max(last - first, std::ptrdiff_t(0))));
            }
        }
        return most;
    }

    std::size_t arrivalsAt(const EndpointId &endpoint) const
    {
        std::size_t sum = 0;
        for (const auto &[names, pair] : logs) {
            sum += names.second == endpoint ? pair.arrivals.size() : 0;
        }
        return sum;
    }

    /// Returns a placement of the first gateway at this endpoint. Its calls to other endpoints end at once.
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

    void askForBackoff(const EndpointId &endpoint, Duration span)
    {
        const Placement placement = placeAt(endpoint);
        EndpointNotice notice;
        notice.backoff = span;
        gates.front()->noteNotice(placement.id, notice);
        gates.front()->noteEnded(placement.id, RunEnd::Refused);
    }

    /// Whether the first gateway sends any of many calls to the endpoint.
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
    std::map<std::pair<std::size_t, EndpointId>, GatewayEndpointLog> logs;
    int sent = 0;
    int refused = 0;
    int answered = 0;
    int refusedByEndpoint = 0;

private:
    int m_calls = 0;
};

// Load: a third of the endpoints refuse all calls for nine seconds and ask for backoff. Their refusals come at once, so
// that these endpoints look idle. Without backoff they got two to five times the calls of the others.
TEST_P(BackedOffEndpointTest, endpointsInBackoff_underLoad_areSentAlmostNothing)
{
    backedOff = {id(0), id(3), id(5), id(9)};
    runLoad(std::chrono::seconds(9), 400);
    timers.advance(std::chrono::seconds(1));
    EXPECT_LE(mostCallsDuringBackoff(), kMaxCallsDuringBackoff);
    EXPECT_EQ(answered + refusedByEndpoint + refused, sent);
    // At most two calls for each gateway, endpoint and backoff, and never more than the third of all calls that these
    // endpoints would get without backoff.
    const int backoffs = static_cast<int>(std::chrono::seconds(9) / backoff);
    const int most = 2 * GetParam() * static_cast<int>(backedOff.size()) * backoffs;
    EXPECT_LE(refusedByEndpoint, std::min(most, sent / 3));
}

// Guards against a short backoff that ends a longer one, and against an answer without backoff that ends any.
TEST_P(BackedOffEndpointTest, backoff_askedForSeveralTimes_longestHolds)
{
    const Placement before = placeAt(id(2));
    askForBackoff(id(2), std::chrono::seconds(3));
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

// Guards against calls that wait until their deadline while no endpoint can take them, and against refusals without a
// useful retry-after.
TEST_P(BackedOffEndpointTest, call_allEndpointsInBackoff_refusedAtOnceWithRetryAfterOfFirst)
{
    for (int n = 0; n < kEndpoints; ++n) {
        askForBackoff(id(n), std::chrono::seconds(n == 4 ? 2 : 5));
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

// Guards against a restarted endpoint that is held to the backoff of its earlier incarnation, whether that was asked
// for before or after the restart.
TEST_P(BackedOffEndpointTest, backoff_endpointRestarted_appliesToOneIncarnation)
{
    const Placement ofEarlierIncarnation = placeAt(id(2));
    askForBackoff(id(2), std::chrono::seconds(60));
    EndpointListing restarted = listing(2);
    restarted.startedAtMilliseconds = 2'000;
    restarted.revision = 2;
    gates.front()->registry().list(restarted, timers.now());
    EXPECT_TRUE(isSentCalls(id(2)));
    EndpointNotice late;
    late.backoff = std::chrono::seconds(60);
    gates.front()->noteNotice(ofEarlierIncarnation.id, late);
    gates.front()->noteEnded(ofEarlierIncarnation.id, RunEnd::Refused);
    EXPECT_TRUE(isSentCalls(id(2)));
}

// An endpoint with an announced limit of zero is probed with a call now and then. Guards against such a probe during a
// backoff.
TEST_P(BackedOffEndpointTest, limitOfZero_duringBackoff_isNotProbed)
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

// Guards against a call that was placed before the endpoint asked for backoff, and is sent once its connection is
// established.
TEST_P(BackedOffEndpointTest, call_placedBeforeBackoff_mayNotBeSentAfterIt)
{
    const Placement before = placeAt(id(2));
    EXPECT_TRUE(gates.front()->mayStillBeSent(before.id));
    askForBackoff(id(2), std::chrono::seconds(3));
    EXPECT_FALSE(gates.front()->mayStillBeSent(before.id));
    gates.front()->noteEnded(before.id, RunEnd::Cancelled);
    EXPECT_FALSE(gates.front()->mayStillBeSent(before.id));
}

// Guards against calls that were waiting for room when the endpoint asked for backoff, and are sent there once it has
// room.
TEST_P(BackedOffEndpointTest, waitingCalls_endpointAsksForBackoff_areNotSentThere)
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
        const bool isInBackoff = placed[n].endpoint == id(2);
        gates.front()->noteNotice(placed[n].id, isInBackoff ? notice : EndpointNotice());
        if (isInBackoff) {
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
