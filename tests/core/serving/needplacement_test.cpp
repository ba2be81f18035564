#include "delayedloads.h"
#include "fixedloads.h"
#include "seededrandom.h"
#include "serving/callgate.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

using namespace RadishSwitch;

/// Decisions by callers' needs with a load of endpoints that the test sets.
class NeedPlacementTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    void list(int count, int slots = 64)
    {
        for (int n = 0; n < count; ++n) {
            EndpointListing listing;
            listing.id = EndpointId("engine-" + std::to_string(n));
            listing.pool = PoolId("llm");
            listing.address = "10.0.0." + std::to_string(n) + ":1";
            listing.zone = "a";
            listing.slots = slots;
            gate.registry().list(listing, Instant());
            LoadEstimate load;
            load.idleEventSeconds = 0.0267;
            load.running = 10;
            loads.loads[static_cast<EndpointSlot>(n)] = load;
        }
        gate.noteRegistryChanged();
    }

    void makeSlow(EndpointSlot slot)
    {
        constexpr double kFactor = 2.4;
        loads.loads[slot].idleEventSeconds *= kFactor;
        loads.loads[slot].relativeSpeed /= kFactor;
    }

    PlacementQuery longCall(std::uint64_t subject = 1)
    {
        PlacementQuery query = call({{subject, 5'382}, {1'000'000 + static_cast<std::uint64_t>(m_calls), 6'610}});
        query.targetLatency = Milliseconds(800);
        query.expectedEvents = 55;
        return query;
    }

    PlacementQuery shortCall()
    {
        const std::uint64_t subject = 500'000 + static_cast<std::uint64_t>(m_calls) % 40;
        PlacementQuery query = call({{subject, 198}, {1'000'000 + static_cast<std::uint64_t>(m_calls), 628}});
        query.targetLatency = Milliseconds(300);
        query.expectedEvents = 42;
        return query;
    }

    PlacementQuery call(std::vector<PromptPart> parts)
    {
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(++m_calls));
        query.pool = PoolId("llm");
        query.organisation = OrganisationId("o");
        query.parts = std::move(parts);
        query.targetGap = Milliseconds(250);
        query.deadline = timers.now() + Milliseconds(400);
        return query;
    }

    /// Index of the engine chosen; -1 if none was.
    int place(const PlacementQuery &query)
    {
        int index = -1;
        gate.place(query, [&](const absl::StatusOr<Placement> &placement) {
            if (placement.ok()) {
                index = std::stoi(placement->endpoint.value().substr(7));
                last = *placement;
            }
        });
        return index;
    }

    /// Places a call and ends it, as if nothing was pending.
    int placeAndEnd(const PlacementQuery &query)
    {
        const int index = place(query);
        if (index >= 0) {
            gate.noteEnded(last.id, RunEnd::Ok);
        }
        return index;
    }

    VirtualTimerService timers;
    SeededRandom random{7};
    FixedLoads loads;
    CallGate gate{timers, random, "gateway", "a"};
    Placement last;

private:
    int m_calls = 0;
};

// Load: long prompts while streams run at a slow engine. None may go there while a faster one has room, not even those
// whose affinity endpoint it would be. Without the part a third of them goes to each engine.
TEST_F(NeedPlacementTest, longPrompts_atSlowEngineWithStreams_goElsewhere)
{
    list(3);
    makeSlow(1);
    const auto toSlow = [this](std::uint64_t firstSubject) {
        int count = 0;
        for (std::uint64_t n = 0; n < 60; ++n) {
            count += placeAndEnd(longCall(firstSubject + n)) == 1 ? 1 : 0;
        }
        return count;
    };
    EXPECT_GT(toSlow(100), 5);
    gate.setLoadSource(&loads);
    EXPECT_EQ(toSlow(200), 0);
}

