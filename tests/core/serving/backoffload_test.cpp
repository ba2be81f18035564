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

/// Overloaded pools whose endpoints ask for backoff when they are full, simulated in virtual time with the production
/// placement code and fleets of several sizes. The same load with other settings serves as a baseline.
class BackoffLoadTest : public testing::TestWithParam<int>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Duration kNetworkDelay = Milliseconds(3);
    static constexpr Duration kServiceTime = Milliseconds(320);
    /// Concurrent runs of an endpoint, and calls that may wait there.
    static constexpr int kSlots = 16;
    static constexpr int kQueue = 8;
    static constexpr double kCallsPerSecond = kSlots * 1000.0 / 320;
    static constexpr Duration kBackoff = std::chrono::seconds(2);

    struct Load {
        int endpoints = 12;
        /// Calls per second, as a fraction of the capacity of all endpoints.
        double offered = 0.5;
        /// Factor on `offered` during the first `burstFor`.
        double burst = 1;
        Duration burstFor = Milliseconds(0);
        /// Number of endpoints that refuse all calls during the first `brokenFor`.
        int broken = 0;
        Duration brokenFor = Milliseconds(0);
        Duration length = std::chrono::seconds(16);
    };

    struct Outcome {
        int sent = 0;
        int answered = 0;
        int refusedByEndpoint = 0;
        int refused = 0;
        /// Counts for each second of the simulation.
        std::map<int, int> answeredAt;
        std::map<int, int> refusedByEndpointAt;

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

    /// One simulation of a load.
    struct Simulation {
        Simulation(const Load &load, const CallGateSettings &settings, int gateways)
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

        Outcome runLoad()
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
            const double usual = load.offered * load.endpoints * kCallsPerSecond;
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

        /// A refused caller retries once, after the retry-after that it was given.
        void retryOnce(bool mayRetry, std::chrono::milliseconds wait)
        {
            if (mayRetry) {
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

        void send(bool mayRetry)
        {
            CallGate &gate = *gates[random.below(gates.size())];
            PlacementQuery query = anyCall();
            query.call = RequestId("call-" + std::to_string(++outcome.sent));
            query.deadline = timers.now() + Milliseconds(400);
            gate.place(query, [this, &gate, mayRetry](const absl::StatusOr<Placement> &placement) {
                if (!placement.ok()) {
                    ++outcome.refused;
                    return retryOnce(mayRetry, retryAfterOf(placement.status()).value_or(Milliseconds(250)));
                }
                timers.after(kNetworkDelay, [this, &gate, mayRetry, it = *placement] {
                    arrive(gate, it, mayRetry);
                });
            });
        }

        void arrive(CallGate &gate, const Placement &placement, bool mayRetry)
        {
            Endpoint &at = endpoints[static_cast<std::size_t>(std::stoi(placement.endpoint.value()))];
            if (at.isBroken || static_cast<int>(at.queue.size()) >= kQueue) {
                ++outcome.refusedByEndpointAt[second()];
                timers.after(kNetworkDelay, [this, &gate, placement, mayRetry] {
                    ++outcome.refusedByEndpoint;
                    EndpointNotice notice;
                    notice.backoff = kBackoff;
                    gate.noteNotice(placement.id, notice);
                    gate.noteEnded(placement.id, RunEnd::Refused);
                    retryOnce(mayRetry, gate.untilBackoffEnds(anyCall()).value_or(Milliseconds(250)));
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
                timers.after(kServiceTime, [this, &at, done = std::move(at.queue.front())] {
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

    static Outcome runLoad(const Load &load, const CallGateSettings &settings = {})
    {
        return Simulation(load, settings, GetParam()).runLoad();
    }

    static std::string describe(const char *name, const Outcome &it)
    {
        std::string text = std::string(name) + " at " + std::to_string(GetParam()) + " gateways: sent "
            + std::to_string(it.sent) + ", answered " + std::to_string(it.answered) + ", refused by endpoints "
            + std::to_string(it.refusedByEndpoint) + ", refused " + std::to_string(it.refused)
            + "; by endpoints in each second:";
        for (int n = 0; n < 16; ++n) {
            const auto at = it.refusedByEndpointAt.find(n);
            text += " " + std::to_string(at == it.refusedByEndpointAt.end() ? 0 : at->second);
        }
        return text;
    }

    /// Settings by which all gateways return when the backoff is over, with as many calls in flight as before.
    static CallGateSettings withoutSpreadReturns()
    {
        CallGateSettings settings;
        settings.placement.backoff.spreadShare = 0;
        settings.placement.minimumLimit = kSlots;
        return settings;
    }

    /// Calls that endpoints refused between two seconds of the simulation.
    static int refusedByEndpoint(const Outcome &it, int from, int to)
    {
        int sum = 0;
        for (int second = from; second < to; ++second) {
            const auto at = it.refusedByEndpointAt.find(second);
            sum += at == it.refusedByEndpointAt.end() ? 0 : at->second;
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

// Load: a burst makes all endpoints ask for backoff, and gateways and callers return when it is over. Their return must
// cause fewer refusals than the burst did.
TEST_P(BackoffLoadTest, burst_allEndpointsAskForBackoff_isNotRepeatedByReturns)
{
    for (const int endpoints : {2, 4, 12}) {
        const Outcome ours = runLoad(burst(endpoints, 0.5));
        EXPECT_LE(refusedByEndpoint(ours, 2, 16), refusedByEndpoint(ours, 0, 2)) << describe("returns", ours);
    }
}

// Load: the same burst while the pool has little spare capacity. Where all gateways return at once, the overload
// repeats every two seconds.
TEST_P(BackoffLoadTest, returnsOfManyGateways_littleSpareCapacity_areSpreadAndGrow)
{
    for (const int endpoints : {2, 4, 12}) {
        const Outcome ours = runLoad(burst(endpoints, 0.8));
        const Outcome atOnce = runLoad(burst(endpoints, 0.8), withoutSpreadReturns());
        EXPECT_LE(refusedByEndpoint(ours, 2, 16), refusedByEndpoint(atOnce, 2, 16)) << describe("returns", ours);
        // With hundreds of gateways each has too few calls in flight to cause an overload on its return.
        if (GetParam() <= 30) {
            EXPECT_LE(2 * refusedByEndpoint(ours, 2, 16), refusedByEndpoint(atOnce, 2, 16))
                << describe("at once", atOnce);
        }
    }
}

// Load: a quarter of the endpoints refuse all calls, and the others have capacity for five sixths of the load. The
// calls that they refuse must not put all of them into backoff.
TEST_P(BackoffLoadTest, remainingEndpoints_overloadedByFailover_keepAnswering)
{
    Load load;
    load.offered = 0.9;
    load.broken = 3;
    load.brokenFor = std::chrono::seconds(9);
    const Outcome ours = runLoad(load);
    const double left = kCallsPerSecond * ((load.endpoints - load.broken) * 9 + load.endpoints * load.offered * 7);
    EXPECT_GE(ours.answered, left * 0.75) << describe("taken over", ours);
    for (int second = 1; second < 16; ++second) {
        EXPECT_GT(ours.answeredAt.contains(second) ? ours.answeredAt.at(second) : 0, 0) << second;
    }
}

// Load: a third of the endpoints refuse all calls, and the others have room. Calls are refused only by endpoints whose
// backoff the gateway does not know of yet.
TEST_P(BackoffLoadTest, endpointsWithRoom_othersInBackoff_takeTheirCalls)
{
    Load load;
    load.offered = 0.4;
    load.broken = 4;
    load.brokenFor = std::chrono::seconds(9);
    const Outcome ours = runLoad(load);
    EXPECT_LE(ours.refused, ours.sent / 20) << describe("room", ours);
    const int demands = GetParam() * load.broken * 5;
    EXPECT_LE(ours.refusedByEndpoint, std::min(2 * demands, ours.sent / 3)) << describe("room", ours);
}

INSTANTIATE_TEST_SUITE_P(Fleets, BackoffLoadTest, testing::Values(1, 4, 30, 300));
