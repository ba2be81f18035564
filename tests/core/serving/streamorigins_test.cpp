#include "base/failure.h"
#include "serving/streamorigins.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <map>

using namespace RadishSwitch;

namespace
{

/// Other processes that answer at once from tables of their own, or not at all.
class FakeHolders : public StreamOriginPort
{
public:
    explicit FakeHolders(TimerService &timers)
        : m_timers(timers)
    {
    }

    void tell(const std::string &peer, const std::vector<StreamOriginRecord> &records) override
    {
        ++told;
        for (const StreamOriginRecord &record : records) {
            tables[peer].note(record, m_timers.now());
        }
    }

    void ask(const std::string &peer, const StreamOriginQuery &query, Duration, Callback callback) override
    {
        ++asked;
        if (lost.contains(peer)) {
            return callback(makeFailure(FailureCode::ConnectionLost, "lost"));
        }
        callback(StreamOriginAnswer{tables[peer].find(query.call), knowsSeveral});
    }

    std::map<std::string, StreamOriginTable> tables;
    std::map<std::string, bool> lost;
    bool knowsSeveral = false;
    int told = 0;
    int asked = 0;

private:
    TimerService &m_timers;
};

}

/// Two gateways and three homes; the first gateway is the one under test, and the second stands for all others.
class StreamOriginsTest : public testing::Test
{
protected:
    StreamOriginsTest()
    {
        std::map<std::string, FleetPeer> peers;
        for (const std::string name : {"gateway-1", "gateway-2"}) {
            peers[name] = {name + ":1", 1, "a", PeerKind::Gateway};
        }
        for (const std::string name : {"home-1", "home-2", "home-3"}) {
            peers[name] = {name + ":1", 1, "a", PeerKind::Home};
        }
        directory.setPeers(peers);
        otherDirectory.setPeers(peers);
        versions.noteListed(pool, v1, timers.now());
    }

    void addSecondVersion()
    {
        versions.noteListed(pool, v2, timers.now());
    }

    static StreamOriginQuery query(const std::string &call)
    {
        return {RequestId(call), OrganisationId("magnolia"), {PoolId("llm")}};
    }

    StreamOriginRecord record(const std::string &call, const SoftwareVersion &version) const
    {
        return {RequestId(call), {OrganisationId("magnolia"), pool, version}};
    }

    absl::StatusOr<StreamOrigin> find(StreamOrigins &origins, const StreamOriginQuery &query)
    {
        absl::StatusOr<StreamOrigin> found = absl::UnknownError("no answer");
        origins.find(query, [&found](const absl::StatusOr<StreamOrigin> &origin) {
            found = origin;
        });
        return found;
    }

    const PoolId pool{"llm"};
    const SoftwareVersion v1{"v1"};
    const SoftwareVersion v2{"v2"};
    VirtualTimerService timers;
    HomeDirectory directory{"gateway-1"};
    HomeDirectory otherDirectory{"gateway-2"};
    FakeHolders holders{timers};
    PoolVersions versions;
    Duration age{};
    StreamOrigins origins{directory, holders, versions, timers, [this] {
                              return age;
                          }};
    StreamOrigins others{otherDirectory, holders, versions, timers, [this] {
                             return age;
                         }};
};

TEST_F(StreamOriginsTest, poolOfOneVersion_sendsAndAsksNothing)
{
    others.note(record("call-1", v1));
    const auto origin = find(origins, query("call-1"));
    ASSERT_TRUE(origin.ok()) << origin.status();
    EXPECT_EQ(origin->version, v1);
    EXPECT_EQ(holders.told, 0);
    EXPECT_EQ(holders.asked, 0);
}

TEST_F(StreamOriginsTest, severalVersions_anotherGatewayFindsTheOrigin)
{
    addSecondVersion();
    for (int n = 0; n < 50; ++n) {
        const std::string call = "call-" + std::to_string(n);
        others.note(record(call, n % 2 == 0 ? v1 : v2));
        const auto origin = find(origins, query(call));
        ASSERT_TRUE(origin.ok()) << origin.status();
        EXPECT_EQ(origin->version, n % 2 == 0 ? v1 : v2);
    }
}

