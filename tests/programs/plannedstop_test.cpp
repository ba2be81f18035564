#include "rawendpointfixture.h"

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace RadishSwitch;

namespace
{

/// From the signal until the process would be killed, as on the deployments.
constexpr std::chrono::seconds kGrace{8};
/// How long an endpoint works on a call.
constexpr std::chrono::milliseconds kWork{1500};
/// Between the calls that come during the stop.
constexpr std::chrono::milliseconds kStep{250};

/// What became of a call that came during the stop.
struct LateCall {
    std::chrono::milliseconds sentAfter{};
    SeenAnswer seen;
};

}

/// A gateway that is stopped as planned, with endpoints that work for a while on each call.
class PlannedStopTest : public RawEndpointFixture
{
protected:
    PlannedStopTest()
        : RawEndpointFixture("planned-stop", slowAnswer, kGrace)
    {
    }

    static RawAnswer slowAnswer(const std::string &call)
    {
        RawAnswer answer = properAnswer(call);
        answer.work = call.starts_with("late") ? kWork : std::chrono::milliseconds::zero();
        return answer;
    }

    /// A call that may not be repeated, on a connection that stays open.
    static SeenAnswer callOn(CallerConnection &connection, const std::string &id)
    {
        CallerOptions options;
        options.keepsConnection = true;
        return connection.call(requestOf("/order/", id, options), options);
    }
};

// Guards against calls that are taken late in a planned stop, passed on, and cut without an answer at its end.
TEST_F(PlannedStopTest, callsDuringStop_passedOn_areAnswered)
{
    // Connections that are open before the stop, each with one call during it.
    const int calls = static_cast<int>(kGrace / kStep);
    std::vector<std::unique_ptr<CallerConnection>> kept;
    for (int n = 0; n < calls; ++n) {
        kept.push_back(std::make_unique<CallerConnection>(gatewayPort));
        ASSERT_EQ(callOn(*kept.back(), "warm-" + std::to_string(n)).status, 200);
    }
    const auto begin = Clock::now();
    gateway.signal(SIGTERM);
    std::vector<LateCall> onKept(static_cast<std::size_t>(calls));
    std::vector<LateCall> onNew(static_cast<std::size_t>(calls));
    std::vector<std::thread> callers;
    for (int n = 0; n < calls; ++n) {
        callers.emplace_back([&, n] {
            std::this_thread::sleep_until(begin + n * kStep);
            CallerConnection &connection = *kept[static_cast<std::size_t>(n)];
            onKept[static_cast<std::size_t>(n)] = {n * kStep, callOn(connection, "late-kept-" + std::to_string(n))};
        });
        callers.emplace_back([&, n] {
            std::this_thread::sleep_until(begin + n * kStep);
            onNew[static_cast<std::size_t>(n)] = {n * kStep, call("/order/", "late-new-" + std::to_string(n))};
        });
    }
    for (std::thread &it : callers) {
        it.join();
    }

    int answered = 0;
    for (int n = 0; n < calls; ++n) {
        for (const auto &[name, late] : {std::pair("late-kept-", &onKept), std::pair("late-new-", &onNew)}) {
            const std::string id = name + std::to_string(n);
            const LateCall &it = (*late)[static_cast<std::size_t>(n)];
            const bool isAnswered = it.seen.isSuccess() && it.seen.body() == "ok";
            answered += isAnswered ? 1 : 0;
            EXPECT_EQ(asked(id) > 0, isAnswered) << id << " " << it.sentAfter.count() << " ms: " << it.seen.text;
        }
    }
    EXPECT_GT(answered, 0);
    RecordProperty("answered", answered);
    EXPECT_TRUE(waitUntil([this] {
        return !gateway.isRunning();
    }));
}
