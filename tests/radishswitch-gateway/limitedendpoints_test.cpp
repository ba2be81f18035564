#include "preferredendpointfixture.h"

#include <thread>

using namespace RadishSwitch;

/// Overloaded endpoints that announce in their answers how many calls per second they accept from all gateways
/// together.
class LimitedEndpointsTest : public PreferredEndpointFixture
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr char kLimit[] = "1.5";
    static constexpr Duration kSpan = std::chrono::seconds(4);
    /// Maximum time until all gateways respect a new limit.
    static constexpr Duration kPropagationTime = std::chrono::seconds(3);
    static constexpr Duration kPause = Milliseconds(25);
    /// Maximum number of calls in the span: one and a half times the limit of the endpoint, and five more.
    static constexpr int kMaximumCalls = 14;
    /// As many calls as a calm machine sends in a second. Fixed, so that the checks don't depend on the machine's
    /// speed.
    static constexpr int kCountedCalls = 33;
    /// Minimum number of counted calls that reach the first endpoint if it has no limit.
    static constexpr int kMinimumUnlimitedCalls = 30;

    void startBoth()
    {
        listSecond(second.port());
        start();
        startOther();
    }

    void setLimit(const std::string &limit)
    {
        onTestServers([&] {
            first.setCallLimit(limit);
        });
    }

    int runsAtFirst()
    {
        return onTestServers([this] {
            int sum = 0;
            for (const auto &[call, run] : first.runs()) {
                sum += run.runs;
            }
            return sum;
        });
    }

    /// Sends calls to both gateways in turn during a span, and returns how many of them ran at the first endpoint.
    int callsAtFirst(Duration span)
    {
        const int before = runsAtFirst();
        const auto end = std::chrono::steady_clock::now() + span;
        while (std::chrono::steady_clock::now() < end) {
            sendOne();
        }
        return runsAtFirst() - before;
    }

    /// Sends a number of calls to both gateways in turn, and returns how many of them ran at the first endpoint.
    int callsAtFirst(int count)
    {
        const int before = runsAtFirst();
        for (int n = 0; n < count; ++n) {
            sendOne();
        }
        return runsAtFirst() - before;
    }

    /// Sends a call to the gateway whose turn it is, and pauses.
    void sendOne()
    {
        Gateway &to = ++m_calls % 2 == 0 ? *gateway : *otherGateway;
        const auto answer = fetchFrom(to.port(), request("/safe/1", "call-" + std::to_string(m_calls)));
        EXPECT_TRUE(answer.ok() && answer->status == 200) << answer.status();
        std::this_thread::sleep_for(kPause);
    }

private:
    int m_calls = 0;
};

// Guards against an overloaded endpoint that receives more calls than its limit, and against one that receives none.
TEST_F(LimitedEndpointsTest, endpointWithLimit_callsOfAllGatewaysStayWithinIt)
{
    startBoth();
    setLimit(kLimit);
    callsAtFirst(kPropagationTime);
    const int calls = callsAtFirst(kSpan);
    EXPECT_LE(calls, kMaximumCalls);
    EXPECT_GE(calls, 1);
}

// Guards against a limit that never ends, because the gateways send no calls whose answers would show its end.
TEST_F(LimitedEndpointsTest, limitWithdrawn_endpointReceivesCallsAgain)
{
    startBoth();
    setLimit(kLimit);
    callsAtFirst(kPropagationTime);
    setLimit("");
    callsAtFirst(kSpan);
    EXPECT_GE(callsAtFirst(kCountedCalls), kMinimumUnlimitedCalls);
}

// Guards against an endpoint that receives no calls because of a malformed limit, and against a gateway that fails on
// one.
TEST_F(LimitedEndpointsTest, malformedLimit_isIgnored)
{
    startBoth();
    for (const std::string limit : {"many", "-1", "nan", "inf", "1.5 a second"}) {
        setLimit(limit);
        EXPECT_GE(callsAtFirst(kCountedCalls), kMinimumUnlimitedCalls) << limit;
    }
}

// Guards against an endpoint that never receives a call again after it has announced a limit of zero.
TEST_F(LimitedEndpointsTest, limitOfZero_isProbedUntilWithdrawn)
{
    startBoth();
    setLimit("0");
    callsAtFirst(kPropagationTime);
    EXPECT_LE(callsAtFirst(kSpan), 5);
    setLimit("");
    callsAtFirst(2 * kSpan);
    EXPECT_GE(callsAtFirst(kCountedCalls), kMinimumUnlimitedCalls);
}
