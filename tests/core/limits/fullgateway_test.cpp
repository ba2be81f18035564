#include "narrowgateway.h"

#include <gtest/gtest.h>

#include <numeric>

using namespace RadishSwitch;

namespace
{

constexpr Duration kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kRun = 20 * kSecond;
constexpr double kMbps = 10;
/// What the link carries in a second.
constexpr double kLink = 1'250'000;
/// Usual load of the largest organisation; 2.7 times that is more than the link carries.
constexpr double kUsualLoad = 0.45 * kLink;
constexpr double kHotFactor = 2.7;
/// Load of each organisation with small urgent requests.
constexpr double kSmallLoad = 20'000;
constexpr std::int64_t kSmallest = 200;
constexpr std::int64_t kSmallRequest = 2'000;
constexpr std::int64_t kLargest = 70'000;
/// A small request that takes longer through the gateway can't be answered within the tightest targets of callers.
constexpr Duration kInTime = std::chrono::milliseconds(120);
/// What callers send who read a refusal early.
constexpr std::int64_t kEarlyReader = 4'000;

const std::vector<std::string> kSmallOrganisations{"a", "b", "c", "d"};

}

/// Replays of load patterns at a gateway with a link of 10 Mbit/s, in virtual time.
class FullGatewayTest : public testing::Test
{
protected:
    FullGatewayTest()
    {
        timers.advance(100 * kSecond);
    }

    NarrowGateway &gatewayWith(bool hasBudget, std::int64_t bytesBeforeRefusal = kEarlyReader)
    {
        gateways.push_back(std::make_unique<NarrowGateway>(timers, IntakeBudgetSettings{kMbps, hasBudget}));
        gateways.back()->bytesBeforeRefusal = bytesBeforeRefusal;
        return *gateways.back();
    }

    /// Four organisations with small requests beside the given loads of others, with bodies of up to 70 kB.
    void play(NarrowGateway &gateway, const std::map<std::string, double> &others)
    {
        const Instant end = timers.now() + kRun;
        for (const std::string &it : kSmallOrganisations) {
            gateway.sendSteadily(it, kSmallLoad, kSmallest, kSmallRequest, end);
        }
        for (const auto &[name, load] : others) {
            gateway.sendSteadily(name, load, kSmallest, kLargest, end);
        }
        timers.advance(kRun + 30 * kSecond);
    }

    /// Share of the small requests that were accepted and got through in time.
    static double smallInTime(const NarrowGateway &gateway)
    {
        int sent = 0;
        long inTime = 0;
        for (const std::string &it : kSmallOrganisations) {
            const NarrowGateway::Outcome &outcome = gateway.outcomes.at(it);
            sent += outcome.sent;
            inTime += std::ranges::count_if(outcome.delays, [](Duration delay) {
                return delay <= kInTime;
            });
        }
        return static_cast<double>(inTime) / sent;
    }

    static double acceptedPerSecond(const NarrowGateway &gateway, const std::string &organisation)
    {
        return static_cast<double>(gateway.outcomes.at(organisation).acceptedBytes)
            / std::chrono::duration<double>(kRun).count();
    }

    VirtualTimerService timers;
    std::vector<std::unique_ptr<NarrowGateway>> gateways;
};

// Guards against one organisation at 2.7 times its usual load that delays or displaces the small requests of all others
// at its gateway.
TEST_F(FullGatewayTest, hotOrganisation_withBudget_smallRequestsOfOthersAreServed)
{
    NarrowGateway &off = gatewayWith(false);
    play(off, {{"hot", kHotFactor * kUsualLoad}});
    NarrowGateway &on = gatewayWith(true);
    play(on, {{"hot", kHotFactor * kUsualLoad}});

    EXPECT_LT(smallInTime(off), 0.5);
    EXPECT_GT(off.longestQueue(), 250 * kMillisecond);
    EXPECT_GT(smallInTime(on), 0.98);
    EXPECT_LT(on.longestQueue(), 90 * kMillisecond);
    // Nearly all refusals are of the organisation that causes them, which has the rest of the link.
    const NarrowGateway::Outcome &hot = on.outcomes["hot"];
    int others = 0;
    for (const std::string &it : kSmallOrganisations) {
        others += on.outcomes[it].refusals();
    }
    EXPECT_LT(others, hot.refusals() / 50);
    EXPECT_GT(acceptedPerSecond(on, "hot"), 0.3 * kLink);
}

// Guards against the same where callers send the initial window of TCP before they read a refusal, so that refusing
// keeps only half of the bytes away.
TEST_F(FullGatewayTest, hotOrganisationOfLateReaders_withBudget_moreSmallRequestsAreServed)
{
    constexpr std::int64_t kInitialWindow = 14'600;
    NarrowGateway &off = gatewayWith(false, kInitialWindow);
    play(off, {{"hot", kHotFactor * kUsualLoad}});
    NarrowGateway &on = gatewayWith(true, kInitialWindow);
    play(on, {{"hot", kHotFactor * kUsualLoad}});

    EXPECT_LT(smallInTime(off), 0.1);
    EXPECT_GT(smallInTime(on), 0.4);
    EXPECT_LT(on.longestQueue(), off.longestQueue() / 5);
}

