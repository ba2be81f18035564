#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

using namespace RadishSwitch;

/// One endpoint of a pool is in need and says what it takes, at fleets of several sizes, in virtual time. Gateways hear
/// it by answers, and of one another a little later.
class LimitedEndpointTest : public testing::TestWithParam<int>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kEndpoints = 12;
    static constexpr Duration kAnswer = Milliseconds(20);
    static constexpr Duration kNews = Milliseconds(200);
    /// Any four seconds count.
    static constexpr Duration kSpan = std::chrono::seconds(4);
    static constexpr Duration kKeptWithin = std::chrono::seconds(3);

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
            timers.after(kAnswer, [this, &gate, it = *placement] {
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
            timers.after(kNews, [this, heard = limit] {
                for (const auto &it : gates) {
                    it->setAnnouncedLimit(EndpointId("engine-0"), heard);
                }
            });
        }
        gate.noteEnded(placement.id, RunEnd::Ok);
    }

    /// The most calls in any span that begins after `from`.
    std::size_t mostInSpan(Instant from) const
    {
        std::size_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
            if (*first >= from) {
                const auto last = std::ranges::lower_bound(arrivals, *first + kSpan);
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

// Guards against each gateway sending a whole call where all together may send less than one each.
TEST_P(LimitedEndpointTest, limitOfAnySize_isKeptByAllTogetherAndUsed)
{
    for (const double rate : {0.3, 1.5, 12.0}) {
        limit = rate;
        play(kKeptWithin, 400);
        const Instant from = timers.now();
        arrivals.clear();
        play(5 * kSpan, 400);
        const double most = std::max(rate * 4, 1.0);
        EXPECT_LE(mostInSpan(from), most) << rate;
        EXPECT_GE(static_cast<double>(arrivals.size()), most) << rate << ": starved";
    }
    EXPECT_EQ(refused, 0);
}

// Guards against gateways with no part that never hear of the end.
TEST_P(LimitedEndpointTest, limitThatEnds_isForgottenByAll)
{
    limit = 1.5;
    play(kKeptWithin, 400);
    limit.reset();
    play(2 * kSpan, 400);
    arrivals.clear();
    play(kSpan, 400);
    // Its twelfth of all calls, or nearly so.
    EXPECT_GE(arrivals.size(), 80U);
}

// Guards against an endpoint that is held to what nobody has heard of for a long time.
TEST_P(LimitedEndpointTest, limitOfWhichNothingIsHeard_lapses)
{
    for (const auto &gate : gates) {
        gate->setAnnouncedLimit(EndpointId("engine-0"), 0.0);
    }
    timers.advance(kAnnouncedLimitTtl);
    play(kSpan, 400);
    EXPECT_GE(arrivals.size(), 80U);
}

// Guards against the answer to an old call that ends a limit which has only just begun.
TEST_P(LimitedEndpointTest, answerToACallFromBeforeTheLimit_doesNotEndIt)
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
