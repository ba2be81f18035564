#include "names.h"
#include "rawendpointfixture.h"

#include <atomic>
#include <fstream>
#include <ostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace RadishSwitch;

namespace
{

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
/// Between two calls beside these answers.
constexpr std::chrono::milliseconds kPause{10};
/// When callers of the test give up; a gateway without bounds has not used up the machine's memory by then.
constexpr std::chrono::seconds kCallerPatience{6};
constexpr std::size_t kPieceBytes = 64 * 1024;
/// A line of a head without end.
constexpr std::size_t kFieldBytes = 16;
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
    std::string fields;
    for (std::size_t n = 0; n < kPieceBytes / kFieldBytes; ++n) {
        fields += "X-Filler: aaaa\r\n";
    }
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
    // Each piece is shorter than what a head may have.
    EndlessAnswer trickledFields{"headFieldsInPieces", "/safe/", "", "", fields.substr(0, fields.size() / 4)};
    trickledFields.pause = std::chrono::milliseconds(1);
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
        {"headFields", "/safe/", "", "", fields},
        trickledFields,
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

}

/// Endpoints that answer calls whose id begins with "endless" with bytes without end, all others properly.
class BytesWithoutEndTest : public RawEndpointFixture, public testing::WithParamInterface<EndlessAnswer>
{
protected:
    BytesWithoutEndTest()
        : RawEndpointFixture("endless-" + GetParam().name, answerTo)
    {
    }

    static RawAnswer answerTo(const std::string &call)
    {
        return call.starts_with("endless") ? endlessAnswer(call) : properAnswer(call);
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

    SeenAnswer callOf(const std::string &target, const std::string &id) const
    {
        return call(target, id, {.timeout = kCallerTimeout, .patience = kCallerPatience, .keptBytes = kKeptBytes});
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
        const std::string text = metrics();
        const std::string name("\nradishswitch_answers_too_long_total ");
        const std::size_t begin = text.find(name);
        return begin == std::string::npos ? 0 : std::stod(text.substr(begin + name.size()));
    }
};

// Guards against endpoints in trouble that send bytes which are no answer until they are closed: a gateway that reads
// them without a bound runs out of memory, its callers hear nothing until they give up, and all its other calls wait.
TEST_P(BytesWithoutEndTest, severalAtOnce_endTypedInTimeAndOtherCallsGoOn)
{
    const EndlessAnswer &answer = GetParam();
    ASSERT_EQ(callOf("/safe/", "before").status, 200);
    const std::int64_t before = peakBytes();
    std::vector<SeenAnswer> seen(static_cast<std::size_t>(answer.calls));
    std::vector<std::thread> callers;
    std::atomic<int> running = answer.calls;
    for (int n = 0; n < answer.calls; ++n) {
        callers.emplace_back([this, n, &seen, &answer, &running] {
            seen[static_cast<std::size_t>(n)] = callOf(answer.target, "endless-" + std::to_string(n));
            --running;
        });
    }
    int others = 0;
    while (running > 0) {
        const SeenAnswer other = callOf("/safe/", "other-" + std::to_string(others++));
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