// Guards against origins that are lost with one home, as in a release that replaces homes with their endpoints.
TEST_F(StreamOriginsTest, anyHomeLost_originIsStillFound)
{
    addSecondVersion();
    for (const std::string home : {"home-1", "home-2", "home-3"}) {
        const std::string call = "call-" + home;
        others.note(record(call, v2));
        holders.lost = {{home, true}};
        const auto origin = find(origins, query(call));
        ASSERT_TRUE(origin.ok()) << origin.status();
        EXPECT_EQ(origin->version, v2);
        holders.lost.clear();
        directory.forgetFailures();
    }
}

// Guards against a guess where the records were lost, as after a loss of power.
TEST_F(StreamOriginsTest, severalVersionsWithoutRecord_isRefusedWithoutTimeToComeBack)
{
    addSecondVersion();
    const auto origin = find(origins, query("call-1"));
    EXPECT_EQ(failureCode(origin.status()), FailureCode::StreamOriginUnknown);
    EXPECT_EQ(outcomeOf(origin.status()), RunOutcome::NotRun);
    EXPECT_EQ(retryAfterOf(origin.status()), std::nullopt);
}

TEST_F(StreamOriginsTest, holdersLost_isRefusedWithTimeToComeBack)
{
    addSecondVersion();
    for (const std::string name : {"gateway-2", "home-1", "home-2", "home-3"}) {
        holders.lost[name] = true;
    }
    const auto origin = find(origins, query("call-1"));
    EXPECT_EQ(failureCode(origin.status()), FailureCode::StreamOriginUnknown);
    EXPECT_TRUE(retryAfterOf(origin.status()).has_value());
}

// Guards against a gateway that is cut off from the store and does not know that there is another version by now.
TEST_F(StreamOriginsTest, announcementsOutdated_otherProcessesAreAsked)
{
    age = StreamOriginsSettings().maximumAge + Duration(1);
    EXPECT_TRUE(find(origins, query("call-1")).ok()) << "nobody knows of another version";
    EXPECT_GT(holders.asked, 0);
    holders.knowsSeveral = true;
    EXPECT_EQ(failureCode(find(origins, query("call-1")).status()), FailureCode::StreamOriginUnknown);
    holders.knowsSeveral = false;
    for (const std::string name : {"gateway-2", "home-1", "home-2", "home-3"}) {
        holders.lost[name] = true;
    }
    EXPECT_EQ(failureCode(find(origins, query("call-1")).status()), FailureCode::StreamOriginUnknown);
}

// Guards against a gateway that relies on announcements for longer than a new version waits for its first streams.
TEST_F(StreamOriginsTest, maximumAge_isShorterThanSettling)
{
    EXPECT_LT(StreamOriginsSettings().maximumAge, PoolVersionsSettings().settling);
}

// Guards against streams that began before the second version was known and that nobody else has a record of.
TEST_F(StreamOriginsTest, secondVersionAppears_earlierStreamsArePublished)
{
    others.note(record("call-1", v1));
    addSecondVersion();
    others.publish(pool);
    const auto origin = find(origins, query("call-1"));
    ASSERT_TRUE(origin.ok()) << origin.status();
    EXPECT_EQ(origin->version, v1);
}

// Guards against callers that learn of calls of other organisations.
TEST_F(StreamOriginsTest, callOfAnotherOrganisation_isNotFound)
{
    addSecondVersion();
    origins.note(record("call-1", v2));
    StreamOriginQuery foreign = query("call-1");
    foreign.organisation = OrganisationId("thistle");
    EXPECT_FALSE(origins.answer(foreign).origin.has_value());
    EXPECT_TRUE(origins.answer(query("call-1")).origin.has_value());
}

TEST_F(StreamOriginsTest, table_keepsFirstRecordAndIsBounded)
{
    StreamOriginTableSettings settings;
    settings.maximumRecords = 3;
    StreamOriginTable table(settings);
    table.note(record("call-0", v1), timers.now());
    table.note(record("call-0", v2), timers.now());
    EXPECT_EQ(table.find(RequestId("call-0"))->version, v1);
    for (int n = 1; n < 5; ++n) {
        table.note(record("call-" + std::to_string(n), v1), timers.now());
    }
    EXPECT_EQ(table.size(), 3U);
    EXPECT_EQ(table.find(RequestId("call-0")), std::nullopt);
    timers.advance(settings.retention);
    table.note(record("call-9", v1), timers.now());
    EXPECT_EQ(table.size(), 1U);
}
