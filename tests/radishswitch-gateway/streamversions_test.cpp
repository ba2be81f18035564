#include "base/failure.h"
#include "gatewayfixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <set>

using namespace RadishSwitch;

/// Streams that break off while endpoints of two software versions serve one pool: replicas 1 and 3 run "v1", replicas
/// 2 and 4 run "v2".
class StreamVersionsTest : public GatewayFixture
{
protected:
    using Fault = ReplicaServer::Fault;

    static constexpr int kStreams = 24;
    static constexpr int kEvents = 10;
    /// Events of a stream that breaks off.
    static constexpr int kEventsBefore = 2;
    /// Of the streams that callers take up, the fewest that have to continue.
    static constexpr int kLeastContinued = kStreams * 9 / 10;

    StreamVersionsTest()
        : third(testServers, serverSettings("replica-3"))
        , fourth(testServers, serverSettings("replica-4"))
    {
        EXPECT_TRUE(third.listen("127.0.0.1", 0).ok());
        EXPECT_TRUE(fourth.listen("127.0.0.1", 0).ok());
    }

    GatewaySettings gatewaySettings() override
    {
        GatewaySettings settings = GatewayFixture::gatewaySettings();
        settings.peerListen = {"127.0.0.1", freePort()};
        settings.isFirstStart = isFirstStart;
        if (!continuesItself) {
            settings.retryBound = 0;
            settings.retryBurst = 0;
        }
        return settings;
    }

    /// Gateways tell each other their ports, so that these have to be known before they listen.
    static std::uint16_t freePort()
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::acceptor acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
        return acceptor.local_endpoint().port();
    }

    void list(const std::string &id, const ReplicaServer &replica, const std::string &version,
              const std::string &state = "ready", std::int64_t startedAtMilliseconds = 1'000)
    {
        onTestServers([&] {
            putObject("servers", id, endpointEntry(replica.port(), state, startedAtMilliseconds, version));
        });
    }

    /// Puts the announcement in the store that gateways write when they see a second version.
    void announceVersions()
    {
        onTestServers([this] {
            putObject("news", "versions.llm", {{"versions", {"v1", "v2"}}});
        });
    }

    void listAll()
    {
        announceVersions();
        list("replica-1", first, "v1");
        list("replica-2", second, "v2");
        list("replica-3", third, "v1");
        list("replica-4", fourth, "v2");
    }

    void unlist(const std::string &id)
    {
        onTestServers([&] {
            store.table().remove("servers", id, {});
        });
    }

    std::array<ReplicaServer *, 4> replicas()
    {
        return {&first, &second, &third, &fourth};
    }

    /// The versions at which a call ran.
    std::set<std::string> versionsOf(const std::string &call)
    {
        return onTestServers([&] {
            std::set<std::string> versions;
            for (std::size_t n = 0; n < replicas().size(); ++n) {
                if (replicas()[n]->runs().contains(call)) {
                    versions.insert(n % 2 == 0 ? "v1" : "v2");
                }
            }
            return versions;
        });
    }

    void setFault(std::optional<Fault> fault)
    {
        onTestServers([&] {
            for (ReplicaServer *replica : replicas()) {
                replica->clearFaults();
                if (fault) {
                    replica->addFaults(*fault, 1);
                }
            }
        });
    }

    /// Begins a stream that breaks off after `kEventsBefore` events. Returns the version that began it.
    std::string beginBroken(std::uint16_t port, const std::string &id)
    {
        setFault(Fault::BreakOff);
        const auto response = fetchFrom(port, streamRequest("/resumable/a", id, kEvents * 7));
        EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost) << response.status();
        setFault(std::nullopt);
        const std::set<std::string> versions = versionsOf(id);
        EXPECT_EQ(versions.size(), 1U) << id;
        return versions.empty() ? std::string() : *versions.begin();
    }

    static HttpRequest resumption(const std::string &id, const std::string &resumed)
    {
        HttpRequest it = streamRequest("/resumable/a", id, kEvents * 7);
        it.headers.add(PlatformNames::kLastEvent, std::to_string(kEventsBefore));
        it.headers.add(PlatformNames::kResumedCall, resumed);
        return it;
    }

    static std::string restOfStream(const std::string &id)
    {
        return wholeStream(id, kEvents).substr(wholeStream(id, kEventsBefore).size());
    }

    /// Takes up streams that were begun at `begun`, by their ids, and expects that each that goes on does so at its
    /// version. Returns how many went on.
    int takeUp(std::uint16_t port, const std::map<std::string, std::string> &begun,
               const std::string &suffix = "-again")
    {
        int continued = 0;
        for (const auto &[id, version] : begun) {
            const std::string again = id + suffix;
            const auto response = fetchFrom(port, resumption(again, id));
            EXPECT_TRUE(response.ok()) << response.status();
            if (!response.ok()) {
                continue;
            }
            if (response->status == 200) {
                ++continued;
                EXPECT_EQ(response->body, restOfStream(again));
                EXPECT_EQ(versionsOf(again), std::set<std::string>{version}) << again;
            } else {
                EXPECT_EQ(response->status, 503) << response->body;
                EXPECT_TRUE(versionsOf(again).empty()) << again << " ran and was refused";
            }
        }
        return continued;
    }

    std::map<std::string, std::string> beginAll(std::uint16_t port)
    {
        std::map<std::string, std::string> begun;
        for (int n = 0; n < kStreams; ++n) {
            const std::string id = "stream-" + std::to_string(n);
            begun[id] = beginBroken(port, id);
        }
        return begun;
    }

    /// Waits until the first gateway sends origins of streams to the other one.
    void waitUntilGatewaysMeet()
    {
        int n = 0;
        waitUntil([&] {
            beginBroken(gateway->port(), "first-" + std::to_string(n++));
            return !hasMetric(*otherGateway, "radishswitch_stream_origins 0");
        });
    }

    bool hasMetric(const Gateway &source, const std::string &line)
    {
        HttpRequest metrics;
        metrics.target = "/metrics";
        const auto response = fetchFrom(source.adminPort(), metrics);
        return response.ok() && response->body.find(line + "\n") != std::string::npos;
    }

    bool isInStore(const std::string &kind, const std::string &name)
    {
        return onTestServers([&] {
            return store.table().get(kind, name).status == 200;
        });
    }

    /// Starts two gateways of a fleet that never ran before, in front of two endpoints of "v1".
    void startFirstTime()
    {
        isFirstStart = true;
        list("replica-1", first, "v1");
        list("replica-3", third, "v1");
        start();
        startOther();
        isFirstStart = false;
        waitUntil([this] {
            return isInStore("news", "versions-established.llm");
        });
    }

    /// Lists an endpoint of "v2", and waits until it begins streams of the gateway.
    void addSecondVersion(std::uint16_t port)
    {
        list("replica-2", second, "v2");
        int n = 0;
        waitUntil([&] {
            const std::string id = "settling-" + std::to_string(n++);
            EXPECT_EQ(fetchFrom(port, streamRequest("/resumable/a", id))->status, 200);
            return versionsOf(id).contains("v2");
        });
    }

    /// Whether gateways continue broken streams themselves.
    bool continuesItself = false;
    bool isFirstStart = false;
    ReplicaServer third;
    ReplicaServer fourth;
};

