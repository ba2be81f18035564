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
            tableOf(peer).note(record, m_timers.now());
        }
    }

    void keep(const std::string &peer, const StreamOriginRecord &record, Duration, KeptCallback callback) override
    {
        ++told;
        if (lost.contains(peer)) {
            return callback(makeFailure(FailureCode::ConnectionLost, "lost"));
        }
        tableOf(peer).note(record, m_timers.now());
        callback(absl::OkStatus());
    }

    void ask(const std::string &peer, const StreamOriginQuery &query, Duration, Callback callback) override
    {
        ++asked;
        if (lost.contains(peer)) {
            return callback(makeFailure(FailureCode::ConnectionLost, "lost"));
        }
        StreamOriginAnswer answer = tableOf(peer).answer(query, m_timers.now());
        answer.hasSeveralVersions = knowsSeveral;
        answer.soleVersionAge = soleVersionAge;
        callback(answer);
    }

    /// The process has started anew and knows nothing of before.
    void restart(const std::string &peer)
    {
        tables.erase(peer);
        gatewayTables.erase(peer);
        startedAt[peer] = m_timers.now();
    }

    StreamOriginTable &tableOf(const std::string &peer)
    {
        const auto it = gatewayTables.find(peer);
        return it == gatewayTables.end() ? tables.try_emplace(peer, startedAt[peer]).first->second : *it->second;
    }

    std::map<std::string, StreamOriginTable> tables;
    /// Those of the gateways in the test.
    std::map<std::string, StreamOriginTable *> gatewayTables;
    std::map<std::string, Instant> startedAt;
    std::map<std::string, bool> lost;
    bool knowsSeveral = false;
    std::optional<Duration> soleVersionAge;
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
        timers.advance(kUptime);
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
        holders.gatewayTables = {{"gateway-1", &origins.table()}, {"gateway-2", &others.table()}};
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

    static absl::StatusOr<FoundStreamOrigin> findWithEvidence(StreamOrigins &origins, const StreamOriginQuery &query)
    {
        absl::StatusOr<FoundStreamOrigin> found = absl::UnknownError("no answer");
        origins.find(query, [&found](const absl::StatusOr<FoundStreamOrigin> &origin) {
            found = origin;
        });
        return found;
    }

    static absl::StatusOr<StreamOrigin> find(StreamOrigins &origins, const StreamOriginQuery &query)
    {
        const absl::StatusOr<FoundStreamOrigin> found = findWithEvidence(origins, query);
        return found.ok() ? absl::StatusOr<StreamOrigin>(found->origin) : found.status();
    }

    /// Since when all processes have been running when a test begins.
    static constexpr Duration kUptime = std::chrono::seconds(30);

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
    StreamOriginTable table(timers.now(), settings);
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

// Guards against a stream that goes on at a version that turned out not to be the one that wrote it.
TEST_F(StreamOriginsTest, table_withdrawnOrigin_staysUnknown)
{
    StreamOriginTable table(timers.now());
    table.note(record("call-0", v1), timers.now());
    table.note(record("call-0", SoftwareVersion()), timers.now());
    table.note(record("call-0", v1), timers.now());
    EXPECT_TRUE(table.find(RequestId("call-0"))->version.isEmpty());
    EXPECT_TRUE(table.answer(query("call-0"), timers.now()).hasUnnamedRecord);
}

/// A pool of which "v1" is established, with "v2" beside it, announced a moment ago.
class EstablishedVersionTest : public StreamOriginsTest
{
protected:
    EstablishedVersionTest()
    {
        versions.noteEstablished(pool, v1);
        addSecondVersion();
        versions.noteAnnounced(pool, false, timers.now(), timers.now());
    }

    /// Lets streams begin at both versions, and time pass in which nobody can tell without asking.
    void settle()
    {
        timers.advance(PoolVersionsSettings().settling);
    }

    absl::Status registerStream(const std::string &call)
    {
        absl::Status status = absl::UnknownError("no answer");
        others.registerStream(RequestId(call), OrganisationId("magnolia"), pool, [&status](const absl::Status &result) {
            status = result;
        });
        return status;
    }

    void lose(const std::vector<std::string> &names)
    {
        for (const std::string &name : names) {
            holders.lost[name] = true;
        }
    }

    static constexpr int kStreams = 50;
};

TEST_F(EstablishedVersionTest, onlyFurtherVersionsMustRegister)
{
    EXPECT_FALSE(origins.mustRegister(pool, v1));
    EXPECT_TRUE(origins.mustRegister(pool, v2));
    EXPECT_FALSE(origins.mustRegister(PoolId("shop"), v2));
}

// Guards against streams that are lost with the one gateway that knew where they began.
TEST_F(EstablishedVersionTest, streamWithoutRecord_beganAtTheEstablishedVersion)
{
    settle();
    const auto found = findWithEvidence(origins, query("call-1"));
    ASSERT_TRUE(found.ok()) << found.status();
    EXPECT_EQ(found->origin.version, v1);
    EXPECT_EQ(found->evidence, OriginEvidence::EstablishedVersion);
}

// Guards against questions where the moment alone proves that no stream began elsewhere.
TEST_F(EstablishedVersionTest, beforeFurtherVersionCanBegin_nobodyIsAsked)
{
    EXPECT_TRUE(find(origins, query("call-1")).ok());
    EXPECT_EQ(holders.asked, 0);
}

