#include "base/failure.h"
#include "routing/poolrouter.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class PoolRouterTest : public testing::Test
{
protected:
    EndpointReport reportOf(const std::string &name)
    {
        EndpointReport report;
        report.endpoint = EndpointId(name);
        report.incarnation = IncarnationId(name + "-first");
        report.sequence = ++m_sequence;
        report.pool = m_pool;
        report.address = name + ":7001";
        report.zone = "hall-a";
        report.region = "south-central";
        report.load.capacity = 8;
        report.load.tokensPerSecond = 1000;
        report.models = {"drape"};
        return report;
    }

    void report(const std::string &name, const std::string &zone = "hall-a")
    {
        EndpointReport report = reportOf(name);
        report.zone = zone;
        m_directory.applyReport(report, m_timers.now());
    }

    void reportAll(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            report(name);
        }
    }

    void run(const std::string &name, RunEnd end)
    {
        m_router.noteDispatched(EndpointId(name), 100, m_timers.now());
        m_router.noteFinished(EndpointId(name), end, m_timers.now());
    }

    /// Advances the time, with reports from the endpoints, until their slow start is over.
    void passSlowStart(const std::vector<std::string> &names)
    {
        for (int i = 0; i < 11; ++i) {
            reportAll(names);
            m_timers.advance(1s);
        }
        reportAll(names);
    }

    RouteQuery query() const
    {
        RouteQuery query;
        query.pool = m_pool;
        query.model = "drape";
        query.promptTokens = 100;
        query.zone = "hall-a";
        query.region = "south-central";
        return query;
    }

    std::string choose(const RouteQuery &query)
    {
        const absl::StatusOr<RouteChoice> choice = m_router.choose(query, m_timers.now());
        return choice.ok() ? choice->endpoint.value() : std::string(failureName(failureCode(choice.status())));
    }

    std::map<std::string, int> countChoices(int n, const RouteQuery &query)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i) {
            ++counts[choose(query)];
        }
        return counts;
    }

    const PoolId m_pool{"drape-llm"};
    std::uint64_t m_sequence = 0;
    VirtualTimerService m_timers;
    SeededRandom m_random;
    EndpointDirectory m_directory;
    PoolRouter m_router{m_directory, m_random};
};

TEST_F(PoolRouterTest, choose_noEndpointReported_refusesWithRetryAfter)
{
    m_directory.applyListed({EndpointId("a"), "a:7001", m_pool, "hall-a", "south-central", false}, m_timers.now());

    const absl::StatusOr<RouteChoice> choice = m_router.choose(query(), m_timers.now());

    EXPECT_EQ(failureCode(choice.status()), FailureCode::NoEndpoint);
    EXPECT_EQ(retryAfterOf(choice.status()), 1000ms);
}

TEST_F(PoolRouterTest, choose_endpointReported_returnsItsAgentsAddress)
{
    report("a");

    const absl::StatusOr<RouteChoice> choice = m_router.choose(query(), m_timers.now());

    ASSERT_TRUE(choice.ok());
    EXPECT_EQ(*choice, (RouteChoice{EndpointId("a"), "a:7001"}));
}

TEST_F(PoolRouterTest, choose_unknownPolicy_failsWithInvalidSettings)
{
    report("a");
    RouteQuery other = query();
    other.policy = "by-the-moon";

    EXPECT_EQ(choose(other), "invalid_settings");
}

TEST_F(PoolRouterTest, choose_endpointExcluded_returnsAnother)
{
    reportAll({"a", "b"});
    RouteQuery retry = query();
    retry.excluded = {EndpointId("a")};

    EXPECT_EQ(countChoices(20, retry), (std::map<std::string, int>{{"b", 20}}));
}

TEST_F(PoolRouterTest, choose_otherModel_isRefused)
{
    report("a");
    RouteQuery other = query();
    other.model = "patter";

    EXPECT_EQ(choose(other), "no_endpoint");
}

TEST_F(PoolRouterTest, choose_zonesEquallyBusy_prefersOwnZone)
{
    report("near", "hall-a");
    report("far", "hall-b");

    EXPECT_EQ(countChoices(20, query()), (std::map<std::string, int>{{"near", 20}}));
}

TEST_F(PoolRouterTest, choose_adapterLoadedAtOneEndpoint_prefersThatEndpoint)
{
    report("a");
    EndpointReport loaded = reportOf("b");
    loaded.adapters = {"drape:blinds"};
    m_directory.applyReport(loaded, m_timers.now());
    RouteQuery adapted = query();
    adapted.model = "drape:blinds";

    EXPECT_EQ(countChoices(20, adapted), (std::map<std::string, int>{{"b", 20}}));
}

