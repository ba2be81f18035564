#include "messagestreamfixture.h"
#include "swallowingrelay.h"

using namespace RadishSwitch;

class MessageConnectionTest : public MessageStreamFixture
{
protected:
    /// Probes often, so that a test of silence is short.
    static TransportSettings quickSettings()
    {
        TransportSettings quick = settings();
        quick.pingInterval = std::chrono::milliseconds(50);
        quick.pingTimeout = std::chrono::milliseconds(250);
        return quick;
    }

    static void expectEcho(MessageClient &echoClient)
    {
        const MessageStreamPointer stream = echoClient.open("/echo", "frame");
        const auto recorder = StreamRecorder::listenTo(*stream);
        stream->finish();
        EXPECT_EQ(closingStatus(*recorder), absl::OkStatus());
        expectFrames(*recorder, std::vector<std::string>{"frame"});
    }
};

TEST_F(MessageConnectionTest, connection_losesTrackBetweenTheEnds_closesAsSilentOnBothAndNextStreamWorks)
{
    // The caller's stream is open and answers came on it. Then something between the two ends loses track of the
    // connection: it stays open, but nothing arrives any more, in either direction and without any error. Both sides
    // must find out by themselves, and the next stream must not be put on the dead connection.
    Http2MessageServer quickServer(workers, quickSettings());
    std::promise<MessageStreamPointer> accepted;
    quickServer.handle("/keep", [&](MessageStreamPointer stream) {
        accepted.set_value(std::move(stream));
    });
    quickServer.handle("/echo", echo);
    ASSERT_TRUE(quickServer.listen("127.0.0.1", 0).ok());
    SwallowingRelay relay(quickServer.port());
    MessageClients quickClients(workers, quickSettings());
    const auto relayed = quickClients.client(addressOf(relay.port()));
    const auto recorder = StreamRecorder::listenTo(*relayed->open("/keep", "frame"));
    const auto received = StreamRecorder::listenTo(*takeStream(accepted));
    ASSERT_EQ(received->waitForFrames(1).size(), 1u);

    relay.swallowOpenConnections();

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionSilent);
    EXPECT_EQ(closingOutcome(*recorder), RunOutcome::Unknown);
    EXPECT_EQ(closingCode(*received), FailureCode::ConnectionSilent);
    expectEcho(*relayed);
    EXPECT_EQ(relay.connectionCount(), 2);
}

TEST_F(MessageConnectionTest, connection_quietButAnswersProbes_staysOpen)
{
    constexpr int kProbes = 100;
    TransportSettings probing = settings();
    probing.pingInterval = std::chrono::milliseconds(20);
    probing.pingTimeout = kProbes / 2 * probing.pingInterval;
    Http2MessageServer probingServer(workers, probing);
    probingServer.handle("/echo", echo);
    ASSERT_TRUE(probingServer.listen("127.0.0.1", 0).ok());
    SwallowingRelay relay(probingServer.port());
    MessageClients probingClients(workers, probing);
    const auto relayed = probingClients.client(addressOf(relay.port()));
    const MessageStreamPointer stream = relayed->open("/echo", "first");
    const auto recorder = StreamRecorder::listenTo(*stream);
    ASSERT_EQ(recorder->waitForFrames(1).size(), 1u);

    ASSERT_TRUE(relay.waitForTraffic(2 * kProbes));

    stream->send("second");
    EXPECT_EQ(recorder->waitForFrames(2).size(), 2u);
    EXPECT_EQ(relay.connectionCount(), 1);
}

TEST_F(MessageConnectionTest, open_peerAcceptsAndSwallows_closesAsSilent)
{
    // The process behind the address hangs: the kernel accepts the connection for it, and nothing ever answers.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor hanging(context, {boost::asio::ip::address_v4::loopback(), 0});
    MessageClients quickClients(workers, quickSettings());
    const auto toHanging = quickClients.client(addressOf(hanging.local_endpoint().port()));

    const auto recorder = StreamRecorder::listenTo(*toHanging->open("/echo", "frame"));

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionSilent);
}

TEST_F(MessageConnectionTest, open_connectionRefused_closesAsLostAndNotRun)
{
    server.close();
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor unused(context, {boost::asio::ip::address_v4::loopback(), 0});
    const std::uint16_t port = unused.local_endpoint().port();
    unused.close();

    const auto recorder = StreamRecorder::listenTo(*clients.client(addressOf(port))->open("/echo", "frame"));

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionLost);
    EXPECT_EQ(closingOutcome(*recorder), RunOutcome::NotRun);
}

TEST_F(MessageConnectionTest, open_addressOfNoProcess_closesAsLost)
{
    const auto recorder = StreamRecorder::listenTo(*clients.client("nowhere")->open("/echo", "frame"));

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionLost);
}

TEST_F(MessageConnectionTest, open_connectsFailRepeatedly_failsWithoutConnectingEachTime)
{
    // A process ends every connection at once. Its caller opens stream after stream. Were each to connect, an address
    // that is gone would cost every request a connect, and its machine a storm of them.
    constexpr int kStreams = 300;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor ending(context, {boost::asio::ip::address_v4::loopback(), 0});
    std::atomic<int> accepted = 0;
    std::function<void()> acceptNext = [&] {
        ending.async_accept([&](boost::system::error_code ec, boost::asio::ip::tcp::socket socket) {
            if (!ec) {
                ++accepted;
                socket.close();
                acceptNext();
            }
        });
    };
    acceptNext();
    std::thread thread([&] {
        context.run();
    });
    const auto toEnding = clients.client(addressOf(ending.local_endpoint().port()));

    for (int n = 0; n < kStreams; ++n) {
        const auto recorder = StreamRecorder::listenTo(*toEnding->open("/echo", "frame"));
        EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionLost);
    }

    context.stop();
    thread.join();
    EXPECT_GE(accepted, 1);
    EXPECT_LT(accepted, kStreams / 4);
}

TEST_F(MessageConnectionTest, client_closed_failsItsStreamsAndConnectsAnew)
{
    const auto recorder = StreamRecorder::listenTo(*client->open("/keep", "frame"));
    const MessageStreamPointer held = takeKept();

    client->close();

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionLost);
    expectEcho(*client);
}

TEST_F(MessageConnectionTest, connection_outOfStreamIds_handsOverToAnother)
{
    // A connection between two busy processes runs out of stream ids after some days. From then on every stream to
    // that process would fail, until a restart.
    TransportSettings fewIds = settings();
    fewIds.maximumStreamId = 9;
    SwallowingRelay relay(server.port());
    MessageClients fewClients(workers, fewIds);
    const auto relayed = fewClients.client(addressOf(relay.port()));
    const MessageStreamPointer early = relayed->open("/echo", "first");
    const auto recorder = StreamRecorder::listenTo(*early);

    for (int n = 0; n < 12; ++n) {
        expectEcho(*relayed);
    }

    EXPECT_GT(relay.connectionCount(), 1);
    early->send("second");
    early->finish();
    EXPECT_EQ(closingStatus(*recorder), absl::OkStatus());
    EXPECT_EQ(recorder->waitForFrames(2).size(), 2u);
}

TEST_F(MessageConnectionTest, everything_destroyedWithStreamsOpen_isSafe)
{
    std::vector<MessageStreamPointer> streams;
    for (int n = 0; n < 100; ++n) {
        streams.push_back(client->open("/echo", "frame"));
        StreamRecorder::listenTo(*streams.back());
    }

    clients.forget(client->address());
    client.reset();
    server.close();
    streams.erase(streams.begin(), streams.begin() + 50);
    workers.stop();
}