// Load: short prompts at the same engines. The slow engine is fast enough for them and is not starved.
TEST_F(NeedPlacementTest, shortPrompts_atSlowEngine_areStillPlacedThere)
{
    list(3);
    makeSlow(1);
    gate.setLoadSource(&loads);
    int toSlow = 0;
    for (int n = 0; n < 90; ++n) {
        toSlow += place(shortCall()) == 1 ? 1 : 0;
    }
    EXPECT_GE(toSlow, 5);
}

// Load: fast engines are full. A slow engine that has room takes long prompts too, since refusing them is worse.
TEST_F(NeedPlacementTest, longPrompts_fastEnginesFull_goToSlowEngine)
{
    list(3, 4);
    makeSlow(1);
    gate.setLoadSource(&loads);
    std::map<int, int> placed;
    for (int n = 0; n < 12; ++n) {
        ++placed[place(longCall())];
    }
    EXPECT_EQ(placed[1], 4);
    EXPECT_EQ(placed[-1], 0);
}

// Load: an engine's memory is nearly full, and it has less to do than the others. A further stream would preempt one of
// those that run there. Without the part, it gets the calls.
TEST_F(NeedPlacementTest, memoryNearlyFull_othersHaveRoom_callsGoThere)
{
    list(3);
    loads.loads[1].memoryShare = 0.95;
    loads.loads[0].waitSeconds = 0.05;
    loads.loads[2].waitSeconds = 0.05;
    const auto toFull = [this] {
        int count = 0;
        for (int n = 0; n < 60; ++n) {
            count += placeAndEnd(shortCall()) == 1 ? 1 : 0;
        }
        return count;
    };
    gate.setLoadSource(&loads);
    EXPECT_EQ(toFull(), 0);
    loads.isUnevenPool = false;
    EXPECT_GT(toFull(), 0);
}

// Load: all engines are nearly full. Refusing calls would be worse than a preemption.
TEST_F(NeedPlacementTest, memoryNearlyFullEverywhere_callsAreStillPlaced)
{
    list(3);
    for (auto &[slot, load] : loads.loads) {
        load.memoryShare = 0.95;
    }
    gate.setLoadSource(&loads);
    EXPECT_GE(place(shortCall()), 0);
}

// Guards deployments that do not need the part: an even pool, a call without tokens and the flag choose the same
// endpoints as without a source, with the same random draws.
TEST_F(NeedPlacementTest, evenPoolOrNoTokensOrSwitchedOff_choosesAsWithoutSource)
{
    const auto choices = [this](const EndpointLoadSource *source, bool isOff, bool hasTokens) {
        SeededRandom seeded{5};
        CallGateSettings settings;
        settings.placement.hasNoNeedPlacement = isOff;
        CallGate other(timers, seeded, "gateway", "a", settings);
        for (int n = 0; n < 20; ++n) {
            EndpointListing listing = gate.registry().at(static_cast<EndpointSlot>(n)).listing;
            other.registry().list(listing, Instant());
        }
        other.noteRegistryChanged();
        other.setLoadSource(source);
        std::vector<std::string> chosen;
        for (std::uint64_t n = 0; n < 200; ++n) {
            const std::int64_t tokens = hasTokens ? 1 : 0;
            PlacementQuery query = call({{n % 7, 500 * tokens}, {1'000 + n, 1'000 * tokens}});
            other.place(query, [&](const absl::StatusOr<Placement> &placement) {
                chosen.push_back(placement.ok() ? placement->endpoint.value() : "");
            });
        }
        chosen.push_back(std::to_string(seeded.below(1'000'000)));
        return chosen;
    };
    list(20);
    for (EndpointSlot slot = 0; slot < 7; ++slot) {
        makeSlow(slot);
    }
    const std::vector<std::string> withTokens = choices(nullptr, false, true);
    const std::vector<std::string> withoutTokens = choices(nullptr, false, false);
    EXPECT_EQ(choices(&loads, true, true), withTokens);
    EXPECT_EQ(choices(&loads, false, false), withoutTokens);
    EXPECT_NE(choices(&loads, false, true), withTokens);
    loads.isUnevenPool = false;
    EXPECT_EQ(choices(&loads, false, true), withTokens);
}

