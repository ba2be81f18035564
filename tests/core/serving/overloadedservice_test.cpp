#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>

using namespace RadishSwitch;

/// An endpoint in virtual time that works on six calls concurrently, queues 24 more, and refuses the rest.
class QueueingEndpoint
{
public:
    QueueingEndpoint(VirtualTimerService &timers, SeededRandom &random, int slowness)
        : m_timers(timers)
        , m_random(random)
        , m_slowness(slowness)
    {
    }

    /// Calls back when the call has ended, with whether it was accepted.
    void run(std::function<void(bool)> callback)
    {
        constexpr std::size_t kQueue = 24;
        if (m_waiting.size() >= kQueue) {
            return callback(false);
        }
        m_waiting.push_back(std::move(callback));
        next();
    }

private:
    void next()
    {
        constexpr int kSlots = 6;
        if (m_active == kSlots || m_waiting.empty()) {
            return;
        }
        ++m_active;
        auto callback = std::move(m_waiting.front());
        m_waiting.pop_front();
        const Duration work = std::chrono::milliseconds(m_slowness * static_cast<int>(15 + m_random.below(31)));
        m_timers.after(work, [this, callback = std::move(callback)] {
            --m_active;
            callback(true);
            next();
        });
    }

    VirtualTimerService &m_timers;
    SeededRandom &m_random;
    const int m_slowness;
    int m_active = 0;
    std::deque<std::function<void(bool)>> m_waiting;
};

/// Many gateways with few calls each in front of a plain service, simulated in virtual time.
class OverloadedServiceTest : public testing::Test
{
protected:
    static constexpr int kGateways = 29;
    static constexpr Duration kTarget = std::chrono::milliseconds(150);

    struct Outcome {
        int inTime = 0;
        int late = 0;
        int refused = 0;
    };

    /// Simulates ten seconds of calls. Each element of `slowness` is an endpoint that is that many times slower than
    /// usual.
    Outcome runLoad(const std::vector<int> &slowness, int callsPerSecond, bool ignoresPressure)
    {
        VirtualTimerService timers;
        SeededRandom random{9};
        std::map<std::string, std::unique_ptr<QueueingEndpoint>> endpoints;
        std::vector<std::unique_ptr<CallGate>> gates;
        for (int n = 0; n < kGateways; ++n) {
            CallGateSettings settings;
            settings.ignoresPressure = ignoresPressure;
            gates.push_back(std::make_unique<CallGate>(timers, random, "gateway-" + std::to_string(n), "a", settings));
        }
        for (std::size_t n = 0; n < slowness.size(); ++n) {
            EndpointListing listing;
            listing.id = EndpointId("endpoint-" + std::to_string(n));
            listing.pool = PoolId("shop");
            listing.address = "10.0.0." + std::to_string(n) + ":1";
            listing.zone = "a";
            listing.slots = 6;
            endpoints[listing.id.value()] = std::make_unique<QueueingEndpoint>(timers, random, slowness[n]);
            for (const auto &gate : gates) {
                gate->registry().list(listing, timers.now());
            }
        }
        Outcome outcome;
        for (int millisecond = 0; millisecond < 10'000; ++millisecond) {
            if (random.below(1000) < static_cast<std::uint64_t>(callsPerSecond)) {
                send(*gates[random.below(kGateways)], endpoints, timers, millisecond, outcome);
            }
            timers.advance(std::chrono::milliseconds(1));
        }
        timers.advance(std::chrono::seconds(5));
        return outcome;
    }

private:
    static void send(CallGate &gate, std::map<std::string, std::unique_ptr<QueueingEndpoint>> &endpoints,
                     VirtualTimerService &timers, int number, Outcome &outcome)
    {
        PlacementQuery query;
        query.call = RequestId("call-" + std::to_string(number));
        query.pool = PoolId("shop");
        query.organisation = OrganisationId("o");
        query.lateAfter = kTarget * 7 / 10;
        const Instant begin = timers.now();
        query.deadline = begin + kTarget;
        gate.place(query, [&, begin](const absl::StatusOr<Placement> &placement) {
            if (!placement.ok()) {
                ++outcome.refused;
                return;
            }
            endpoints.at(placement->endpoint.value())->run([&, begin, id = placement->id](bool isAccepted) {
                const bool isInTime = timers.now() - begin <= kTarget;
                outcome.refused += isAccepted ? 0 : 1;
                outcome.inTime += isAccepted && isInTime ? 1 : 0;
                outcome.late += isAccepted && !isInTime ? 1 : 0;
                gate.noteFirstAnswer(id);
                gate.noteEnded(id, isAccepted ? RunEnd::Ok : RunEnd::Refused);
            });
        });
    }
};

// Load: only one endpoint of three is left, and the load is about a sixth above its capacity. Its queue is always full,
// so that calls accepted into it are answered late. With shedding, calls worth nine tenths of the capacity must be in
// time.
TEST_F(OverloadedServiceTest, oneEndpointLeft_offeredMoreThanCapacity_mostOfCapacityIsInTime)
{
    constexpr int kCapacity = 2000;
    const Outcome ours = runLoad({1}, 230, false);
    const Outcome baseline = runLoad({1}, 230, true);
    EXPECT_GE(ours.inTime, kCapacity * 9 / 10);
    EXPECT_LT(baseline.inTime, kCapacity * 9 / 10);
    EXPECT_LT(ours.late, baseline.late / 2) << ours.late << " late where " << baseline.late << " were";
}

// Load: a usual day. No call is refused.
TEST_F(OverloadedServiceTest, enoughEndpoints_usualLoad_nothingIsShed)
{
    const Outcome ours = runLoad({1, 1, 1}, 200, false);
    EXPECT_EQ(ours.refused, 0);
    EXPECT_GE(ours.inTime, 1900);
}

// Load: one endpoint of three is four times slower. The two others take over its calls; shedding would be of no use.
TEST_F(OverloadedServiceTest, oneSlowEndpoint_othersHaveRoom_isAvoidedAndLittleIsShed)
{
    const Outcome ours = runLoad({1, 1, 4}, 200, false);
    const Outcome baseline = runLoad({1, 1, 4}, 200, true);
    EXPECT_LE(ours.refused, 20);
    EXPECT_GE(ours.inTime, baseline.inTime - 20);
}
