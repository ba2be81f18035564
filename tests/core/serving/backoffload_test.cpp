#include "base/failure.h"
#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

using namespace RadishSwitch;

/// Pools at their worst load, whose endpoints ask for backoff when they are full, replayed in virtual time over the
/// real decision classes of fleets of several sizes. Other ways of deciding, played beside ours, show what each is
/// worth.
class BackoffLoadTest : public testing::TestWithParam<int>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Duration kTravel = Milliseconds(3);
    static constexpr Duration kWork = Milliseconds(320);
    /// Runs at once at an endpoint, and calls that wait there.
    static constexpr int kSlots = 16;
    static constexpr int kQueue = 8;
    static constexpr double kTakenPerSecond = kSlots * 1000.0 / 320;
    static constexpr Duration kBackoff = std::chrono::seconds(2);

    struct Load {
        int endpoints = 12;
        /// Calls a second, as a part of what all endpoints can take.
        double offered = 0.5;
        /// So many times that at first, for so long.
        double burst = 1;
        Duration burstFor = Milliseconds(0);
        /// Endpoints that turn away all calls, for so long.
        int broken = 0;
        Duration brokenFor = Milliseconds(0);
        Duration length = std::chrono::seconds(16);
    };

    struct Outcome {
        int sent = 0;
        int answered = 0;
        int turnedAway = 0;
        int refused = 0;
        /// By seconds.
        std::map<int, int> answeredAt;
        std::map<int, int> turnedAwayAt;

        double share() const
        {
            return static_cast<double>(answered) / sent;
        }
    };

    struct Endpoint {
        int running = 0;
        std::deque<std::function<void()>> queue;
        bool isBroken = false;
    };

    /// One play of a load.
    struct World {
        World(const Load &load, const CallGateSettings &settings, int gateways)
            : load(load)
            , endpoints(static_cast<std::size_t>(load.endpoints))
        {
            std::map<std::string, double> weights;
            for (int n = 0; n < gateways; ++n) {
                weights["gateway-" + std::to_string(n)] = 1;
            }
            for (const auto &[name, weight] : weights) {
                gates.push_back(std::make_unique<CallGate>(timers, random, name, "a", settings));
                gates.back()->allowances().setGateways(weights);
                for (int n = 0; n < load.endpoints; ++n) {
                    gates.back()->registry().list(listing(n), timers.now());
                }
            }
        }

        static EndpointListing listing(int n)
        {
            EndpointListing it;
            it.id = EndpointId(std::to_string(n));
            it.pool = PoolId("llm");
            it.address = "10.0.0." + std::to_string(n) + ":1";
            it.zone = "a";
            it.slots = kSlots;
            it.revision = 1;
            return it;
        }

        Outcome play()
        {
            for (int n = 0; n < load.broken; ++n) {
                endpoints[static_cast<std::size_t>(n)].isBroken = true;
            }
            timers.after(load.brokenFor, [this] {
                for (Endpoint &it : endpoints) {
                    it.isBroken = false;
                }
            });
            const Instant begin = timers.now();
            const double usual = load.offered * load.endpoints * kTakenPerSecond;
            while (timers.now() - begin < load.length) {
                const double rate = usual * (timers.now() - begin < load.burstFor ? load.burst : 1);
                double calls = rate / 1000;
                while (calls >= 1 || random.fraction() < calls) {
                    send(true);
                    calls -= 1;
                }
                timers.advance(Milliseconds(1));
            }
            timers.advance(std::chrono::seconds(2));
            return outcome;
        }

        int second() const
        {
            return static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(timers.now() - Instant()).count());
        }

        /// Callers that are refused come back once, when they were told to.
        void comeBack(bool mayComeBack, std::chrono::milliseconds wait)
        {
            if (mayComeBack) {
                timers.after(wait, [this] {
                    send(false);
                });
            }
        }

        static PlacementQuery anyCall()
        {
            PlacementQuery query;
            query.pool = PoolId("llm");
            return query;
        }

        void send(bool mayComeBack)
        {
            CallGate &gate = *gates[random.below(gates.size())];
            PlacementQuery query = anyCall();
            query.call = RequestId("call-" + std::to_string(++outcome.sent));
            query.deadline = timers.now() + Milliseconds(400);
            gate.place(query, [this, &gate, mayComeBack](const absl::StatusOr<Placement> &placement) {
                if (!placement.ok()) {
                    ++outcome.refused;
                    return comeBack(mayComeBack, retryAfterOf(placement.status()).value_or(Milliseconds(250)));
                }
                timers.after(kTravel, [this, &gate, mayComeBack, it = *placement] {
                    arrive(gate, it, mayComeBack);
                });
            });
        }

        void arrive(CallGate &gate, const Placement &placement, bool mayComeBack)
        {
            Endpoint &at = endpoints[static_cast<std::size_t>(std::stoi(placement.endpoint.value()))];
            if (at.isBroken || static_cast<int>(at.queue.size()) >= kQueue) {
                ++outcome.turnedAwayAt[second()];
                timers.after(kTravel, [this, &gate, placement, mayComeBack] {
                    ++outcome.turnedAway;
                    EndpointNotice notice;
                    notice.backoff = kBackoff;
                    gate.noteNotice(placement.id, notice);
                    gate.noteEnded(placement.id, RunEnd::Refused);
                    comeBack(mayComeBack, gate.untilBackoffEnds(anyCall()).value_or(Milliseconds(250)));
                });
                return;
            }
            at.queue.push_back([this, &gate, placement] {
                gate.noteFirstAnswer(placement.id);
                gate.noteEnded(placement.id, RunEnd::Ok);
                ++outcome.answered;
                ++outcome.answeredAt[second()];
            });
            begin(at);
        }

        void begin(Endpoint &at)
        {
            while (at.running < kSlots && !at.queue.empty()) {
                ++at.running;
                timers.after(kWork, [this, &at, done = std::move(at.queue.front())] {
                    --at.running;
                    done();
                    begin(at);
                });
                at.queue.pop_front();
            }
        }

        const Load load;
        VirtualTimerService timers;
        SeededRandom random{7};
        std::vector<Endpoint> endpoints;
        std::vector<std::unique_ptr<CallGate>> gates;
        Outcome outcome;
    };

    static Outcome play(const Load &load, const CallGateSettings &settings = {})
    {
        return World(load, settings, GetParam()).play();
    }

    static std::string story(const char *name, const Outcome &it)
    {
        std::string text = std::string(name) + " at " + std::to_string(GetParam()) + " gateways: sent "
            + std::to_string(it.sent) + ", answered " + std::to_string(it.answered) + ", turned away "
            + std::to_string(it.turnedAway) + ", refused " + std::to_string(it.refused) + "; turned away by second:";
        for (int n = 0; n < 16; ++n) {
            const auto at = it.turnedAwayAt.find(n);
            text += " " + std::to_string(at == it.turnedAwayAt.end() ? 0 : at->second);
        }
        return text;
    }

    /// All come back when the backoff is over, with as many calls as before.
    static CallGateSettings returningAtOnce()
    {
        CallGateSettings settings;
        settings.placement.backoff.spreadShare = 0;
        settings.placement.minimumLimit = kSlots;
        return settings;
    }

    /// Calls that endpoints turned away from one second up to another.
    static int turnedAway(const Outcome &it, int from, int to)
    {
        int sum = 0;
        for (int second = from; second < to; ++second) {
            const auto at = it.turnedAwayAt.find(second);
            sum += at == it.turnedAwayAt.end() ? 0 : at->second;
        }
        return sum;
    }

    static Load burst(int endpoints, double offered)
    {
        Load load;
        load.endpoints = endpoints;
        load.offered = offered;
        load.burst = 10;
        load.burstFor = Milliseconds(600);
        return load;
    }
};

