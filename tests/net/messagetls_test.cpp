#include "messagestreamfixture.h"
#include "testcertificates.h"

using namespace RadishSwitch;

class MessageTlsTest : public MessageStreamFixture
{
protected:
    void SetUp() override
    {
        MessageStreamFixture::SetUp();
        authority.issue();
        stranger.issue();
        tlsServer = std::make_unique<Http2MessageServer>(workers, tlsSettings(authority, authority));
        tlsServer->handle("/echo", echo);
        ASSERT_EQ(tlsServer->listen("127.0.0.1", 0), absl::OkStatus());
    }

    void TearDown() override
    {
        MessageStreamFixture::TearDown();
        tlsServer.reset();
    }

    static TransportSettings tlsSettings(const TestAuthority &own, const TestAuthority &trusted)
    {
        TransportSettings tls = settings();
        tls.certificateFile = own.certificateFile();
        tls.privateKeyFile = own.privateKeyFile();
        tls.authorityFile = trusted.file();
        return tls;
    }

    /// How a stream to the TLS server ends that is opened with these settings.
    FailureCode refusal(const TransportSettings &clientSettings)
    {
        MessageClients others(workers, clientSettings);
        const auto other = others.client(addressOf(tlsServer->port()));
        const auto recorder = StreamRecorder::listenTo(*other->open("/echo", "frame"));
        const FailureCode code = closingCode(*recorder);
        EXPECT_EQ(recorder->frameCount(), 0u);
        return code;
    }

    TestAuthority authority{testing::TempDir(), "fleet-" + std::to_string(getpid())};
    TestAuthority stranger{testing::TempDir(), "stranger-" + std::to_string(getpid())};
    std::unique_ptr<Http2MessageServer> tlsServer;
};

TEST_F(MessageTlsTest, echo_bothOfTheFleet_comesBack)
{
    constexpr std::size_t kLargeBytes = 3 * 1024 * 1024;
    MessageClients tlsClients(workers, tlsSettings(authority, authority));
    const auto tlsClient = tlsClients.client(addressOf(tlsServer->port()));
    const MessageStreamPointer stream = tlsClient->open("/echo", "first");
    const auto recorder = StreamRecorder::listenTo(*stream);
    stream->send(std::string(kLargeBytes, 'x'));
    stream->finish();

    EXPECT_EQ(closingStatus(*recorder), absl::OkStatus());
    expectFrames(*recorder, std::vector<std::string>{"first", std::string(kLargeBytes, 'x')});
}

TEST_F(MessageTlsTest, open_certificateOfOtherAuthority_isRefusedByServer)
{
    EXPECT_EQ(refusal(tlsSettings(stranger, authority)), FailureCode::ConnectionLost);
}

TEST_F(MessageTlsTest, open_serverOfOtherAuthority_isRefusedByClient)
{
    EXPECT_EQ(refusal(tlsSettings(authority, stranger)), FailureCode::ConnectionLost);
}

TEST_F(MessageTlsTest, open_plainTcp_isRefusedByServer)
{
    EXPECT_EQ(refusal(settings()), FailureCode::ConnectionLost);
}

TEST_F(MessageTlsTest, open_certificateMissing_sendsNothingInPlainText)
{
    TransportSettings incomplete = settings();
    incomplete.certificateFile = authority.certificateFile();
    MessageClients incompleteClients(workers, incomplete);

    const auto recorder = StreamRecorder::listenTo(*incompleteClients.client(client->address())->open("/echo", "x"));

    EXPECT_EQ(closingCode(*recorder), FailureCode::ConnectionLost);
    EXPECT_EQ(closingOutcome(*recorder), RunOutcome::NotRun);
}

TEST_F(MessageTlsTest, listen_fileMissing_isInvalidSettings)
{
    TransportSettings missing = tlsSettings(authority, authority);
    missing.privateKeyFile += ".missing";
    Http2MessageServer missingServer(workers, missing);

    EXPECT_EQ(failureCode(missingServer.listen("127.0.0.1", 0)), FailureCode::InvalidSettings);
}