// Guards against further attempts that are placed by other rules: they avoid the slow engine and the one tried before.
TEST_F(NeedPlacementTest, furtherAttempt_ofLongPrompt_goesToAnotherFastEngine)
{
    list(3);
    makeSlow(1);
    gate.setLoadSource(&loads);
    for (std::uint64_t subject = 0; subject < 20; ++subject) {
        PlacementQuery query = longCall(subject);
        const int first = placeAndEnd(query);
        query.excluded.push_back(last.endpoint);
        EXPECT_EQ(placeAndEnd(query), 2 - first);
    }
}

// Guards against waiting calls that are placed by other rules: when a slow and a fast engine get room at the same time,
// the long prompt that waits goes to the fast one.
TEST_F(NeedPlacementTest, waitingCall_slowAndFastEngineGetRoom_goesToFastEngine)
{
    list(3, 1);
    makeSlow(1);
    gate.setLoadSource(&loads);
    gate.registry().at(1).inFlightLimit = 0;
    gate.registry().at(2).inFlightLimit = 0;
    EXPECT_EQ(place(shortCall()), 0);
    int placedAt = -1;
    gate.place(longCall(), [&placedAt](const absl::StatusOr<Placement> &placement) {
        placedAt = placement.ok() ? std::stoi(placement->endpoint.value().substr(7)) : -2;
    });
    ASSERT_EQ(placedAt, -1);
    gate.registry().at(1).inFlightLimit = 1;
    gate.registry().at(2).inFlightLimit = 1;
    gate.noteRegistryChanged();
    EXPECT_EQ(placedAt, 2);
}

// Load: most endpoints of a large pool are full. Those drawn at random have no room, and the one that has must be
// found.
TEST_F(NeedPlacementTest, largePool_oneEndpointHasRoom_isFound)
{
    constexpr int kEndpoints = 200;
    list(kEndpoints, 1);
    gate.setLoadSource(&loads);
    std::set<int> placed;
    for (int n = 0; n < kEndpoints; ++n) {
        placed.insert(place(longCall()));
    }
    EXPECT_EQ(placed.size(), kEndpoints);
    EXPECT_FALSE(placed.contains(-1));
}

// Load: prompts of 50 subjects in a large pool, of which a third is slow. All gateways send a subject to the same
// endpoint, which is never a slow one, although none of them has sent it there before.
TEST_F(NeedPlacementTest, largePool_sharedPrefixes_gatewaysAgreeOnFastEndpoints)
{
    constexpr int kEndpoints = 100;
    list(kEndpoints);
    CallGate other(timers, random, "other", "a");
    for (int n = 0; n < kEndpoints; ++n) {
        other.registry().list(gate.registry().at(static_cast<EndpointSlot>(n)).listing, Instant());
    }
    other.noteRegistryChanged();
    for (EndpointSlot slot = 0; slot < kEndpoints; slot += 3) {
        makeSlow(slot);
    }
    gate.setLoadSource(&loads);
    other.setLoadSource(&loads);
    for (std::uint64_t subject = 0; subject < 50; ++subject) {
        const int here = placeAndEnd(longCall(subject));
        int there = -1;
        other.place(longCall(subject), [&](const absl::StatusOr<Placement> &placement) {
            there = std::stoi(placement->endpoint.value().substr(7));
            other.noteEnded(placement->id, RunEnd::Ok);
        });
        EXPECT_EQ(here, there);
        EXPECT_NE(here % 3, 0);
    }
}

// Guards against an endpoint that no longer reports, and against a pool of which nothing is known: calls are placed.
TEST_F(NeedPlacementTest, endpointsWithoutEstimate_areStillChosen)
{
    list(20);
    loads.loads.clear();
    gate.setLoadSource(&loads);
    EXPECT_GE(place(longCall()), 0);
}

