#include "fakeengine.h"
#include "routing/poolrouter.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <cmath>
#include <memory>

using namespace RadishSwitch;
using namespace std::chrono_literals;

/// Several routers send to the same engines, with reports of a given age.
class RoutingLoadTest : public testing::Test
{
protected:
    struct Router {
        explicit Router(std::uint64_t seed, const RoutingSettings &settings)
            : random(seed)
            , router(directory, random, settings)
        {
        }

        SeededRandom random;
        EndpointDirectory directory;
        PoolRouter router;
    };

    struct Scenario {
        std::string policy;
        int engines = 8;
        std::uint32_t slots = 8;
        std::size_t cacheBlocks = 1024;
        int routers = 1;
        double utilisation = 0.7;
        Duration reportAge{};
        int conversations = 0;
        std::uint64_t seed = 7;
    };

    struct Outcome {
        Duration firstTokenP95{};
        std::size_t longestQueue = 0;
        double hitRatio = 0;
    };

    Outcome run(const Scenario &scenario, const RoutingSettings &settings = {})
    {
        m_scenario = scenario;
        m_random = SeededRandom(scenario.seed);
        m_firstTokens.clear();
        m_conversations.assign(static_cast<std::size_t>(scenario.conversations), {});
        m_engines.clear();
        m_routers.clear();
        for (int i = 0; i < scenario.engines; ++i) {
            m_engines.push_back(std::make_unique<FakeEngine>(m_timers, scenario.slots, scenario.cacheBlocks));
        }
        for (int i = 0; i < scenario.routers; ++i) {
            m_routers.push_back(std::make_unique<Router>(scenario.seed * 100 + i, settings));
        }
        const TimerId reports = m_timers.every(kReportInterval, [this] {
            sendReports();
        });
        sendReports();
        m_timers.advance(scenario.reportAge);
        m_end = m_timers.now() + kTestDuration;
        scheduleRequests();
        m_timers.advance(kTestDuration);
        m_timers.cancel(reports);
        m_timers.advance(600s);
        return outcome();
    }

private:
    static constexpr Duration kReportInterval = 500ms;
    static constexpr Duration kTestDuration = 120s;
    static constexpr std::int64_t kAnswerTokens = 100;
    static constexpr std::int64_t kTokensPerBlock = 128;
    static constexpr std::size_t kSystemBlocks = 8;
    static constexpr std::size_t kTurnBlocks = 2;
    static constexpr std::size_t kLongestConversation = 40;

