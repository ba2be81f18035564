#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

using namespace RadishSwitch;

/// One overloaded endpoint of a pool announces a limit, with fleets of several sizes, in virtual time. Gateways learn
/// of it from answers, and from each other a little later.
class LimitedEndpointTest : public testing::TestWithParam<int>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kEndpoints = 12;
    static constexpr Duration kAnswerDelay = Milliseconds(20);
    static constexpr Duration kPropagationDelay = Milliseconds(200);
    /// Window in which the limit is checked, wherever it begins.
    static constexpr Duration kWindow = std::chrono::seconds(4);
    static constexpr Duration kSettlingTime = std::chrono::seconds(3);

    LimitedEndpointTest()
    {
        ServedPool pool;
        pool.name = PoolId("llm");
        std::map<std::string, double> weights;
        for (int n = 0; n < GetParam(); ++n) {
            weights["gateway-" + std::to_string(n)] = n % 4 == 0 ? 0.5 : 0.1;
        }
        for (const auto &[name, weight] : weights) {
            gates.push_back(std::make_unique<CallGate>(timers, random, name, "a"));
            gates.back()->allowances().setPools({pool});
            gates.back()->allowances().setGateways(weights);
            for (int n = 0; n < kEndpoints; ++n) {
                gates.back()->registry().list(listing(n), timers.now());
            }
        }
    }

    static EndpointListing listing(int n)
    {
        EndpointListing it;
        it.id = EndpointId("engine-" + std::to_string(n));
        it.pool = PoolId("llm");
        it.address = "10.0.0." + std::to_string(n) + ":1";
        it.zone = "a";
        it.slots = 64;
        it.revision = 1;
        return it;
    }

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
        CallGate &gate = *gates[random.below(gates.size())];
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(++m_calls));
        query.pool = PoolId("llm");
        query.deadline = timers.now() + std::chrono::seconds(1);
        gate.place(query, [this, &gate](const absl::StatusOr<Placement> &placement) {
            if (!placement.ok()) {
                ++refused;
                return;
            }
            if (placement->endpoint == EndpointId("engine-0")) {
                arrivals.push_back(timers.now());
            }
            timers.after(kAnswerDelay, [this, &gate, it = *placement] {
                answer(gate, it);
            });
        });
    }

    void answer(CallGate &gate, const Placement &placement)
    {
        const bool isLimited = placement.endpoint == EndpointId("engine-0");
        EndpointNotice notice;
        notice.callsPerSecond = isLimited ? limit : std::nullopt;
        if (gate.noteNotice(placement.id, notice).hasLimitChanged) {
            timers.after(kPropagationDelay, [this, heard = limit] {
                for (const auto &it : gates) {
                    it->setAnnouncedLimit(EndpointId("engine-0"), heard);
                }
            });
        }
        gate.noteEnded(placement.id, RunEnd::Ok);
    }

    /// The most calls in any window that begins at or after `from`.
    std::size_t mostInWindow(Instant from) const
    {
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first >= from) {
                const auto last = std::ranges::lower_bound(arrivals, *first + kWindow);
                most = std::max(most, static_cast<std::size_t>(last - first));
            }
        }
        return most;
    }

    VirtualTimerService timers;
    SeededRandom random{7};
    std::vector<std::unique_ptr<CallGate>> gates;
    std::optional<double> limit;
    std::vector<Instant> arrivals;
    int refused = 0;

private:
    int m_calls = 0;
};

// Guards against each gateway sending a whole call where the limit allows less than one call for each.
TEST_P(LimitedEndpointTest, announcedLimit_ofAnySize_isKeptByAllGatewaysTogetherAndUsed)
{
    for (const double rate : {0.3, 1.5, 12.0}) {
        limit = rate;
        runLoad(kSettlingTime, 400);
        const Instant from = timers.now();
        arrivals.clear();
        runLoad(5 * kWindow, 400);
        const double most = std::max(rate * 4, 1.0);
        EXPECT_LE(mostInWindow(from), most) << rate;
        EXPECT_GE(static_cast<double>(arrivals.size()), most) << rate << ": starved";
    }
    EXPECT_EQ(refused, 0);
}

// Guards against gateways without a share that never learn of the end of a limit.
TEST_P(LimitedEndpointTest, announcedLimit_ends_allGatewaysForgetIt)
{
    limit = 1.5;
    runLoad(kSettlingTime, 400);
    limit.reset();
    runLoad(2 * kWindow, 400);
    arrivals.clear();
    runLoad(kWindow, 400);
    // The endpoint gets about a twelfth of all calls.
    EXPECT_GE(arrivals.size(), 80U);
}

// Guards against an endpoint that is held to a limit which was not confirmed for a long time.
TEST_P(LimitedEndpointTest, announcedLimit_notConfirmed_expires)
{
    for (const auto &gate : gates) {
        gate->setAnnouncedLimit(EndpointId("engine-0"), 0.0);
    }
    timers.advance(kAnnouncedLimitTtl);
    runLoad(kWindow, 400);
    EXPECT_GE(arrivals.size(), 80U);
}

// Guards against the answer to an old call that ends a limit announced after the call was sent.
TEST_P(LimitedEndpointTest, answerWithoutLimit_toCallSentBefore_doesNotEndLimit)
{
    CallGate &gate = *gates.front();
    PlacementQuery query;
    query.call = RequestId("before");
    query.pool = PoolId("llm");
    Placement before;
    while (before.endpoint != EndpointId("engine-0")) {
        gate.place(query, [&](const absl::StatusOr<Placement> &placement) {
            before = *placement;
        });
    }
    timers.advance(Milliseconds(1));
    gate.setAnnouncedLimit(EndpointId("engine-0"), 1.5);
    EXPECT_FALSE(gate.noteNotice(before.id, EndpointNotice()).hasLimitChanged);
    EXPECT_EQ(gate.registry().countLimited(timers.now()), 1U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, LimitedEndpointTest, testing::Values(1, 4, 29, 103, 300));