// Load: a burst makes all endpoints ask for backoff, and gateways and callers come back when it is over. The returns
// turn away fewer calls than the burst did.
TEST_P(BackoffLoadTest, burstAfterWhichAllBackOff_doesNotFollowItself)
{
    for (const int endpoints : {2, 4, 12}) {
        const Outcome ours = play(burst(endpoints, 0.5));
        EXPECT_LE(turnedAway(ours, 2, 16), turnedAway(ours, 0, 2)) << story("returns", ours);
    }
}

// Load: the same while the pool has little to spare. Where all come back at once, the storm follows itself every two
// seconds.
TEST_P(BackoffLoadTest, returnsOfManyGateways_areSpreadAndGrow)
{
    for (const int endpoints : {2, 4, 12}) {
        const Outcome ours = play(burst(endpoints, 0.8));
        const Outcome atOnce = play(burst(endpoints, 0.8), returningAtOnce());
        EXPECT_LE(turnedAway(ours, 2, 16), turnedAway(atOnce, 2, 16)) << story("returns", ours);
        // At hundreds of gateways each has too few calls for a storm of its own.
        if (GetParam() <= 30) {
            EXPECT_LE(2 * turnedAway(ours, 2, 16), turnedAway(atOnce, 2, 16)) << story("at once", atOnce);
        }
    }
}

// Load: a quarter of the endpoints turns away all calls, and the others could take five of six that are offered. What
// they shed must not make them ask for backoff down to the last.
TEST_P(BackoffLoadTest, endpointsThatTakeOverTooMuch_goOnAnswering)
{
    Load load;
    load.offered = 0.9;
    load.broken = 3;
    load.brokenFor = std::chrono::seconds(9);
    const Outcome ours = play(load);
    const double left = kTakenPerSecond * ((load.endpoints - load.broken) * 9 + load.endpoints * load.offered * 7);
    EXPECT_GE(ours.answered, left * 0.75) << story("taken over", ours);
    for (int second = 1; second < 16; ++second) {
        EXPECT_GT(ours.answeredAt.contains(second) ? ours.answeredAt.at(second) : 0, 0) << second;
    }
}

// Load: a third of the endpoints turns away all calls, and the others have room. Nobody is refused but at an endpoint
// that a gateway had not heard of yet.
TEST_P(BackoffLoadTest, endpointsWithRoom_takeTheCallsOfThoseThatAreBackedOff)
{
    Load load;
    load.offered = 0.4;
    load.broken = 4;
    load.brokenFor = std::chrono::seconds(9);
    const Outcome ours = play(load);
    EXPECT_LE(ours.refused, ours.sent / 20) << story("room", ours);
    const int demands = GetParam() * load.broken * 5;
    EXPECT_LE(ours.turnedAway, std::min(2 * demands, ours.sent / 3)) << story("room", ours);
}

INSTANTIATE_TEST_SUITE_P(Fleets, BackoffLoadTest, testing::Values(1, 4, 30, 300));