// Guards against small requests that are refused while one organisation sends three times what the link carries, with
// callers that wait for the gateway before they send a body.
TEST_F(FullGatewayTest, threeTimesTheLink_withBudget_smallRequestsOfOthersAreServed)
{
    NarrowGateway &off = gatewayWith(false, 0);
    play(off, {{"hot", 3 * kLink}});
    NarrowGateway &on = gatewayWith(true, 0);
    play(on, {{"hot", 3 * kLink}});

    EXPECT_LT(smallInTime(off), 0.1);
    EXPECT_GT(smallInTime(on), 0.97);
    EXPECT_GT(acceptedPerSecond(on, "hot"), 0.3 * kLink);
}

// Guards against three hot organisations that displace the others, or one another: each gets at least half of its equal
// share of the link.
TEST_F(FullGatewayTest, threeHotOrganisations_withBudget_nobodyIsStarved)
{
    const std::map<std::string, double> loads{{"x", 0.7 * kLink}, {"y", 0.5 * kLink}, {"z", 0.3 * kLink}};
    NarrowGateway &off = gatewayWith(false);
    play(off, loads);
    NarrowGateway &on = gatewayWith(true);
    play(on, loads);

    EXPECT_LT(smallInTime(off), 0.5);
    EXPECT_GT(smallInTime(on), 0.94);
    const double share = kLink / static_cast<double>(loads.size() + kSmallOrganisations.size());
    for (const auto &[name, load] : loads) {
        EXPECT_GT(acceptedPerSecond(on, name), share / 2) << name;
    }
}

// Guards against a part that refuses although the link carries the load.
TEST_F(FullGatewayTest, halfOfTheLink_withBudget_refusesFewAndOnlyLargeRequests)
{
    NarrowGateway &on = gatewayWith(true);
    play(on, {{"busy", 0.4 * kLink}});

    int refused = 0;
    for (const std::string &it : kSmallOrganisations) {
        refused += on.outcomes[it].refusals();
    }
    EXPECT_LT(refused, 15);
    const NarrowGateway::Outcome &busy = on.outcomes["busy"];
    EXPECT_LT(busy.refusals(), busy.sent / 7);
}

// Guards against a burst that returns as a burst: 300 callers that are refused at one moment and come back after
// Retry-After, each up to four times.
TEST_F(FullGatewayTest, refusedCallersComeBack_withBudget_queueStaysShort)
{
    NarrowGateway &on = gatewayWith(true);
    constexpr int kCallers = 300;
    constexpr int kTries = 5;
    std::map<std::string, int> tries;
    std::map<std::int64_t, int> returnsPerSlot;
    on.onRefused = [&](const NarrowGateway::Request &request, Duration retryAfter) {
        if (++tries[request.organisation] < kTries) {
            const Instant back = timers.now() + retryAfter;
            if (tries[request.organisation] == 1) {
                ++returnsPerSlot[back.time_since_epoch() / (5 * kMillisecond)];
            }
            timers.after(retryAfter, [&on, request] {
                on.send(request);
            });
        }
    };
    for (int n = 0; n < kCallers; ++n) {
        on.send({"o" + std::to_string(n), 10'000, 10'000});
    }
    timers.advance(10 * kSecond);

    int most = 0;
    for (const auto &[slot, count] : returnsPerSlot) {
        most = std::max(most, count);
    }
    EXPECT_LT(most, kCallers / 4);
    int accepted = 0;
    for (const auto &[name, outcome] : on.outcomes) {
        accepted += outcome.accepted;
        for (const Duration delay : outcome.delays) {
            EXPECT_LT(delay, 1'500 * kMillisecond);
        }
    }
    EXPECT_GT(accepted, 10);
}

// Guards against a link with half of the bandwidth that the settings name: the counted bytes see no queue, and the
// delay of new connections bounds it, as without the part.
TEST_F(FullGatewayTest, linkHalved_withBudget_isNoWorseThanWithout)
{
    NarrowGateway &off = gatewayWith(false);
    off.setBandwidth(kMbps / 2);
    play(off, {{"hot", kUsualLoad}});
    NarrowGateway &on = gatewayWith(true);
    on.setBandwidth(kMbps / 2);
    play(on, {{"hot", kUsualLoad}});

    EXPECT_GE(smallInTime(on), smallInTime(off));
    EXPECT_LE(on.longestQueue(), off.longestQueue());
}

// Guards against an organisation that shuts out the others by declaring long bodies of which nothing comes, whether its
// connections end or stay open.
TEST_F(FullGatewayTest, declaredBytesThatNeverCome_withBudget_othersAreServed)
{
    for (const bool isWaiting : {false, true}) {
        NarrowGateway &on = gatewayWith(true);
        on.isWaitingForRest = isWaiting;
        const TimerId liar = timers.every(5 * kMillisecond, [&on] {
            on.send({"liar", 100, 8'000'000});
        });
        timers.after(kRun, [this, liar] {
            timers.cancel(liar);
        });
        play(on, {});

        EXPECT_GT(smallInTime(on), 0.9) << isWaiting;
    }
}