// Guards against a gateway that continues an interrupted stream at an endpoint of another software version.
TEST_F(StreamVersionsTest, interruptedStream_isContinuedAtItsVersion)
{
    continuesItself = true;
    listAll();
    start();
    for (int n = 0; n < kStreams; ++n) {
        const std::string id = "stream-" + std::to_string(n);
        onTestServers([this] {
            first.clearFaults();
            first.addFaults(Fault::BreakOff, 1);
        });
        const auto response = call(streamRequest("/resumable/a", id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->body, wholeStream(id, kEvents));
        EXPECT_EQ(versionsOf(id).size(), 1U) << id;
    }
}

// Guards against a gateway that, with no other endpoint of the stream's version left, continues at any other one.
TEST_F(StreamVersionsTest, interruptedStream_withoutOtherEndpointOfItsVersion_isBrokenOff)
{
    continuesItself = true;
    announceVersions();
    list("replica-1", first, "v1");
    list("replica-2", second, "v2");
    start();
    for (int n = 0; n < kStreams; ++n) {
        const std::string id = "stream-" + std::to_string(n);
        setFault(Fault::BreakOff);
        const auto response = call(streamRequest("/resumable/a", id));
        EXPECT_EQ(failureCode(response.status()), FailureCode::ConnectionLost) << response.status();
        EXPECT_EQ(versionsOf(id).size(), 1U) << id;
    }
}

// Guards against a successor of a silent endpoint that runs another version than the one that wrote the first events.
TEST_F(StreamVersionsTest, silentStream_isContinuedAtItsVersion)
{
    continuesItself = true;
    listAll();
    start();
    constexpr int kSilentStreams = 4;
    for (int n = 0; n < kSilentStreams; ++n) {
        const std::string id = "stream-" + std::to_string(n);
        onTestServers([this] {
            for (ReplicaServer *replica : {&first, &second}) {
                replica->clearFaults();
                replica->addFaults(Fault::HangMidway, 1);
            }
        });
        const auto response = call(streamRequest("/resumable/a", id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->body, wholeStream(id, kEvents));
        EXPECT_EQ(versionsOf(id).size(), 1U) << id;
    }
}

// Guards against a gateway that takes a caller's stream up at another version, though it began the stream itself.
TEST_F(StreamVersionsTest, callerResumes_atSameGateway_isContinuedAtItsVersion)
{
    listAll();
    start();
    const auto begun = beginAll(gateway->port());
    EXPECT_GE(takeUp(gateway->port(), begun), kLeastContinued);
}

// Guards against a gateway that can't tell at which version another gateway began the stream.
TEST_F(StreamVersionsTest, callerResumes_atOtherGateway_isContinuedAtItsVersion)
{
    listAll();
    start();
    startOther();
    waitUntilGatewaysMeet();
    const auto begun = beginAll(gateway->port());
    EXPECT_GE(takeUp(otherGateway->port(), begun), kLeastContinued);
}

// Guards against versions of streams that are lost with the gateway that began them.
TEST_F(StreamVersionsTest, callerResumes_afterItsGatewayWasKilled_isContinuedAtItsVersion)
{
    listAll();
    start();
    startOther();
    waitUntilGatewaysMeet();
    const auto begun = beginAll(gateway->port());
    gateway.reset();
    EXPECT_GE(takeUp(otherGateway->port(), begun), kLeastContinued);
}

// Guards against a gateway that guesses after a restart of the whole fleet, when nobody knows the stream any more.
TEST_F(StreamVersionsTest, callerResumes_afterAllGatewaysWereKilled_isNotContinuedAtOtherVersion)
{
    listAll();
    start();
    const auto begun = beginAll(gateway->port());
    start();
    takeUp(gateway->port(), begun);
}

// Guards against a gateway that continues a stream at the only version left, though another one began it.
TEST_F(StreamVersionsTest, callerResumes_afterItsVersionHasLeft_isRefusedAtOnce)
{
    listAll();
    start();
    const auto begun = beginAll(gateway->port());
    list("replica-2", second, "v2", "draining");
    list("replica-4", fourth, "v2", "draining");
    waitUntil([&] {
        return hasMetric(*gateway, "radishswitch_endpoints_leaving 2");
    });
    for (const auto &[id, version] : begun) {
        const auto sentAt = std::chrono::steady_clock::now();
        const auto response = call(resumption(id + "-again", id));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, version == "v1" ? 200 : 503) << response->body;
        EXPECT_LT(std::chrono::steady_clock::now() - sentAt, std::chrono::seconds(1));
        EXPECT_EQ(versionsOf(id + "-again"), version == "v1" ? std::set<std::string>{"v1"} : std::set<std::string>{});
    }
}

// Guards against streams of a pool of one version that no gateway continues, since nobody kept a record of them.
TEST_F(StreamVersionsTest, callerResumes_inPoolOfOneVersion_isContinuedAfterRestart)
{
    list("replica-1", first, "v1");
    list("replica-3", third, "v1");
    start();
    const auto begun = beginAll(gateway->port());
    start();
    EXPECT_EQ(takeUp(gateway->port(), begun), kStreams);
}

// Guards against streams that nobody continues, since their gateway was lost before it could tell others, when a second
// version appeared, where they began.
TEST_F(StreamVersionsTest, secondVersionAppears_afterLossOfTheGateway_itsStreamsContinueAtTheFirst)
{
    startFirstTime();
    const auto begun = beginAll(gateway->port());
    gateway.reset();
    list("replica-2", second, "v2");
    waitUntil([this] {
        return isInStore("news", "versions.llm");
    });
    EXPECT_GE(takeUp(otherGateway->port(), begun), kLeastContinued);
}

// Guards against the same once streams begin at the second version as well.
TEST_F(StreamVersionsTest, secondVersionServes_afterLossOfTheGateway_itsStreamsContinueAtTheFirst)
{
    startFirstTime();
    const auto begun = beginAll(gateway->port());
    gateway.reset();
    start();
    addSecondVersion(otherGateway->port());
    EXPECT_GE(takeUp(otherGateway->port(), begun), kLeastContinued);
}

// Guards against a stream that began at the second version and is taken for one without a record.
TEST_F(StreamVersionsTest, streamsBegunAtBothVersions_afterLossOfTheGateway_continueWhereTheyBegan)
{
    startFirstTime();
    addSecondVersion(gateway->port());
    const auto begun = beginAll(gateway->port());
    EXPECT_TRUE(std::ranges::any_of(begun, [](const auto &it) {
        return it.second == "v2";
    }));
    gateway.reset();
    EXPECT_GE(takeUp(otherGateway->port(), begun), kLeastContinued);
}

// Guards against a gateway that has just started, knows of no stream, and continues all of them at one version.
TEST_F(StreamVersionsTest, allGatewaysRestarted_streamsOfTheSecondVersionAreNotContinuedAtTheFirst)
{
    startFirstTime();
    addSecondVersion(gateway->port());
    const auto begun = beginAll(gateway->port());
    gateway.reset();
    otherGateway.reset();
    start();
    takeUp(gateway->port(), begun);
}

// Guards against the same where the first version has left by then, so that the second looks like the only one.
TEST_F(StreamVersionsTest, allGatewaysRestarted_afterFirstVersionHasLeft_itsStreamsAreNotContinuedAtTheSecond)
{
    startFirstTime();
    const auto begun = beginAll(gateway->port());
    addSecondVersion(gateway->port());
    unlist("replica-1");
    unlist("replica-3");
    gateway.reset();
    otherGateway.reset();
    start();
    EXPECT_EQ(takeUp(gateway->port(), begun), 0);
}

TEST_F(StreamVersionsTest, versionReplacedWhileNoGatewayRan_streamsOfTheFirstAreNotContinuedAtTheSecond)
{
    startFirstTime();
    const auto begun = beginAll(gateway->port());
    gateway.reset();
    otherGateway.reset();
    unlist("replica-1");
    unlist("replica-3");
    list("replica-2", second, "v2");
    start();
    EXPECT_EQ(takeUp(gateway->port(), begun), 0);
}

// Guards against streams at a version that other gateways don't know of, which would continue them at any endpoint.
TEST_F(StreamVersionsTest, secondVersionAppears_isAnnouncedBeforeItBeginsStreams)
{
    list("replica-1", first, "v1");
    start();
    list("replica-2", second, "v2");
    int n = 0;
    waitUntil([&] {
        const std::string id = "stream-" + std::to_string(n++);
        EXPECT_EQ(call(streamRequest("/resumable/a", id))->status, 200);
        const bool isAnnounced = onTestServers([this] {
            return store.table().get("news", "versions.llm").status == 200;
        });
        const bool hasBegunAtSecond = versionsOf(id).contains("v2");
        EXPECT_TRUE(isAnnounced || !hasBegunAtSecond);
        return hasBegunAtSecond;
    });
}

// Guards against a stream that is lost since no version may begin streams while none is announced: it waits its turn,
// and its caller is told when to come back.
TEST_F(StreamVersionsTest, firstStartWithSeveralVersions_streamsAreServedOnceAnnounced)
{
    list("replica-1", first, "v1");
    list("replica-2", second, "v2");
    start();
    int n = 0;
    waitUntil([&] {
        const auto response = call(streamRequest("/resumable/a", "stream-" + std::to_string(n++)));
        EXPECT_TRUE(response->status == 200 || response->headers.find(PlatformNames::kRetryAfter)) << response->body;
        return response->status == 200;
    });
}

// Guards against a stream continued at the version that its endpoint's entry names by now.
TEST_F(StreamVersionsTest, endpointStartedAgainWithOtherSoftware_itsStreamsAreNotContinuedThere)
{
    listAll();
    list("replica-2", second, "v2", "draining");
    list("replica-4", fourth, "v2", "draining");
    start();
    const auto begun = beginAll(gateway->port());
    list("replica-1", first, "v3", "ready", 2'000);
    list("replica-3", third, "v3", "ready", 2'000);
    int n = 0;
    waitUntil([&] {
        const auto response = call(resumption("probe-" + std::to_string(n++), begun.begin()->first));
        return response.ok() && response->status == 503;
    });
    EXPECT_EQ(takeUp(gateway->port(), begun), 0);
}

// Guards against guesses from malformed headers of callers.
TEST_F(StreamVersionsTest, callerResumes_withoutUsableId_neverRuns)
{
    listAll();
    start();
    HttpRequest malformed = resumption("call-1", "");
    EXPECT_EQ(call(malformed)->status, 400);
    HttpRequest unnamed = streamRequest("/resumable/a", "call-2");
    unnamed.headers.add(PlatformNames::kLastEvent, "2");
    EXPECT_EQ(call(unnamed)->status, 503);
    EXPECT_EQ(call(resumption("call-3", "never-sent"))->status, 503);
    for (const std::string id : {"call-1", "call-2", "call-3"}) {
        EXPECT_TRUE(versionsOf(id).empty()) << id;
    }
}
