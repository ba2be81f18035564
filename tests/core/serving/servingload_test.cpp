#include "base/failure.h"
#include "prefillengines.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// The worst load patterns, simulated in virtual time with the production placement code. A baseline, such as random
/// placement, shows the effect of each decision.
class ServingLoadTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kEngines = 4;
    static constexpr Duration kTarget = Milliseconds(250);

    ServingLoadTest()
        : gate(timers, random, "gateway", "a")
        , engines(timers, kEngines)
    {
    }

    void list(int count, int slots)
    {
        for (int n = 0; n < count; ++n) {
            EndpointListing listing;
            listing.id = PrefillEngines::id(n);
            listing.pool = PoolId("llm");
            listing.address = "10.0.0." + std::to_string(n) + ":1";
            listing.zone = "a";
            listing.slots = slots;
            gate.registry().list(listing, Instant());
        }
        gate.noteRegistryChanged();
    }

    PlacementQuery query(std::vector<PromptPart> parts, const std::string &organisation = "o")
    {
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(++m_calls));
        query.pool = PoolId("llm");
        query.organisation = OrganisationId(organisation);
        query.parts = std::move(parts);
        query.deadline = timers.now() + kTarget;
        return query;
    }

    /// Sends a call and counts it if its first answer is in time.
    void send(const PlacementQuery &query, int &inTime, bool isRandom = false)
    {
        const Instant begin = timers.now();
        if (isRandom) {
            engines.prefill(PrefillEngines::id(static_cast<int>(random.below(kEngines))), query.parts,
                            [this, begin, &inTime] {
                                inTime += timers.now() - begin <= kTarget ? 1 : 0;
                            });
            return;
        }
        gate.place(query, [this, query, begin, &inTime](const absl::StatusOr<Placement> &placement) {
            if (!placement.ok()) {
                return;
            }
            engines.prefill(placement->endpoint, query.parts, [this, id = placement->id, begin, &inTime] {
                inTime += timers.now() - begin <= kTarget ? 1 : 0;
                gate.noteFirstAnswer(id);
                gate.noteEnded(id, RunEnd::Ok);
            });
        });
    }

    /// Sends a hundred short calls per second, and every half second a prompt that takes 0.6 s to prefill. Returns the
    /// number of short calls that are in time.
    int shortCallsInTime(bool isRandom)
    {
        int inTime = 0;
        int ignored = 0;
        for (int n = 0; n < 1000; ++n) {
            if (n % 50 == 0) {
                send(query({{static_cast<std::uint64_t>(1'000'000 + n), 60'000}}), ignored, isRandom);
            }
            send(query({{static_cast<std::uint64_t>(n), 800}}), inTime, isRandom);
            timers.advance(Milliseconds(10));
        }
        timers.advance(std::chrono::seconds(10));
        return inTime;
    }

    VirtualTimerService timers;
    SeededRandom random{7};
    CallGate gate;
    PrefillEngines engines;

private:
    int m_calls = 0;
};

// Load: long prompts among many short ones. A short call queued behind a long prompt misses its target by half a
// second.
TEST_F(ServingLoadTest, shortCalls_amongLongPrompts_fewAreDelayed)
{
    list(kEngines, 64);
    const int ours = shortCallsInTime(false);
    const int baseline = shortCallsInTime(true);
    EXPECT_GE(ours, 990);
    EXPECT_LT(baseline, 950);
}

// Load: sessions with 5,000 shared tokens each, which all callers use repeatedly. Without affinity each engine would
// prefill every session.
TEST_F(ServingLoadTest, sharedPrefixes_ofManySessions_areRarelyRecomputed)
{
    list(kEngines, 64);
    int inTime = 0;
    std::uint64_t own = 1'000'000;
    for (int n = 0; n < 2000; ++n) {
        const std::uint64_t session = random.below(100);
        send(query({{session, 5'000}, {++own, 400}}), inTime);
        timers.advance(Milliseconds(20));
    }
    // With random placement each of the hundred sessions is prefilled three more times: 1.5 million tokens.
    EXPECT_LT(engines.recomputedTokens(), 150'000);
    EXPECT_GE(inTime, 1980);
}

// Load: one session gets a third of the calls, and the load is three quarters of the engines' capacity. The session's
// affinity endpoint alone would always be busy. The session spreads, and few of its parts are prefilled again.
TEST_F(ServingLoadTest, hotSession_affinityEndpointBusy_spreadsToOthers)
{
    list(kEngines, 64);
    const auto runLoad = [this](bool isRandom, std::uint64_t firstSession) {
        int inTime = 0;
        std::uint64_t own = firstSession * 1'000'000;
        for (int n = 0; n < 2000; ++n) {
            const std::uint64_t session = firstSession + (n % 3 == 0 ? 0 : 1 + random.below(100));
            send(query({{session, 5'000}, {++own, 6'000}}), inTime, isRandom);
            timers.advance(Milliseconds(20));
        }
        timers.advance(std::chrono::seconds(10));
        return inTime;
    };
    const int ours = runLoad(false, 1000);
    const std::int64_t oursRecomputed = engines.recomputedTokens();
    const int baseline = runLoad(true, 2000);
    const std::int64_t baselineRecomputed = engines.recomputedTokens() - oursRecomputed;
    EXPECT_GE(ours, 1850);
    EXPECT_GT(ours, baseline);
    EXPECT_LT(oursRecomputed, baselineRecomputed / 3);
}

// Load: a quarter of the endpoints are unreachable. Each call sent to them costs its caller a connect timeout. After a
// few failures only single probes are sent there.
TEST_F(ServingLoadTest, unreachableEndpoint_afterAFewFailures_isEjected)
{
    list(kEngines, 64);
    int failed = 0;
    for (int n = 0; n < 1000; ++n) {
        const PlacementQuery it = query({});
        gate.place(it, [&](const absl::StatusOr<Placement> &placement) {
            ASSERT_TRUE(placement.ok());
            const bool isUnreachable = placement->endpoint == PrefillEngines::id(2);
            failed += isUnreachable ? 1 : 0;
            gate.noteEnded(placement->id, isUnreachable ? RunEnd::Failed : RunEnd::Ok);
        });
        timers.advance(Milliseconds(10));
    }
    EXPECT_LE(failed, 10);
}

// Load: an endpoint becomes unreachable under runs that are kept, since nothing indicates that they have ended. New
// calls avoid the endpoint after a few silent runs.
TEST_F(ServingLoadTest, silentEndpoint_runsKept_isEjected)
{
    list(kEngines, 64);
    std::vector<PlacementId> kept;
    for (int n = 0; n < 1000; ++n) {
        gate.place(query({}), [&](const absl::StatusOr<Placement> &placement) {
            ASSERT_TRUE(placement.ok());
            if (placement->endpoint != PrefillEngines::id(2)) {
                return gate.noteEnded(placement->id, RunEnd::Ok);
            }
            kept.push_back(placement->id);
            gate.noteSilent(placement->id);
            gate.noteSilent(placement->id);
        });
        timers.advance(Milliseconds(10));
    }
    EXPECT_LE(kept.size(), 10U);
    EXPECT_EQ(gate.placed(), kept.size());
    for (const PlacementId it : kept) {
        gate.noteEnded(it, RunEnd::Failed);
    }
    EXPECT_EQ(gate.placed(), 0U);
}

// Load: all endpoints are unreachable. Ejecting all of them would turn the fault into an outage, so at most half of
// them are ejected.
TEST_F(ServingLoadTest, allEndpoints_failing_areNotAllEjected)
{
    list(kEngines, 64);
    int placed = 0;
    for (int n = 0; n < 200; ++n) {
        const PlacementQuery it = query({});
        gate.place(it, [&](const absl::StatusOr<Placement> &placement) {
            placed += placement.ok() ? 1 : 0;
            gate.noteEnded(placement->id, RunEnd::Failed);
        });
        timers.advance(Milliseconds(10));
    }
    EXPECT_EQ(placed, 200);
}

// Load: three times as many calls at once as can be served in time. Calls without a chance are refused at once, and no
// accepted call waits in vain.
TEST_F(ServingLoadTest, burst_beyondCapacity_isRefusedAtOnceOrServedInTime)
{
    constexpr int kSlots = 4;
    constexpr Duration kRun = Milliseconds(100);
    list(kEngines, kSlots);
    int served = 0;
    int late = 0;
    int refusedAtOnce = 0;
    int refusedLater = 0;
    // Begins with a steady load, so that the queue can measure its rate.
    for (int round = 0; round < 40; ++round) {
        const int calls = round < 30 ? kEngines * kSlots / 2 : kEngines * kSlots * 3;
        for (int n = 0; n < calls; ++n) {
            const PlacementQuery it = query({});
            const Instant begin = timers.now();
            gate.place(it, [&, begin](const absl::StatusOr<Placement> &placement) {
                const Duration waited = timers.now() - begin;
                if (!placement.ok()) {
                    EXPECT_TRUE(retryAfterOf(placement.status()).has_value());
                    EXPECT_EQ(outcomeOf(placement.status()), RunOutcome::NotRun);
                    (waited == Duration::zero() ? refusedAtOnce : refusedLater) += 1;
                    return;
                }
                ++served;
                late += waited > kTarget ? 1 : 0;
                timers.after(kRun, [this, id = placement->id] {
                    gate.noteEnded(id, RunEnd::Ok);
                });
            });
        }
        timers.advance(kRun);
    }
    timers.advance(std::chrono::seconds(2));
    EXPECT_EQ(late, 0);
    EXPECT_GT(refusedAtOnce, refusedLater);
    // Sixteen slots with ten runs per second: the calls of the burst and its wait, and those of the steady rounds
    // before.
    EXPECT_GE(served, 30 * 8 + 10 * 16);
    EXPECT_EQ(gate.waiting(), 0U);
}

// Load: one organisation sends seven times its usual load to a full pool. The other organisation's calls are served as
// before.
TEST_F(ServingLoadTest, organisation_sendingTooMuch_doesNotStarveOthers)
{
    constexpr Duration kRun = Milliseconds(50);
    list(1, 4);
    std::map<std::string, int> served;
    for (int round = 0; round < 400; ++round) {
        const auto ask = [&](const std::string &organisation) {
            const PlacementQuery it = query({}, organisation);
            gate.place(it, [&, organisation](const absl::StatusOr<Placement> &placement) {
                if (placement.ok()) {
                    ++served[organisation];
                    timers.after(kRun, [this, id = placement->id] {
                        gate.noteEnded(id, RunEnd::Ok);
                    });
                }
            });
        };
        for (int n = 0; n < 7; ++n) {
            ask("greedy");
        }
        ask("modest");
        timers.advance(kRun);
    }
    EXPECT_GE(served["modest"], 320);
}

// Load: an endpoint is full with the calls of other gateways and refuses. This gateway halves its limit there, and
// raises it again as calls are accepted.
TEST_F(ServingLoadTest, endpoint_refusing_limitIsHalvedAndGrowsBack)
{
    list(1, 16);
    const EndpointSlot slot = *gate.registry().slotOf(PrefillEngines::id(0));
    const auto run = [this](RunEnd end, int count) {
        std::vector<PlacementId> calls;
        for (int n = 0; n < count; ++n) {
            const PlacementQuery it = query({});
            gate.place(it, [&calls](const absl::StatusOr<Placement> &placement) {
                if (placement.ok()) {
                    calls.push_back(placement->id);
                }
            });
        }
        // Calls that end make room for waiting ones, which end as well.
        for (std::size_t n = 0; n < calls.size(); ++n) {
            const PlacementId call = calls[n];
            gate.noteEnded(call, end);
        }
    };
    run(RunEnd::Refused, 1);
    EXPECT_EQ(gate.registry().at(slot).inFlightLimit, 8);
    timers.advance(Milliseconds(50));
    for (int n = 0; n < 400; ++n) {
        run(RunEnd::Ok, 20);
        timers.advance(Milliseconds(300));
    }
    EXPECT_EQ(gate.registry().at(slot).inFlightLimit, 16);
}
