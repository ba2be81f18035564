#include "gatewayfixture.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

using namespace RadishSwitch;

class GatewayStateTest : public GatewayFixture
{
protected:
    int statusOf(HttpRequest request)
    {
        const auto response = call(std::move(request));
        return response.ok() ? response->status : 0;
    }

    /// Writes a configuration, and waits until the gateway has read it: it then watches for further changes.
    void putConfigurationUntilRead(int version)
    {
        const auto watches = [this] {
            return store.calls().at("GET config");
        };
        const int before = onTestServers([&] {
            putConfiguration(version, 1'000'000);
            return watches();
        });
        waitUntil([&] {
            return onTestServers(watches) > before;
        });
    }

    /// The ledger's record of the only budget; null if there is none.
    Json budgetRecord()
    {
        return onTestServers([this] {
            for (int shard = 0; shard < 8; ++shard) {
                const StoreTable::Answer answer = store.table().get("ledger", "000" + std::to_string(shard));
                if (answer.status == 200 && answer.body["spec"].contains("budgets")
                    && answer.body["spec"]["budgets"].contains("magnolia/prepaid")) {
                    return answer.body["spec"]["budgets"]["magnolia/prepaid"];
                }
            }
            return Json();
        });
    }
};

// Guards against a budget that is overdrawn. Each call reserves and uses 170 tokens, so that 1,000 prepaid tokens cover
// five calls. The other calls have to be refused.
TEST_F(GatewayStateTest, budget_isNeverOverdrawnAndRefusesWhatItCannotCover)
{
    onTestServers([this] {
        putConfiguration(2, 1'000);
    });
    start();
    int answered = 0;
    int refused = 0;
    for (int n = 0; n < 9; ++n) {
        const int status = statusOf(streamRequest("/once/a", "call-" + std::to_string(n)));
        answered += status == 200 ? 1 : 0;
        refused += status == 402 ? 1 : 0;
    }
    EXPECT_EQ(answered, 5);
    EXPECT_EQ(refused, 4);
}

TEST_F(GatewayStateTest, topUp_isUsableWithoutRestart)
{
    onTestServers([this] {
        putConfiguration(2, 100);
    });
    start();
    EXPECT_EQ(statusOf(streamRequest("/once/a", "call-1")), 402);
    onTestServers([this] {
        putConfiguration(3, 10'000);
    });
    waitUntil([this] {
        return statusOf(streamRequest("/once/a", "call-2")) == 200;
    });
}

// Guards against a gateway that replaces its configuration by one whose version is not higher, read from a store with
// stale answers.
TEST_F(GatewayStateTest, newerConfiguration_isNeverReplacedByOlderOne)
{
    start();
    EXPECT_EQ(statusOf(request("/added/1", "call-1")), 404);
    onTestServers([this] {
        extraRoutes = {"/added/"};
        putConfiguration(5, 1'000'000);
    });
    waitUntil([this] {
        return statusOf(request("/added/1", "call-2")) == 200;
    });
    // Both lack the route.
    extraRoutes = {};
    for (const int version : {4, 5}) {
        putConfigurationUntilRead(version);
    }
    for (int n = 0; n < 50; ++n) {
        EXPECT_EQ(statusOf(request("/added/1", "again-" + std::to_string(n))), 200);
    }
}

// Guards against a gateway that stops serving calls when it receives an unreadable configuration.
TEST_F(GatewayStateTest, unreadableConfiguration_lastValidOneStaysInForce)
{
    start();
    onTestServers([this] {
        putObject("config", "main", {{"version", "seven"}, {"routes", 3}});
    });
    for (int n = 0; n < 50; ++n) {
        EXPECT_EQ(statusOf(request("/safe/1", "call-" + std::to_string(n))), 200);
    }
}

// Guards against a lost change. The store compacts its history while a watch waits, and does not notify the watch. The
// gateway has to read the change from a listing soon after.
TEST_F(GatewayStateTest, changeLostToCompaction_isReadFromListing)
{
    start();
    onTestServers([this] {
        extraRoutes = {"/added/"};
        putConfiguration(5, 1'000'000);
        store.table().compact();
    });
    waitUntil([this] {
        return statusOf(request("/added/1", "call-1")) == 200;
    });
}

TEST_F(GatewayStateTest, leavingEndpoint_receivesNoCalls)
{
    start();
    addSecond();
    onTestServers([this] {
        putEndpoint("replica-1", first.port(), "draining");
    });
    // Two healthy endpoints of equal cost share the calls. This many calls in a row at one of them show that the other
    // receives none.
    constexpr int kInARow = 30;
    int inARow = 0;
    waitUntil([&] {
        const auto response = call(request("/safe/1", "probe"));
        const bool isSecond = response.ok() && response->headers.find(PlatformNames::kSignature) == "replica-2.probe";
        inARow = isSecond ? inARow + 1 : 0;
        return inARow == kInARow;
    });
    for (int n = 0; n < 20; ++n) {
        ASSERT_EQ(statusOf(request("/safe/1", "call-" + std::to_string(n))), 200);
    }
    const bool wasUsed = onTestServers([this] {
        return first.runs().contains("call-0") || first.runs().contains("call-19");
    });
    EXPECT_FALSE(wasUsed);
}

// Guards against a restarted endpoint that is still treated as leaving. The only endpoint leaves, crashes, and starts
// again with the same id before its entry is removed. If the announcement of its earlier incarnation still applied, its
// pool would have no endpoint.
TEST_F(GatewayStateTest, restartedEndpointWithSameId_receivesCalls)
{
    start();
    onTestServers([this] {
        putObject("servers", "replica-1", endpointEntry(first.port(), "draining", 1'000));
    });
    waitUntil([this] {
        return statusOf(request("/safe/1", "probe")) == 503;
    });
    onTestServers([this] {
        putObject("servers", "replica-1", endpointEntry(first.port(), "ready", 2'000));
    });
    waitUntil([this] {
        return statusOf(request("/safe/1", "probe")) == 200;
    });
}

// Guards against malformed entries that affect other endpoints. Another process writes them into the list before the
// gateway starts and while it runs. Calls still go to the healthy endpoint, changes of valid entries still take effect,
// and nothing is sent to the addresses in the malformed entries.
TEST_F(GatewayStateTest, malformedEndpointEntries_doNotAffectValidOnes)
{
    onTestServers([this] {
        putObject("servers", "foreign-1", "not an entry");
        putObject("servers", "foreign-2", {{"service", "llm"}, {"address", "127.0.0.1:1"}, {"state", "ready"}});
    });
    start();
    onTestServers([this] {
        Json unknownState = endpointEntry(1, "warming");
        putObject("servers", "foreign-3", unknownState);
        Json otherType = endpointEntry(1, "ready");
        otherType["born"] = "yesterday";
        putObject("servers", "foreign-4", otherType);
    });
    addSecond();
    for (int n = 0; n < 40; ++n) {
        ASSERT_EQ(statusOf(request("/order/1", "call-" + std::to_string(n))), 200);
    }
}

// Guards against calls that fail at once when the store becomes unreachable. The gateway uses the portion that it
// holds, and after that refuses calls as "not run" and not as out of budget.
TEST_F(GatewayStateTest, storeUnreachable_callsUseHeldPortion)
{
    onTestServers([this] {
        putConfiguration(2, 100'000);
    });
    start();
    ASSERT_EQ(statusOf(streamRequest("/once/a", "call-0")), 200);
    onTestServers([this] {
        store.setFault(StoreServer::Fault::Busy);
    });
    std::vector<int> statuses;
    for (int n = 1; n < 8; ++n) {
        statuses.push_back(statusOf(streamRequest("/once/a", "call-" + std::to_string(n))));
    }
    EXPECT_EQ(statuses.front(), 200);
    for (const int status : statuses) {
        EXPECT_TRUE(status == 200 || status == 503) << status;
    }
}

// Guards against a planned stop that interrupts an open stream, leaves the gateway ready, or loses the portion that the
// gateway holds of a budget.
TEST_F(GatewayStateTest, plannedStop_finishesStreamsAndReturnsPortions)
{
    onTestServers([this] {
        putConfiguration(2, 100'000);
    });
    start();
    auto stream = client.fetch("127.0.0.1:" + std::to_string(gateway->port()),
                               streamRequest("/once/a", "call-1", 7 * 200), kTestTimeout);
    auto answer = boost::asio::co_spawn(callers.context(), std::move(stream), boost::asio::use_future);
    waitUntil([this] {
        return runs("call-1") == 1;
    });
    std::promise<void> drained;
    gateway->drain([&drained] {
        drained.set_value();
    });
    HttpRequest ready;
    ready.target = "/readyz";
    waitUntil([&] {
        const auto response = fetchFrom(gateway->adminPort(), ready);
        return response.ok() && response->status == 503;
    });
    const absl::StatusOr<HttpResponse> whole = answer.get();
    ASSERT_TRUE(whole.ok()) << whole.status();
    EXPECT_EQ(whole->body, wholeStream("call-1", 200));
    drained.get_future().wait();
    const Json record = budgetRecord();
    ASSERT_TRUE(record.is_object());
    EXPECT_EQ(record["settled"], 100 + 7 * 200);
    EXPECT_EQ(record.value("portions", Json::object()).size(), 0U);
}

// Guards against a call that is accepted late in a drain and aborted at its end. A caller reads a stream on a
// keep-alive connection while the gateway drains, and sends its next call on that connection when the stream has ended.
// Such calls were accepted up to 7.2 s after the log line "draining", with 0.4 s left for them. The gateway has to
// answer at once that the call has not run.
TEST_F(GatewayStateTest, callOnKeptConnectionAfterDrainNotice_isRefusedAsNotRun)
{
    start();
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), gateway->port()});
    const auto send = [&](const std::string &target, const std::string &call, const std::string &more) {
        const std::string bytes = "POST " + target + " HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token " + kKey
            + "\r\n" + PlatformNames::kCallId + ": " + call + "\r\n" + more + "Content-Length: 0\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(bytes));
    };
    send("/once/a", "call-1", std::string(PlatformNames::kTokenBounds) + ": 100,7000\r\n");
    std::string answers;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(answers), "data:");
    ASSERT_EQ(answers.find("Connection: close"), std::string::npos);
    std::promise<void> drained;
    gateway->drain([&drained] {
        drained.set_value();
    });
    // The drain notice is over once the gateway refuses new connections.
    waitUntil([&] {
        boost::system::error_code ec;
        boost::asio::ip::tcp::socket other(context);
        other.connect({boost::asio::ip::address_v4::loopback(), gateway->port()}, ec);
        return ec == boost::asio::error::connection_refused;
    });
    send("/safe/1", "call-2", std::string());
    boost::system::error_code ec;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answers), ec);
    EXPECT_EQ(ec, boost::asio::error::eof);
    const std::size_t end = answers.find("\r\n0\r\n\r\n");
    ASSERT_NE(end, std::string::npos);
    const std::string second = answers.substr(end + 7);
    EXPECT_TRUE(second.starts_with("HTTP/1.1 503")) << second;
    EXPECT_NE(second.find("Connection: close"), std::string::npos) << second;
    EXPECT_NE(second.find(PlatformNames::kRetryAfter), std::string::npos) << second;
    EXPECT_EQ(runs("call-2"), 0);
    socket.close();
    drained.get_future().wait();
}

// Guards against a drain that keeps portions until the last call has ended, when the gateway may already be cut off
// from the store. Everything but the reservation of the open stream has to be returned while the stream still runs.
TEST_F(GatewayStateTest, drainWithOpenStream_returnsUnreservedTokensAtOnce)
{
    constexpr int kEvents = 2'000;
    constexpr std::int64_t kReserved = 100 + 7 * kEvents;
    onTestServers([this] {
        putConfiguration(2, 200'000);
    });
    start();
    auto stream = client.fetch("127.0.0.1:" + std::to_string(gateway->port()),
                               streamRequest("/once/a", "call-1", 7 * kEvents), kTestTimeout);
    auto answer = boost::asio::co_spawn(callers.context(), std::move(stream), boost::asio::use_future);
    waitUntil([this] {
        return runs("call-1") == 1;
    });
    std::promise<void> drained;
    gateway->drain([&drained] {
        drained.set_value();
    });
    waitUntil([this] {
        std::int64_t granted = 0;
        const Json portions = budgetRecord().value("portions", Json::object());
        for (const auto &[name, portion] : portions.items()) {
            granted += portion["granted"].get<std::int64_t>();
        }
        return granted == kReserved;
    });
    EXPECT_EQ(answer.wait_for(std::chrono::seconds(0)), std::future_status::timeout);
    EXPECT_TRUE(answer.get().ok());
    drained.get_future().wait();
}
