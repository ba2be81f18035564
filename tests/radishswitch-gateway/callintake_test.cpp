#include "callintake.h"
#include "names.h"
#include "platformcallprotocol.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <absl/strings/numbers.h>
#include <gtest/gtest.h>

#include <set>

using namespace RadishSwitch;

/// The intake of a gateway with a link of 10 Mbit/s, in virtual time.
class CallIntakeTest : public testing::Test
{
protected:
    static constexpr Duration kMillisecond = std::chrono::milliseconds(1);

    CallIntakeTest()
    {
        timers.advance(std::chrono::seconds(100));
        ServingConfiguration configuration;
        ServedOrganisation magnolia;
        magnolia.name = OrganisationId("magnolia");
        magnolia.apiKeys = {"k1", "k2"};
        configuration.organisations = {magnolia};
        intake.setTable(std::make_shared<const ServingTable>(configuration));
    }

    static HttpRequest head(const std::string &key, std::int64_t length)
    {
        HttpRequest request;
        request.method = "POST";
        request.headers = {{"Host", "shop.example"},
                           {PlatformNames::kCallId, "c1"},
                           {PlatformNames::kAuthorization, "Token " + key},
                           {"Content-Length", std::to_string(length)}};
        return request;
    }

    /// Uses eight tenths of the link for 120 ms.
    void useLink()
    {
        for (int n = 0; n < 12; ++n) {
            traffic.noteOut(10'000);
            timers.advance(10 * kMillisecond);
            budget.queue(timers.now());
        }
    }

    /// Runs the tasks that the process has waiting.
    void runTasks()
    {
        workers.context().restart();
        workers.context().poll();
    }

    std::uint64_t refusals(const std::string &reason)
    {
        return metrics.counter("radishswitch_calls_refused_unread_total", "", {{"reason", reason}}).value();
    }

    WorkerPool workers{1};
    VirtualTimerService timers;
    SeededRandom random;
    const PlatformCallProtocol protocol;
    Metrics metrics;
    CallMetrics callMetrics{metrics};
    LogSampler sampler;
    LinkShedder link;
    LinkTraffic traffic;
    IntakeBudget budget{IntakeBudgetSettings{10, true}, traffic, random};
    int changes = 0;
    CallIntake intake{workers, timers, protocol, callMetrics, sampler, link, budget, LoadShedderSettings(), [this] {
                          ++changes;
                      }};
};

// Guards against callers that are refused for the bytes of the link and return at the same moment, and against refusals
// whose reason nobody can see.
TEST_F(CallIntakeTest, refusal_byBytes_hasSpreadRetryAfterAndCountsItsReason)
{
    ASSERT_FALSE(intake.isRefusing(head("k1", 70'000)));
    std::set<std::string> waits;
    for (int n = 0; n < 20; ++n) {
        const HttpRequest request = head("k1", 70'000);
        ASSERT_TRUE(intake.isRefusing(request));
        const HttpResponse response = intake.refuse(request);
        EXPECT_EQ(response.status, 503);
        const std::string wait = response.headers.find(PlatformNames::kRetryAfter).value_or("");
        double seconds = 0;
        ASSERT_TRUE(absl::SimpleAtod(wait, &seconds)) << wait;
        EXPECT_GE(seconds, 0.02);
        EXPECT_LT(seconds, 0.3);
        waits.insert(wait);
    }
    EXPECT_GT(waits.size(), 10U);
    EXPECT_EQ(refusals("link_bytes"), 20U);
    EXPECT_EQ(refusals("processor"), 0U);
}

// Guards against an organisation that gets a share for each of its keys, or for each key that it invents.
TEST_F(CallIntakeTest, isRefusing_severalKeys_countForTheirOrganisation)
{
    for (int n = 0; n < 8; ++n) {
        for (const char *key : {"k1", "k2", "invented-1", "invented-2"}) {
            intake.isRefusing(head(key, 500));
        }
        intake.isRefusing(head("k" + std::to_string(n % 2 + 1), 60'000));
        runTasks();
        useLink();
    }
    timers.advance(60 * kMillisecond);
    budget.queue(timers.now());
    traffic.noteOut(50 * 1'250);

    for (const char *key : {"k1", "k2"}) {
        const HttpRequest request = head(key, 500);
        ASSERT_TRUE(intake.isRefusing(request)) << key;
        intake.refuse(request);
    }
    EXPECT_FALSE(intake.isRefusing(head("invented-3", 500)));
    EXPECT_EQ(refusals("share"), 2U);
}

// Guards against a caller that has left and whose bytes keep others out.
TEST_F(CallIntakeTest, noteCutOff_ofAcceptedCall_makesRoom)
{
    ASSERT_FALSE(intake.isRefusing(head("k1", 70'000)));
    ASSERT_TRUE(intake.isRefusing(head("k1", 70'000)));

    intake.noteCutOff(70'000, Duration::zero());

    EXPECT_FALSE(intake.isRefusing(head("k1", 70'000)));
}

// Guards against a gateway that looks empty to its neighbours while its processor or its link is full.
TEST_F(CallIntakeTest, fullness_lateProcessOrFullLink_isTheGreater)
{
    EXPECT_EQ(intake.fullness(timers.now()), 0);
    intake.isRefusing(head("k1", 10));
    timers.advance(30 * kMillisecond);
    EXPECT_DOUBLE_EQ(intake.fullness(timers.now()), 0.5);
    runTasks();
    EXPECT_DOUBLE_EQ(intake.fullness(timers.now()), 0.5);

    traffic.noteIn(1'250'000);
    EXPECT_NEAR(intake.fullness(timers.now()), 1, 0.01);

    budget.queue(timers.now());
    timers.advance(std::chrono::seconds(2));
    EXPECT_EQ(intake.fullness(timers.now()), 0);
}