TEST_F(PoolRouterTest, choose_promptCachedAtOneEndpoint_prefersThatEndpoint)
{
    reportAll({"a", "b", "c", "d", "e", "f"});
    RouteQuery prompt = query();
    prompt.promptTokens = 4000;
    prompt.prefixHashes = {1, 2, 3, 4, 5, 6};
    const std::string first = choose(prompt);

    EXPECT_EQ(countChoices(20, prompt), (std::map<std::string, int>{{first, 20}}));
}

// All requests share one long system prompt. The endpoint that saw it first has the lowest cost for each of them, so
// all of them would queue there while the other endpoints are idle.
TEST_F(PoolRouterTest, choose_promptSharedByAllRequests_spreadsWhenCacheHolderIsBusy)
{
    reportAll({"a", "b", "c", "d"});
    RouteQuery prompt = query();
    prompt.promptTokens = 4000;
    prompt.prefixHashes = {1, 2, 3, 4, 5, 6};
    std::map<std::string, int> counts;
    for (int i = 0; i < 24; ++i) {
        const std::string name = choose(prompt);
        m_router.noteDispatched(EndpointId(name), 100, m_timers.now());
        ++counts[name];
    }

    // The limit is 1.25 times the mean of 6 runs, plus one run.
    EXPECT_GE(counts.size(), 3u);
    for (const auto &[name, n] : counts) {
        EXPECT_LE(n, 9) << name;
    }
}

// An engine accepts every run and answers none. Its queue looks short and no run has failed yet, so a policy that only
// considers the load would keep sending runs there, and each caller would wait until its deadline.
TEST_F(PoolRouterTest, choose_endpointAcceptsAndNeverAnswers_isAvoidedAfterHalfASecond)
{
    passSlowStart({"a", "b"});
    m_router.noteDispatched(EndpointId("a"), 100, m_timers.now());
    for (int i = 0; i < 6; ++i) {
        m_router.noteDispatched(EndpointId("b"), 100, m_timers.now());
        m_router.noteFirstToken(EndpointId("b"), 100ms, m_timers.now());
    }
    EXPECT_EQ(countChoices(20, query()), (std::map<std::string, int>{{"a", 20}}));

    m_timers.advance(500ms);
    EXPECT_EQ(countChoices(20, query()), (std::map<std::string, int>{{"b", 20}}));
}

TEST_F(PoolRouterTest, choose_endpointFailsFiveTimes_isEjectedAndThenProbedOnce)
{
    passSlowStart({"a", "b", "c"});
    for (int i = 0; i < 5; ++i) {
        run("a", RunEnd::Failed);
    }
    EXPECT_TRUE(m_router.isEjected(EndpointId("a"), m_timers.now()));
    EXPECT_EQ(countChoices(50, query()).count("a"), 0u);

    m_timers.advance(3s);
    reportAll({"a", "b", "c"});
    EXPECT_GT(countChoices(50, query())["a"], 0);
    m_router.noteDispatched(EndpointId("a"), 100, m_timers.now());
    EXPECT_EQ(countChoices(50, query()).count("a"), 0u);

    m_router.noteFinished(EndpointId("a"), RunEnd::Ok, m_timers.now());
    EXPECT_GT(countChoices(50, query())["a"], 0);
}

TEST_F(PoolRouterTest, choose_probeFails_isEjectedForTwiceAsLong)
{
    passSlowStart({"a", "b", "c"});
    for (int i = 0; i < 5; ++i) {
        run("a", RunEnd::Failed);
    }
    m_timers.advance(3s);
    reportAll({"a", "b", "c"});
    run("a", RunEnd::Failed);
    m_timers.advance(5s);
    EXPECT_TRUE(m_router.isEjected(EndpointId("a"), m_timers.now()));

    m_timers.advance(1s);
    EXPECT_FALSE(m_router.isEjected(EndpointId("a"), m_timers.now()));
}

TEST_F(PoolRouterTest, choose_halfOfRunsFailInAWindow_isEjected)
{
    passSlowStart({"a", "b"});
    for (int i = 0; i < 5; ++i) {
        run("a", RunEnd::Ok);
        run("a", RunEnd::Failed);
    }

    EXPECT_TRUE(m_router.isEjected(EndpointId("a"), m_timers.now()));
}

// A fault that all endpoints share makes each of them fail often enough to be ejected. If all were ejected, every
// request would be refused, including those that would succeed.
TEST_F(PoolRouterTest, choose_allEndpointsFail_atMostHalfAreEjected)
{
    passSlowStart({"a", "b", "c", "d"});
    for (int i = 0; i < 20; ++i) {
        for (const char *name : {"a", "b", "c", "d"}) {
            run(name, RunEnd::Failed);
        }
    }
    const auto ejected = [this](const char *name) {
        return m_router.isEjected(EndpointId(name), m_timers.now());
    };

    EXPECT_EQ(ejected("a") + ejected("b") + ejected("c") + ejected("d"), 2);
    EXPECT_EQ(countChoices(100, query()).size(), 2u);
}