// Guards against a slow engine that is taken for silent: its first answer is expected as much later.
TEST_F(NeedPlacementTest, expectedFirstAnswer_ofSlowEngine_isLater)
{
    list(1);
    gate.setLoadSource(&loads);
    placeAndEnd(longCall());
    const Duration fast = last.expectedFirstAnswer;
    gate.registry().at(0).pendingPrefillTokens = 0;
    makeSlow(0);
    placeAndEnd(longCall(2));
    EXPECT_GT(last.expectedFirstAnswer, fast * 2);
}

/// Load of several gateways on engines that decode in steps, a third of them 2.4 times slower. All gateways learn the
/// engines' load at the same time and late.
class NeedLoadTest : public testing::Test
{
protected:
    static constexpr int kGateways = 6;
    static constexpr int kEngines = 24;

    struct Kind {
        /// Per second at all gateways together.
        double calls;
        int subjects;
        std::int64_t sharedTokens;
        std::int64_t ownTokens;
        std::int64_t events;
        std::chrono::milliseconds target;
    };

    struct Outcome {
        int calls = 0;
        /// Answers that began late or paused for too long, and of these the latter.
        int late = 0;
        int paused = 0;
        int refused = 0;
        std::int64_t recomputedTokens = 0;
        std::vector<int> started;

        double lateShare() const
        {
            return static_cast<double>(late + refused) / calls;
        }
    };

    /// A fleet in virtual time.
    struct Fleet {
        Fleet(bool isOn, const std::vector<double> &factors, int gateways = kGateways, int slots = 64)
            : engines(timers, factors)
            , loads(timers, engines)
        {
            for (int n = 0; n < gateways; ++n) {
                gates.push_back(std::make_unique<CallGate>(timers, random, "gateway-" + std::to_string(n), zone(n)));
                list(*gates.back(), static_cast<int>(factors.size()), slots);
                gates.back()->setLoadSource(isOn ? &loads : nullptr);
            }
        }

        static void list(CallGate &gate, int count, int slots)
        {
            for (int n = 0; n < count; ++n) {
                EndpointListing listing;
                listing.id = EndpointId("engine-" + std::to_string(n));
                listing.pool = PoolId("llm");
                listing.address = "10.0.0." + std::to_string(n) + ":1";
                listing.zone = zone(n);
                listing.slots = slots;
                gate.registry().list(listing, Instant());
            }
            gate.noteRegistryChanged();
        }

        static std::string zone(int n)
        {
            return std::string(1, static_cast<char>('a' + n % 3));
        }

        PlacementQuery query(const Kind &kind, std::uint64_t subject)
        {
            PlacementQuery query;
            query.call = RequestId("call-" + std::to_string(++outcome.calls));
            query.pool = PoolId("llm");
            query.organisation = OrganisationId("o");
            query.parts = {{subject, kind.sharedTokens},
                           {100'000'000 + static_cast<std::uint64_t>(outcome.calls), kind.ownTokens}};
            query.targetLatency = kind.target;
            query.targetGap = kTargetGap;
            query.expectedEvents = kind.events;
            query.deadline = timers.now() + kind.target * 3 / 2;
            return query;
        }

        void send(CallGate &gate, const Kind &kind, std::uint64_t subject)
        {
            const PlacementQuery sent = query(kind, subject);
            const Instant begin = timers.now();
            gate.place(sent,
                       [this, &gate, sent, begin, events = kind.events](const absl::StatusOr<Placement> &placement) {
                           if (!placement.ok()) {
                               ++outcome.refused;
                               return;
                           }
                           const PlacementId id = placement->id;
                           auto first = std::make_shared<Duration>();
                           SteppingEngines::Run run;
                           run.parts = sent.parts;
                           run.events = events;
                           run.onFirstEvent = [this, &gate, id, begin, first] {
                               *first = timers.now() - begin;
                               gate.noteFirstAnswer(id);
                           };
                           run.onEnd = [this, &gate, id, first, target = sent.targetLatency](Duration gap) {
                               outcome.paused += gap > kTargetGap ? 1 : 0;
                               outcome.late += *first > target || gap > kTargetGap ? 1 : 0;
                               gate.noteEnded(id, RunEnd::Ok);
                           };
                           engines.start(std::stoul(placement->endpoint.value().substr(7)), std::move(run));
                       });
        }

