#include "seededrandom.h"
#include "serving/callgate.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

/// Endpoints that refuse all calls at once without asking for backoff, in virtual time.
class RefusingEndpointTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kEndpoints = 12;
    static constexpr int kRefusing = 4;

    RefusingEndpointTest()
        : gate(timers, random, "gateway", "a")
    {
        for (int n = 0; n < kEndpoints; ++n) {
            EndpointListing it;
            it.id = EndpointId(std::to_string(n));
            it.pool = PoolId("llm");
            it.address = "10.0.0." + std::to_string(n) + ":1";
            it.zone = "a";
            it.slots = 64;
            it.revision = 1;
            gate.registry().list(it, timers.now());
        }
    }

    void runLoad(Duration span)
    {
        const Instant end = timers.now() + span;
        while (timers.now() < end) {
            PlacementQuery query;
            query.call = RequestId(std::to_string(++sent));
            query.pool = PoolId("llm");
            query.deadline = timers.now() + Milliseconds(400);
            gate.place(query, [this](const absl::StatusOr<Placement> &placement) {
                ASSERT_TRUE(placement.ok());
                const bool isRefused = isRefusing && std::stoi(placement->endpoint.value()) < kRefusing;
                refused += isRefused ? 1 : 0;
                timers.after(Milliseconds(isRefused ? 5 : 300), [this, id = placement->id, isRefused] {
                    gate.noteEnded(id, isRefused ? RunEnd::Refused : RunEnd::Ok);
                });
            });
            timers.advance(Milliseconds(5));
        }
    }

    VirtualTimerService timers;
    SeededRandom random{7};
    CallGate gate;
    bool isRefusing = true;
    int sent = 0;
    int refused = 0;
};

// Load: a third of the endpoints refuse all calls at once. They have no calls in flight and look like the best choice,
// so that they got two to five times the calls of the others.
TEST_F(RefusingEndpointTest, endpoints_refusingEverything_getFewCalls)
{
    runLoad(std::chrono::seconds(10));
    EXPECT_LE(refused, sent / 20);
}

// Guards against an endpoint that gets no calls for long after it accepts calls again.
TEST_F(RefusingEndpointTest, endpoints_acceptingAgain_getCallsWithinTwoSeconds)
{
    runLoad(std::chrono::seconds(10));
    isRefusing = false;
    runLoad(std::chrono::seconds(2));
    int withCallsInFlight = 0;
    for (int n = 0; n < kRefusing; ++n) {
        withCallsInFlight +=
            gate.registry().at(*gate.registry().slotOf(EndpointId(std::to_string(n)))).inFlight > 0 ? 1 : 0;
    }
    EXPECT_GE(withCallsInFlight, kRefusing - 1);
}
