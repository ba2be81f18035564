#include "childprocess.h"
#include "loopbackrequest.h"
#include "names.h"
#include "rawendpoint.h"
#include "soakplatform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <poll.h>
#include <unistd.h>

using namespace RadishSwitch;

namespace
{

namespace net = boost::asio;
using Clock = std::chrono::steady_clock;

constexpr int kCallsAtOnce = 8;
/// What callers state; shorter than the timeout of the routes.
constexpr std::chrono::milliseconds kCallerTimeout{3000};
/// Behind which a call on a busy machine has certainly outlived its deadline.
constexpr std::chrono::milliseconds kLate{1000};
/// Until when the caller knows of bytes of which a bound is exceeded at once.
constexpr std::chrono::milliseconds kAtOnce{2000};
/// By how much the gateway may grow; the smallest deployment gives it 260 MB in all.
constexpr std::int64_t kMaximumGrowthBytes = 96 * 1024 * 1024;
/// Calls beside these answers take some milliseconds on an idle machine. The test itself keeps several processors busy.
constexpr std::chrono::milliseconds kUsualTime{1000};
constexpr std::chrono::seconds kPatience{20};
constexpr std::chrono::milliseconds kPause{10};
/// When callers of the test give up; a gateway without bounds has not used up the machine's memory by then.
constexpr std::chrono::seconds kCallerPatience{6};
constexpr std::size_t kPieceBytes = 64 * 1024;
/// How much of an answer a caller of the test keeps.
constexpr std::size_t kKeptBytes = 64 * 1024;

enum class Until {
    /// A bound on bytes is exceeded at once.
    BoundExceeded,
    /// The bytes are few or are passed on, and the deadline of the call ends them.
    Deadline,
};

struct EndlessAnswer {
    std::string name;
    std::string target;
    /// Behind the head's first lines.
    std::string head;
    std::string beginning;
    std::string repeated;
    int status = 502;
    Until until = Until::BoundExceeded;
    std::chrono::milliseconds pause{};
    bool isForAnotherCall = false;
    int calls = kCallsAtOnce;
    /// Whether the gateway counts an answer that was too long.
    bool isCounted = true;
    /// What some of the callers may get instead; zero if all get the same.
    int otherStatus = 0;