        /// The usual mix at `factor` times its usual rate.
        void runMix(Duration span, double factor)
        {
            const Instant end = timers.now() + span;
            while (timers.now() < end) {
                for (std::size_t n = 0; n < kKinds.size(); ++n) {
                    if (random.fraction() < kKinds[n].calls * factor / 1'000) {
                        const std::uint64_t subject =
                            1'000 * (n + 1) + random.below(static_cast<std::uint64_t>(kKinds[n].subjects));
                        send(*gates[random.below(gates.size())], kKinds[n], subject);
                    }
                }
                timers.advance(std::chrono::milliseconds(1));
            }
        }

        Outcome end()
        {
            timers.advance(std::chrono::seconds(20));
            outcome.recomputedTokens = engines.recomputedTokens();
            for (std::size_t n = 0; n < engines.size(); ++n) {
                outcome.started.push_back(engines.started(n));
            }
            return outcome;
        }

        VirtualTimerService timers;
        SeededRandom random{11};
        SteppingEngines engines;
        DelayedLoads loads;
        std::vector<std::unique_ptr<CallGate>> gates;
        Outcome outcome;
    };

    static constexpr Duration kTargetGap = std::chrono::milliseconds(250);
    inline static const std::vector<Kind> kKinds{
        {20, 40, 5'382, 6'610, 55, std::chrono::milliseconds(800)},
        {40, 40, 198, 628, 42, std::chrono::milliseconds(300)},
        {32, 40, 568, 1'800, 3, std::chrono::milliseconds(400)},
    };

    /// Every third engine takes 2.4 times as long.
    static std::vector<double> unevenFactors(int count = kEngines)
    {
        std::vector<double> factors;
        for (int n = 0; n < count; ++n) {
            factors.push_back(n % 3 == 1 ? 2.4 : 1);
        }
        return factors;
    }

    static double promptTokensPerSecond()
    {
        double sum = 0;
        for (const Kind &it : kKinds) {
            sum += it.calls * static_cast<double>(it.sharedTokens + it.ownTokens);
        }
        return sum;
    }

    static Outcome runMix(bool isOn, double factor, Duration span = std::chrono::seconds(20))
    {
        Fleet fleet(isOn, unevenFactors());
        fleet.runMix(span, factor);
        return fleet.end();
    }

    static std::string describe(const char *name, const Outcome &it)
    {
        return std::string(name) + ": " + std::to_string(it.calls) + " calls, " + std::to_string(it.late) + " late, "
            + std::to_string(it.refused) + " refused, " + std::to_string(it.recomputedTokens) + " tokens recomputed\n";
    }
};

// Load: the usual mix on engines of which a third is slow. Without the part every tenth call is late, mostly streams
// that a long prompt at a slow engine makes pause.
TEST_F(NeedLoadTest, thirdOfEnginesSlow_usualMix_fewCallsAreLate)
{
    const Outcome ours = runMix(true, 1);
    const Outcome baseline = runMix(false, 1);
    EXPECT_LT(ours.lateShare(), 0.02) << describe("ours", ours) << describe("baseline", baseline);
    EXPECT_GT(baseline.lateShare(), 0.08) << describe("baseline", baseline);
}

// Load: two and a half times as many calls, for which the fast engines alone are not enough. The slow ones take what
// they can, and a prefix is still prefilled by few engines: all in all a hundredth of the prompt tokens more than
// without the part is recomputed once the slow engines are known.
TEST_F(NeedLoadTest, thirdOfEnginesSlow_highLoad_fewerCallsAreLateAndNoEngineStarves)
{
    const auto run = [](bool isOn, std::int64_t &recomputed) {
        Fleet fleet(isOn, unevenFactors());
        fleet.runMix(std::chrono::seconds(10), 2.5);
        const std::int64_t before = fleet.engines.recomputedTokens();
        fleet.runMix(std::chrono::seconds(20), 2.5);
        recomputed = fleet.engines.recomputedTokens() - before;
        return fleet.end();
    };
    std::int64_t oursRecomputed = 0;
    std::int64_t baselineRecomputed = 0;
    const Outcome ours = run(true, oursRecomputed);
    const Outcome baseline = run(false, baselineRecomputed);
    EXPECT_LT(ours.lateShare() * 3, baseline.lateShare()) << describe("ours", ours) << describe("baseline", baseline);
    EXPECT_GE(std::ranges::min(ours.started), 50);
    const double promptTokens = 20 * 2.5 * promptTokensPerSecond();
    EXPECT_LT(static_cast<double>(oursRecomputed), static_cast<double>(baselineRecomputed) + promptTokens / 100)
        << oursRecomputed << " tokens recomputed, " << baselineRecomputed << " without the part";
}

// Load: short streams at all engines, and forty long prompts at once. Without the part, those at slow engines make the
// streams there pause for too long. Calls that begin late because an engine has several long prompts before them, of
// which other gateways have not learnt yet, remain.
TEST_F(NeedLoadTest, burstOfLongPrompts_intoRunningStreams_makesFewOfThemPause)
{
    const auto run = [](bool isOn) {
        Fleet fleet(isOn, unevenFactors());
        for (int n = 0; n < 2'000; ++n) {
            if (n % 5 == 0) {
                fleet.send(*fleet.gates[fleet.random.below(kGateways)], kKinds[1], 2'000 + fleet.random.below(40));
            }
            if (n == 1'500) {
                for (std::uint64_t prompt = 0; prompt < 40; ++prompt) {
                    fleet.send(*fleet.gates[prompt % kGateways], kKinds[0], 1'000 + prompt);
                }
            }
            fleet.timers.advance(std::chrono::milliseconds(1));
        }
        return fleet.end();
    };
    const Outcome ours = run(true);
    const Outcome baseline = run(false);
    EXPECT_LT(ours.paused * 5, baseline.paused) << ours.paused << " paused where " << baseline.paused << " did";
    EXPECT_LT(ours.late * 2, baseline.late) << describe("ours", ours) << describe("baseline", baseline);
}

// Load: all engines but one have work for 0.6 s, and all gateways learn that at the same time. The idle one must not
// get the calls of all of them: it would be the busiest one when the next update comes.
TEST_F(NeedLoadTest, oneIdleEngine_allGatewaysLearnAtOnce_getsAFewOfTheirCalls)
{
    constexpr int kManyGateways = 24;
    constexpr std::size_t kIdle = 6;
    Fleet fleet(true, unevenFactors(48), kManyGateways);
    fleet.timers.advance(DelayedLoads::kInterval / 2);
    for (std::size_t n = 0; n < fleet.engines.size(); ++n) {
        if (n != kIdle) {
            SteppingEngines::Run run;
            run.parts = {{900'000'000 + n, 60'000}};
            run.events = 1;
            run.onFirstEvent = [] {};
            run.onEnd = [](Duration /*gap*/) {};
            fleet.engines.start(n, std::move(run));
        }
    }
    fleet.timers.advance(DelayedLoads::kInterval + DelayedLoads::kDelay);
    ASSERT_EQ(fleet.loads.estimate(kIdle, fleet.timers.now())->waitSeconds, 0);
    ASSERT_GT(fleet.loads.estimate(0, fleet.timers.now())->waitSeconds, 0.5);
    constexpr int kRounds = 2;
    for (int round = 0; round < kRounds; ++round) {
        for (const std::unique_ptr<CallGate> &gate : fleet.gates) {
            fleet.send(*gate, kKinds[0], 1'000 + fleet.random.below(1'000));
        }
    }
    const int toIdle = fleet.engines.started(kIdle);
    EXPECT_GE(toIdle, 1);
    EXPECT_LE(toIdle, kRounds * kManyGateways / 3);
}