    void sendReports()
    {
        ++m_sequence;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            EndpointReport report;
            report.endpoint = EndpointId("engine-" + std::to_string(i));
            report.incarnation = IncarnationId("life-" + std::to_string(i));
            report.sequence = m_sequence;
            report.pool = PoolId("pool");
            report.models = {"drape"};
            report.load = m_engines[i]->load();
            report.load.age = m_scenario.reportAge;
            report.cacheEvents = m_engines[i]->takeCacheEvents();
            m_timers.after(m_scenario.reportAge, [this, report] {
                for (const auto &router : m_routers) {
                    router->directory.applyReport(report, m_timers.now());
                }
            });
        }
    }

    void scheduleRequests()
    {
        if (m_timers.now() >= m_end) {
            return;
        }
        sendRequest();
        const double capacity =
            m_scenario.engines * m_scenario.slots * FakeEngine::kTokensPerSecondPerSlot / kAnswerTokens;
        const double gap = -std::log(1 - m_random.fraction()) / (capacity * m_scenario.utilisation);
        m_timers.after(Duration(static_cast<Duration::rep>(gap * 1e6)), [this] {
            scheduleRequests();
        });
    }

    std::vector<std::uint64_t> nextPrompt()
    {
        if (m_conversations.empty()) {
            return {};
        }
        auto &conversation = m_conversations[m_random.below(m_conversations.size())];
        if (conversation.empty() || conversation.size() > kLongestConversation) {
            conversation.clear();
            const std::uint64_t system = m_random.below(4) + 1;
            for (std::size_t i = 0; i < kSystemBlocks; ++i) {
                conversation.push_back(system * 1000 + i);
            }
        }
        for (std::size_t i = 0; i < kTurnBlocks; ++i) {
            conversation.push_back(m_random.below(~0ULL));
        }
        return conversation;
    }

    void sendRequest()
    {
        Router &router = *m_routers[m_random.below(m_routers.size())];
        RouteQuery query;
        query.pool = PoolId("pool");
        query.policy = m_scenario.policy;
        query.model = "drape";
        query.prefixHashes = nextPrompt();
        query.promptTokens = 100 + static_cast<std::int64_t>(query.prefixHashes.size()) * kTokensPerBlock;
        const absl::StatusOr<RouteChoice> choice = router.router.choose(query, m_timers.now());
        ASSERT_TRUE(choice.ok());
        const EndpointId endpoint = choice->endpoint;
        const Instant begin = m_timers.now();
        router.router.noteDispatched(endpoint, kAnswerTokens, begin);
        FakeEngine::Run run;
        run.promptTokens = query.promptTokens;
        run.answerTokens = kAnswerTokens / 2 + static_cast<std::int64_t>(m_random.below(kAnswerTokens));
        run.prefixHashes = query.prefixHashes;
        run.firstToken = [this, &router, endpoint, begin] {
            const Duration taken = m_timers.now() - begin;
            m_firstTokens.push_back(taken);
            router.router.noteFirstToken(endpoint, taken, m_timers.now());
        };
        run.done = [this, &router, endpoint] {
            router.router.noteFinished(endpoint, RunEnd::Ok, m_timers.now());
        };
        m_engines[std::stoul(endpoint.value().substr(7))]->submit(std::move(run));
    }

    Outcome outcome()
    {
        Outcome outcome;
        std::ranges::sort(m_firstTokens);
        outcome.firstTokenP95 = m_firstTokens[m_firstTokens.size() * 95 / 100];
        std::int64_t asked = 0;
        std::int64_t hit = 0;
        for (const auto &engine : m_engines) {
            outcome.longestQueue = std::max(outcome.longestQueue, engine->longestQueue());
            asked += engine->blocksRequested();
            hit += engine->blocksHit();
        }
        outcome.hitRatio = asked == 0 ? 0 : static_cast<double>(hit) / static_cast<double>(asked);
        return outcome;
    }

    VirtualTimerService m_timers;
    SeededRandom m_random;
    Scenario m_scenario;
    Instant m_end{};
    std::uint64_t m_sequence = 0;
    std::vector<std::unique_ptr<FakeEngine>> m_engines;
    std::vector<std::unique_ptr<Router>> m_routers;
    std::vector<Duration> m_firstTokens;
    std::vector<std::vector<std::uint64_t>> m_conversations;
};

// Twenty routers see loads that are 5 s old. If they trusted the reports, all of them would send to the endpoint that
// was idle 5 s ago, until its longer queue shows in the reports, and would then all move to the next one. Callers would
// wait seconds for the first token although most endpoints are idle.
TEST_F(RoutingLoadTest, twentyRouters_reportsFiveSecondsOld_firstTokenNearRoundRobin)
{
    Scenario scenario;
    scenario.routers = 20;
    scenario.reportAge = 5s;
    const Outcome outcome = run(scenario);
    scenario.policy = "round-robin";
    const Outcome baseline = run(scenario);

    EXPECT_LE(outcome.firstTokenP95, baseline.firstTokenP95 * 5 / 4);
    EXPECT_LE(outcome.longestQueue, baseline.longestQueue * 2);
}

TEST_F(RoutingLoadTest, oneRouter_reportsFiveSecondsOld_ownRunsStillCounted)
{
    Scenario scenario;
    scenario.utilisation = 0.9;
    scenario.reportAge = 5s;
    const Outcome outcome = run(scenario);
    scenario.policy = "round-robin";

    EXPECT_LT(outcome.firstTokenP95, run(scenario).firstTokenP95);
}

// Conversations grow by one turn at a time, and each turn may reach any router. An endpoint that has the conversation
// in its cache answers sooner. An endpoint that does not has to compute the whole prompt again, and evicts another
// conversation.
TEST_F(RoutingLoadTest, growingConversations_cachesLimited_moreHitsAndFasterThanRoundRobin)
{
    Scenario scenario;
    scenario.utilisation = 0.6;
    scenario.reportAge = 100ms;
    scenario.conversations = 300;
    const Outcome outcome = run(scenario);
    scenario.policy = "round-robin";
    const Outcome baseline = run(scenario);

    EXPECT_GT(outcome.hitRatio, baseline.hitRatio + 0.15);
    EXPECT_LT(outcome.firstTokenP95, baseline.firstTokenP95 * 3 / 4);
}
