#include "prefillengines.h"

#include <gtest/gtest.h>

#include <cmath>
#include <memory>

using namespace RadishSwitch;

/// Load from several gateways on the same engines, simulated in virtual time. Each gateway knows only its own calls and
/// their delays.
class FleetLoadTest : public testing::Test
{
protected:
    static constexpr int kGateways = 6;
    static constexpr int kEngines = 12;

    /// One kind of call. Its prompts consist of a system prompt that many share, a part of one subject, and a part of
    /// their own.
    struct Kind {
        int callsPerMinute;
        int systemPrompts;
        std::int64_t systemPromptTokens;
        int subjects;
        std::int64_t subjectTokens;
        std::int64_t ownTokens;
        Duration target;
    };

    struct Outcome {
        int late = 0;
        std::int64_t recomputedTokens = 0;
    };

    /// Simulates a minute with calls of all kinds, at `loadFactor` times their usual rate.
    static Outcome runLoad(const PlacementSettings &placement, double enginesTokensPerSecond, double loadFactor)
    {
        VirtualTimerService timers;
        SeededRandom random{11};
        PrefillEngines engines(timers, kEngines, enginesTokensPerSecond);
        std::vector<std::unique_ptr<CallGate>> gates;
        for (int n = 0; n < kGateways; ++n) {
            CallGateSettings settings;
            settings.placement = placement;
            gates.push_back(
                std::make_unique<CallGate>(timers, random, "gateway-" + std::to_string(n), zone(n), settings));
            list(*gates.back());
        }
        Outcome outcome;
        int calls = 0;
        for (int millisecond = 0; millisecond < 60'000; ++millisecond) {
            for (std::size_t n = 0; n < kKinds.size(); ++n) {
                const double chance = kKinds[n].callsPerMinute * loadFactor / 60'000;
                if (static_cast<double>(random.below(1'000'000)) < chance * 1'000'000) {
                    const std::size_t gate = random.below(kGateways);
                    send(*gates[gate], engines, timers, queryOf(n, ++calls, random), outcome.late);
                }
            }
            timers.advance(std::chrono::milliseconds(1));
        }
        timers.advance(std::chrono::seconds(30));
        outcome.recomputedTokens = engines.recomputedTokens();
        return outcome;
    }

private:
    static std::string zone(int n)
    {
        return std::string(1, static_cast<char>('a' + n % 3));
    }

    static void list(CallGate &gate)
    {
        for (int n = 0; n < kEngines; ++n) {
            EndpointListing listing;
            listing.id = PrefillEngines::id(n);
            listing.pool = PoolId("llm");
            listing.address = "10.0.0." + std::to_string(n) + ":1";
            listing.zone = zone(n);
            listing.slots = 64;
            gate.registry().list(listing, Instant());
        }
        gate.noteRegistryChanged();
    }

    static PlacementQuery queryOf(std::size_t kind, int number, SeededRandom &random)
    {
        const Kind &it = kKinds[kind];
        // Prompts of a kind differ in length: one in eight is eight times as long as the others.
        const std::int64_t own = random.below(8) == 0 ? it.ownTokens * 4 : it.ownTokens / 2;
        const std::uint64_t base = 1'000'000 * (kind + 1);
        const std::uint64_t subject = random.below(static_cast<std::uint64_t>(it.subjects));
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(number));
        query.pool = PoolId("llm");
        query.organisation = OrganisationId("o");
        query.priority = static_cast<int>(kind);
        query.parts = {{base + subject % static_cast<std::uint64_t>(it.systemPrompts), it.systemPromptTokens},
                       {base + 1'000 + subject, it.subjectTokens},
                       {100'000'000 + static_cast<std::uint64_t>(number), own}};
        return query;
    }

    static void send(CallGate &gate, PrefillEngines &engines, VirtualTimerService &timers, PlacementQuery query,
                     int &late)
    {
        const Duration target = kKinds[static_cast<std::size_t>(query.priority)].target;
        query.deadline = timers.now() + target;
        const Instant begin = timers.now();
        gate.place(query, [&, query, begin, target](const absl::StatusOr<Placement> &placement) {
            if (!placement.ok()) {
                ++late;
                return;
            }
            engines.prefill(placement->endpoint, query.parts,
                            [&gate, &late, &timers, id = placement->id, begin, target] {
                                late += timers.now() - begin > target ? 1 : 0;
                                gate.noteFirstAnswer(id);
                                gate.noteEnded(id, RunEnd::Ok);
                            });
        });
    }

    inline static const std::vector<Kind> kKinds{
        {1200, 4, 2520, 111, 3780, 2890, std::chrono::milliseconds(800)},
        {1400, 8, 340, 89, 230, 1800, std::chrono::milliseconds(1200)},
        {1200, 8, 100, 163, 70, 540, std::chrono::milliseconds(1500)},
    };
};

// Load: long and short prompts at three times the usual rate, on engines that prefill three times slower than assumed.
// Without learning, the load on its way is underestimated by that factor, and calls are sent behind prompts that take a
// second to prefill and are late.
TEST_F(FleetLoadTest, engines_slowerThanAssumed_areNotOverloaded)
{
    PlacementSettings learnt;
    PlacementSettings fixed;
    fixed.hasFixedSpeed = true;
    const Outcome ours = runLoad(learnt, 31'000, 3);
    const Outcome baseline = runLoad(fixed, 31'000, 3);
    EXPECT_LT(ours.late * 4, baseline.late) << ours.late << " late where " << baseline.late << " were";
}

// Load: similar calls on engines that are as fast as assumed. Learning must cost nothing there.
TEST_F(FleetLoadTest, engines_asFastAsAssumed_learningCostsNothing)
{
    PlacementSettings learnt;
    PlacementSettings fixed;
    fixed.hasFixedSpeed = true;
    const Outcome ours = runLoad(learnt, 101'000, 5);
    const Outcome baseline = runLoad(fixed, 101'000, 5);
    EXPECT_LE(ours.late, baseline.late * 1.1 + 5) << ours.late << " late where " << baseline.late << " were";
}