// Guards against a stream of the further version that is taken for one without a record, whichever holder is lost.
TEST_F(EstablishedVersionTest, registeredStream_neverContinuesAtTheEstablishedVersion)
{
    settle();
    const std::vector<std::string> names{"gateway-2", "home-1", "home-2", "home-3"};
    for (int n = 0; n < kStreams; ++n) {
        const std::string call = "call-" + std::to_string(n);
        holders.lost.clear();
        lose({names[n % names.size()]});
        ASSERT_TRUE(registerStream(call).ok());
        holders.lost.clear();
        lose({names[(n / names.size()) % names.size()]});
        directory.forgetFailures();
        otherDirectory.forgetFailures();
        const auto found = find(origins, query(call));
        EXPECT_EQ(failureCode(found.status()), FailureCode::StreamOriginUnknown) << call;
    }
}

// Guards against a mark that hides the record of the version at which the stream then began.
TEST_F(EstablishedVersionTest, registeredStream_continuesWhereItsRecordSays)
{
    settle();
    for (const SoftwareVersion &version : {v1, v2}) {
        const std::string call = "call-" + version.value();
        ASSERT_TRUE(registerStream(call).ok());
        others.note(record(call, version));
        const auto found = find(origins, query(call));
        ASSERT_TRUE(found.ok()) << found.status();
        EXPECT_EQ(found->version, version);
    }
}

// Guards against a gateway that is cut off with a few holders, and begins streams there of which the rest do not know.
TEST_F(EstablishedVersionTest, minorityOfHolders_registersNothing)
{
    lose({"home-1", "home-2", "gateway-1"});
    const absl::Status status = registerStream("call-1");
    EXPECT_EQ(failureCode(status), FailureCode::StreamOriginUnknown);
    EXPECT_EQ(outcomeOf(status), RunOutcome::NotRun);
    EXPECT_TRUE(retryAfterOf(status).has_value());
}

// Guards against the same on the side that asks.
TEST_F(EstablishedVersionTest, minorityOfHolders_provesNothing)
{
    settle();
    lose({"home-1", "home-2", "home-3"});
    const auto found = find(origins, query("call-1"));
    EXPECT_EQ(failureCode(found.status()), FailureCode::StreamOriginUnknown);
    EXPECT_TRUE(retryAfterOf(found.status()).has_value());
}

// Guards against holders that have started again, and have lost what they were told before.
TEST_F(EstablishedVersionTest, restartedHolders_proveNothing)
{
    settle();
    ASSERT_TRUE(registerStream("call-1").ok());
    for (const std::string name : {"home-1", "home-2", "home-3", "gateway-2"}) {
        holders.restart(name);
    }
    EXPECT_EQ(failureCode(find(origins, query("call-1")).status()), FailureCode::StreamOriginUnknown);
    timers.advance(StreamOriginTableSettings().retention);
    EXPECT_TRUE(find(origins, query("call-2")).ok()) << "older streams are not continued any more";
}

// Guards against a gateway that started after the announcement and could continue nothing for a minute.
TEST_F(EstablishedVersionTest, startedAfterAnnouncement_learnsFromOthersSinceWhenRecordsAreNeeded)
{
    settle();
    PoolVersions late;
    late.noteEstablished(pool, v1);
    late.noteAnnounced(pool, true, timers.now());
    late.noteListed(pool, v1, timers.now());
    StreamOrigins started(directory, holders, late, timers, [this] {
        return age;
    });
    EXPECT_EQ(failureCode(find(started, query("call-1")).status()), FailureCode::StreamOriginUnknown);
    holders.soleVersionAge = PoolVersionsSettings().settling;
    EXPECT_TRUE(find(started, query("call-1")).ok());
}

// Guards against a stream of a split route that is guessed to have begun in one of its pools.
TEST_F(EstablishedVersionTest, splitRoute_streamWithoutRecordIsRefused)
{
    settle();
    StreamOriginQuery split = query("call-1");
    split.pools.emplace_back("other");
    EXPECT_EQ(failureCode(find(origins, split).status()), FailureCode::StreamOriginUnknown);
}

// Guards against guesses for callers that do not say which stream they continue, or that name another's.
TEST_F(EstablishedVersionTest, unnamedOrForeignStream_isRefused)
{
    settle();
    EXPECT_FALSE(find(origins, query("")).ok());
    others.note(record("call-1", v2));
    StreamOriginQuery foreign = query("call-1");
    foreign.organisation = OrganisationId("thistle");
    EXPECT_FALSE(find(origins, foreign).ok());
}

// Guards against a table that dropped records early and still counts as complete.
TEST_F(EstablishedVersionTest, tableThatDroppedRecords_isIncompleteBeforeThat)
{
    StreamOriginTableSettings settings;
    settings.maximumRecords = 1;
    StreamOriginTable table(Instant(), settings);
    table.note(record("call-0", v1), timers.now());
    EXPECT_EQ(table.completeFor(timers.now()), timers.now() - Instant());
    table.note(record("call-1", v1), timers.now());
    EXPECT_EQ(table.completeFor(timers.now()), Duration::zero());
}