    friend void PrintTo(const EndlessAnswer &answer, std::ostream *out)
    {
        *out << answer.name;
    }
};

std::string chunk(const std::string &data)
{
    std::ostringstream text;
    text << std::hex << data.size() << "\r\n" << data << "\r\n";
    return text.str();
}

std::vector<EndlessAnswer> endlessAnswers()
{
    const std::string piece(kPieceBytes, 'a');
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string events = "Content-Type: text/event-stream\r\n\r\n";
    EndlessAnswer trickledBody{"bodyInTrickle", "/safe/", "Content-Length: 1000000\r\n\r\n", "", "a"};
    trickledBody.isCounted = false;
    trickledBody.status = 504;
    trickledBody.until = Until::Deadline;
    trickledBody.pause = std::chrono::milliseconds(1);
    EndlessAnswer trickledEvent{"eventInTrickle", "/once/", events, "id: 1\ndata: ", "a"};
    trickledEvent.isCounted = false;
    trickledEvent.status = 504;
    trickledEvent.until = Until::Deadline;
    trickledEvent.pause = std::chrono::milliseconds(1);
    // Each is shorter than what an answer may have, and none goes on.
    EndlessAnswer stalled{"manyStalledBodies", "/order/", "Content-Length: 7000000\r\n\r\n",
                          std::string(6'000'000, 'a'), "a"};
    stalled.until = Until::Deadline;
    stalled.pause = std::chrono::milliseconds(50);
    stalled.calls = 48;
    stalled.otherStatus = 504;
    EndlessAnswer stray{"strayAnswer", "/safe/", "Content-Length: 100000000\r\n\r\n", "", piece};
    stray.isForAnotherCall = true;
    EndlessAnswer strays{"strayAnswers", "/safe/", "Content-Length: 0\r\n\r\n", "",
                         "HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nContent-Length: 0\r\n\r\n"};
    strays.isForAnotherCall = true;
    EndlessAnswer refusal{"refusal", "/safe/", "Content-Length: 100000000\r\n\r\n", "", piece};
    refusal.status = 503;
    EndlessAnswer behindAnswer{"behindWholeAnswer", "/safe/", "Content-Length: 2\r\n\r\n", "ok", piece};
    behindAnswer.isCounted = false;
    behindAnswer.status = 200;
    EndlessAnswer withoutIds{"eventsWithoutIds", "/once/", events, "", "data: " + std::string(1000, 'a') + "\n\n"};
    withoutIds.isCounted = false;
    withoutIds.status = 200;
    withoutIds.until = Until::Deadline;
    EndlessAnswer repeatedId{"eventsWithOneId", "/once/", events, "", "id: 1\ndata: a\n\n"};
    repeatedId.isCounted = false;
    repeatedId.status = 200;
    return {
        {"head", "/safe/", "X-Filler: ", "", piece},
        {"bodyWithLength", "/safe/", "Content-Length: 100000000\r\n\r\n", "", piece},
        {"bodyInChunks", "/safe/", chunks, "", chunk(piece)},
        {"bodyEndedByClosing", "/safe/", "\r\n", "", piece},
        {"bodyOfUnrepeatableCall", "/order/", "\r\n", "", piece},
        {"chunkSize", "/safe/", chunks, "", std::string(kPieceBytes, '0')},
        {"chunkExtension", "/safe/", chunks, "5;", piece},
        {"trailer", "/safe/", chunks, "0\r\nX-Filler: ", piece},
        {"event", "/once/", events, "id: 1\ndata: ", piece},
        {"eventOfResumableStream", "/resumable/", events, "id: 1\ndata: ", piece},
        trickledBody,
        trickledEvent,
        stalled,
        stray,
        strays,
        refusal,
        behindAnswer,
        withoutIds,
        repeatedId,
    };
}

/// A port that was free a moment ago.
int freePort()
{
    net::io_context context;
    const net::ip::tcp::acceptor acceptor(context, {net::ip::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

std::string loopback(int port)
{
    return std::string(kLoopback) + ":" + std::to_string(port);
}

/// What a caller saw of its call.
struct SeenAnswer {
    int status = 0;
    std::string text;
    std::chrono::milliseconds taken{};
};

}

/// A gateway and the store as processes, and two endpoints that answer calls whose id begins with "endless" with bytes
/// without end, all others properly.
class BytesWithoutEndTest : public testing::TestWithParam<EndlessAnswer>
{
protected:
    BytesWithoutEndTest()
        : storePort(freePort())
        , gatewayPort(freePort())
        , adminPort(freePort())
        , folder(testing::TempDir() + "endless-" + GetParam().name + "-" + std::to_string(::getpid()))
        , first(answers())
        , second(answers())
    {
        std::filesystem::create_directories(folder);
        store = ChildProcess({program("standin-store"), "--listen", loopback(storePort)}, folder + "/store.log");
        SoakPlatform platform(storePort);
        waitUntil([&] {
            return platform.isReached();
        });
        platform.putConfiguration({{SoakPlatform::organisation(0), 1'000'000}});
        platform.listEndpoint("endpoint-1", loopback(first.port()), "ready", 1'000, "v1");
        platform.listEndpoint("endpoint-2", loopback(second.port()), "ready", 1'000, "v1");
        gateway =
            ChildProcess({program("radishswitch-gateway"), "--region", "south", "--zone", "a", "--listen",
                          loopback(gatewayPort), "--admin-listen", loopback(adminPort), "--peer-listen", loopback(0),
                          "--platform", loopback(storePort), "--drain-timeout", "1s", "--first-start=true"},
                         folder + "/gateway.log");
        waitUntil([&] {
            return requestLoopback("GET", adminPort, "/readyz", "");
        });
    }

    ~BytesWithoutEndTest() override
    {
        gateway = ChildProcess();
        if (!HasFailure()) {
            std::filesystem::remove_all(folder);
        }
    }

    static std::string program(const std::string &name)
    {
        return std::string(PROGRAMS_FOLDER) + "/" + name;
    }

    template<typename Condition>
    static bool waitUntil(Condition condition)
    {
        const auto end = Clock::now() + kPatience;
        while (!condition()) {
            if (Clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(kPause);
        }
        return true;
    }

    static std::string callIdOf(const std::string &head)
    {
        const std::string name = std::string(PlatformNames::kCallId) + ": ";
        const std::size_t begin = head.find(name) + name.size();
        return head.substr(begin, head.find('\r', begin) - begin);
    }

    static RawEndpoint::Answers answers()
    {
        return [](const std::string &head) {
            const std::string call = callIdOf(head);
            return call.starts_with("endless") ? endlessAnswer(call) : properAnswer(call);
        };
    }

    static std::string firstLines(const std::string &statusLine, const std::string &call)
    {
        return "HTTP/1.1 " + statusLine + "\r\n" + PlatformNames::kCallId + ": " + call + "\r\n"
            + PlatformNames::kSignature + ": mark\r\n";
    }

    static RawAnswer properAnswer(const std::string &call)
    {
        return {firstLines("200 OK", call) + "Content-Length: 2\r\n\r\nok", "", {}};
    }

    static RawAnswer endlessAnswer(const std::string &call)
    {
        const EndlessAnswer &answer = GetParam();
        const bool isRefusal = answer.status == 503;
        std::string head = firstLines(isRefusal ? "503 Full" : "200 OK", answer.isForAnotherCall ? "another" : call);
        if (isRefusal) {
            head += std::string(PlatformNames::kNotRun) + ": 1\r\n";
        }
        return {head + answer.head + answer.beginning, answer.repeated, answer.pause};
    }

    static bool waitForBytes(net::ip::tcp::socket &socket, Clock::time_point end)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now());
        pollfd waited{socket.native_handle(), POLLIN, 0};
        return left.count() > 0 && ::poll(&waited, 1, static_cast<int>(left.count())) > 0;
    }

    SeenAnswer call(const std::string &target, const std::string &id) const
    {
        net::io_context context;
        net::ip::tcp::socket socket(context);
        const auto begin = Clock::now();
        socket.connect({net::ip::address_v4::loopback(), static_cast<std::uint16_t>(gatewayPort)});
        const std::string request = "POST " + target + "1 HTTP/1.1\r\nHost: soak.example\r\nAttempt-Id: " + id
            + "\r\nDeadline-Ms: " + std::to_string(kCallerTimeout.count()) + "\r\nAuthorization: Token "
            + SoakPlatform::apiKey(0) + "\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello";
        boost::system::error_code ec;
        net::write(socket, net::buffer(request), ec);
        SeenAnswer seen;
        std::string buf(kPieceBytes, '\0');
        while (!ec && waitForBytes(socket, begin + kCallerPatience)) {
            const std::size_t n = socket.read_some(net::buffer(buf), ec);
            seen.text.append(buf, 0, std::min(n, kKeptBytes - std::min(kKeptBytes, seen.text.size())));
        }
        seen.taken = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin);
        constexpr std::size_t kStatusOffset = std::string_view("HTTP/1.1 ").size();
        seen.status = seen.text.size() > kStatusOffset ? std::atoi(seen.text.c_str() + kStatusOffset) : 0;
        return seen;
    }

    /// The largest resident memory of the gateway so far.
    std::int64_t peakBytes() const
    {
        std::ifstream status("/proc/" + std::to_string(gateway.id()) + "/status");
        const std::string prefix("VmHWM:");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(prefix)) {
                constexpr std::int64_t kKilobyte = 1024;
                return std::stoll(line.substr(prefix.size())) * kKilobyte;
            }
        }
        return 0;
    }

    double tooLongAnswers() const
    {
        net::io_context context;
        net::ip::tcp::socket socket(context);
        socket.connect({net::ip::address_v4::loopback(), static_cast<std::uint16_t>(adminPort)});
        boost::system::error_code ec;
        net::write(socket,
                   net::buffer(std::string_view("GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")), ec);
        std::string text;
        net::read(socket, net::dynamic_buffer(text), ec);
        const std::string name("\nradishswitch_answers_too_long_total ");
        const std::size_t begin = text.find(name);
        return begin == std::string::npos ? 0 : std::stod(text.substr(begin + name.size()));
    }

    const int storePort;
    const int gatewayPort;
    const int adminPort;
    const std::string folder;
    RawEndpoint first;
    RawEndpoint second;
    ChildProcess store;
    ChildProcess gateway;
};

// Guards against endpoints in trouble that send bytes which are no answer until they are closed: a gateway that reads
// them without a bound runs out of memory, its callers hear nothing until they give up, and all its other calls wait.
TEST_P(BytesWithoutEndTest, severalAtOnce_endTypedInTimeAndOtherCallsGoOn)
{
    const EndlessAnswer &answer = GetParam();
    ASSERT_EQ(call("/safe/", "before").status, 200);
    const std::int64_t before = peakBytes();
    std::vector<SeenAnswer> seen(static_cast<std::size_t>(answer.calls));
    std::vector<std::thread> callers;
    std::atomic<int> running = answer.calls;
    for (int n = 0; n < answer.calls; ++n) {
        callers.emplace_back([this, n, &seen, &answer, &running] {
            seen[static_cast<std::size_t>(n)] = call(answer.target, "endless-" + std::to_string(n));
            --running;
        });
    }
    int others = 0;
    while (running > 0) {
        const SeenAnswer other = call("/safe/", "other-" + std::to_string(others++));
        EXPECT_EQ(other.status, 200) << other.text;
        EXPECT_LT(other.taken, kUsualTime) << "call " << others << " beside the endless answers";
        std::this_thread::sleep_for(kPause);
    }
    for (std::thread &it : callers) {
        it.join();
    }

    const std::chrono::milliseconds longest = answer.until == Until::Deadline ? kCallerTimeout + kLate : kAtOnce;
    for (const SeenAnswer &it : seen) {
        EXPECT_TRUE(it.status == answer.status || (answer.otherStatus != 0 && it.status == answer.otherStatus))
            << it.text.substr(0, 500);
        EXPECT_LT(it.taken, longest);
        // A streamed answer that was cut has no last chunk.
        EXPECT_FALSE(it.text.ends_with("\r\n0\r\n\r\n"));
    }
    EXPECT_LT(peakBytes() - before, kMaximumGrowthBytes);
    EXPECT_EQ(tooLongAnswers() > 0, answer.isCounted);
    EXPECT_TRUE(waitUntil([this] {
        return first.endlessAnswers() + second.endlessAnswers() == 0;
    })) << "connections on which bytes still come";
    RecordProperty("growth_bytes", std::to_string(peakBytes() - before));
    RecordProperty("others", others);
}

INSTANTIATE_TEST_SUITE_P(Answers, BytesWithoutEndTest, testing::ValuesIn(endlessAnswers()),
                         [](const testing::TestParamInfo<EndlessAnswer> &info) {
                             return info.param.name;
                         });