// One endpoint is ejected, and the connection to the only other one is lost. The ejected endpoint may have recovered,
// and is the only one left to try.
TEST_F(PoolRouterTest, choose_onlyEjectedEndpointsLeft_usesThem)
{
    passSlowStart({"a", "b"});
    for (int i = 0; i < 5; ++i) {
        run("a", RunEnd::Failed);
    }
    m_directory.noteConnectionLost(EndpointId("b"), m_timers.now());

    EXPECT_EQ(choose(query()), "a");
}

// A zone with a third of the pool is cut off. Its connections become silent without an error, and the list still
// contains its endpoints. After 2 s without reports no request may go there, and the other endpoints take all requests.
TEST_F(PoolRouterTest, choose_zoneWithAThirdOfThePoolLost_othersTakeAllRequests)
{
    for (const char *name : {"a1", "a2", "b1", "b2", "c1", "c2"}) {
        report(name, std::string("hall-") + name[0]);
    }
    for (int i = 0; i < 4; ++i) {
        m_timers.advance(500ms);
        for (const char *name : {"a1", "a2", "b1", "b2"}) {
            report(name, std::string("hall-") + name[0]);
        }
    }
    RouteQuery fromLostZone = query();
    fromLostZone.zone = "hall-c";
    const std::map<std::string, int> counts = countChoices(200, fromLostZone);

    EXPECT_EQ(counts.size(), 4u);
    EXPECT_EQ(counts.count("c1") + counts.count("c2"), 0u);
    EXPECT_EQ(m_router.eligibleCount(m_pool, m_timers.now()), 4u);
}

// All endpoints of the pool restart at the same time. Until they report, a request is refused at once with a
// retry-after time. Then all new incarnations are in their slow start together, which must not keep them from getting
// work.
TEST_F(PoolRouterTest, choose_allEndpointsRestart_refusedAtOnceAndThenServed)
{
    passSlowStart({"a", "b"});
    for (const char *name : {"a", "b"}) {
        m_directory.noteConnectionLost(EndpointId(name), m_timers.now());
    }
    const absl::StatusOr<RouteChoice> refused = m_router.choose(query(), m_timers.now());
    EXPECT_EQ(failureCode(refused.status()), FailureCode::NoEndpoint);
    EXPECT_TRUE(retryAfterOf(refused.status()).has_value());

    for (const char *name : {"a", "b"}) {
        EndpointReport fresh = reportOf(name);
        fresh.incarnation = IncarnationId(std::string(name) + "-second");
        m_directory.applyReport(fresh, m_timers.now());
    }
    EXPECT_EQ(countChoices(100, query()).size(), 2u);
}

// A new endpoint has an empty queue and so has the lowest cost for all requests at once.
TEST_F(PoolRouterTest, choose_newEndpointAmongOld_getsFewRequestsAtFirst)
{
    passSlowStart({"a", "b", "c"});
    report("new");
    EXPECT_LT(countChoices(400, query())["new"], 40);

    passSlowStart({"a", "b", "c", "new"});
    EXPECT_GT(countChoices(400, query())["new"], 60);
}

TEST_F(PoolRouterTest, hints_endpointRestarts_areDropped)
{
    EndpointReport report = reportOf("a");
    report.cacheEvents = {{1, true, {11}}};
    m_directory.applyReport(report, m_timers.now());
    EndpointReport fresh = reportOf("a");
    fresh.incarnation = IncarnationId("a-second");
    m_directory.applyReport(fresh, m_timers.now());

    EXPECT_EQ(m_router.hints().hashCount(), 0u);
}

// Three entry processes see the same free slots in reports that are a second old. If each of them took all of these
// slots, the endpoints would get three times the runs that they have room for. The runs would then wait in the
// endpoints' queues instead of the entry processes' fair queue, which can refuse requests in time.
TEST_F(PoolRouterTest, freeSlots_sharedByThreeEntries_areAboutAThird)
{
    reportAll({"a", "b", "c"});
    m_router.setCapacityShare(0, 3);
    EXPECT_EQ(m_router.freeSlots(m_pool), 8);

    for (int i = 0; i < 8; ++i) {
        m_router.noteDispatched(EndpointId("a"), 100, m_timers.now());
    }
    EXPECT_EQ(m_router.freeSlots(m_pool), 5);
}

TEST_F(PoolRouterTest, freeSlots_endpointFullOfOtherProcessesRuns_ownSlotsStayFree)
{
    EndpointReport full = reportOf("a");
    full.load.running = 8;
    full.load.queued = 3;
    m_directory.applyReport(full, m_timers.now());
    m_router.setCapacityShare(1, 2);

    EXPECT_EQ(m_router.freeSlots(m_pool), 4);
}
