#include "names.h"
#include "rawendpointfixture.h"

#include <map>
#include <ostream>
#include <string>
#include <vector>

using namespace RadishSwitch;

namespace
{

/// An event of a stream, which is also the body of the routes without streams.
constexpr char kPart[] = "id: 1\ndata: a\n\n";
constexpr char kRest[] = "id: 2\ndata: b\n\n";
/// More than the kernel keeps of a request that nobody reads, and less than callers may send.
constexpr std::size_t kLongBytes = 7 * 1024 * 1024;

/// Calls that are answered properly behind each that is not.
constexpr int kSoundCalls = 3;

enum class Framing {
    Length,
    Chunks,
    Connection,
};

struct Place {
    std::string name;
    std::string target;
    Framing framing;

    friend void PrintTo(const Place &place, std::ostream *out)
    {
        *out << place.name;
    }
};

std::vector<Place> places()
{
    const std::map<std::string, Framing> framings{
        {"WithLength", Framing::Length}, {"InChunks", Framing::Chunks}, {"EndedByConnection", Framing::Connection}};
    const std::map<std::string, std::string> routes{
        {"safe", "/safe/"}, {"unsafe", "/order/"}, {"stream", "/once/"}, {"resumableStream", "/resumable/"}};
    std::vector<Place> places;
    for (const auto &[route, target] : routes) {
        for (const auto &[framing, value] : framings) {
            places.push_back({route + framing, target, value});
        }
    }
    return places;
}

std::vector<Place> placesWith(Framing framing)
{
    std::vector<Place> found = places();
    std::erase_if(found, [framing](const Place &place) {
        return place.framing != framing;
    });
    return found;
}

std::string nameOf(const testing::TestParamInfo<Place> &info)
{
    return info.param.name;
}

std::string chunk(const std::string &data)
{
    constexpr char kDigits[] = "0123456789abcdef";
    std::string size;
    for (std::size_t n = data.size(); n > 0; n /= 16) {
        size.insert(size.begin(), kDigits[n % 16]);
    }
    return size + "\r\n" + data + "\r\n";
}

}

/// Endpoints whose answers to a route have one of the framings.
class BrokenAnswersTest : public RawEndpointFixture, public testing::WithParamInterface<Place>
{
protected:
    BrokenAnswersTest()
        : RawEndpointFixture("broken-" + GetParam().name)
    {
    }

    /// An answer with these first lines and the framing of the test, whole or its first part.
    static RawAnswer answerWith(const std::string &lines, bool isWhole)
    {
        const std::string whole = std::string(kPart) + kRest;
        const std::string body = isWhole ? whole : kPart;
        RawAnswer answer;
        answer.beginning = lines + "Content-Type: text/event-stream\r\n";
        switch (GetParam().framing) {
        case Framing::Length:
            answer.beginning += "Content-Length: " + std::to_string(whole.size()) + "\r\n\r\n" + body;
            break;
        case Framing::Chunks:
            answer.beginning += "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + (isWhole ? "0\r\n\r\n" : "");
            break;
        case Framing::Connection:
            answer.beginning += "\r\n" + body;
            answer.end = RawEnd::Close;
            break;
        }
        return answer;
    }

    SeenAnswer callAnswered(const std::string &id, const RawAnswer &answer, const CallerOptions &options)
    {
        setAnswers(id, {answer});
        return call(GetParam().target, id, options);
    }

    void expectNoAnswer(const std::string &id, const RawAnswer &answer, const CallerOptions &options = {})
    {
        const SeenAnswer seen = callAnswered(id, answer, options);
        const bool isBrokenStream = seen.status == 200 && !seen.isComplete;
        EXPECT_TRUE(seen.status == 502 || isBrokenStream) << id << ": " << seen.text;
        const bool mayRunAgain = GetParam().target == "/safe/" || GetParam().target == "/resumable/";
        EXPECT_TRUE(asked(id) == 1 || (mayRunAgain && asked(id) > 1)) << id << ": asked " << asked(id) << " times";
        // An endpoint that is in trouble now and then stays in use.
        for (int n = 0; n < kSoundCalls; ++n) {
            EXPECT_EQ(call("/safe/", "sound-" + id + std::to_string(n)).body(), "ok") << id;
        }
    }

    /// Answers that are sound but for one line in the head.
    void expectNoAnswers(const std::string &name, const std::vector<std::string> &lines)
    {
        for (std::size_t n = 0; n < lines.size(); ++n) {
            const std::string id = name + std::to_string(n);
            expectNoAnswer(id, answerWith(firstLines("200 OK", id) + lines[n] + "\r\n", true));
        }
    }

    void expectWhole(const std::string &id, const RawAnswer &answer, const CallerOptions &options = {})
    {
        const SeenAnswer seen = callAnswered(id, answer, options);
        EXPECT_TRUE(seen.isSuccess()) << id << ": " << seen.text;
        EXPECT_NE(seen.text.find(kPart), std::string::npos) << id << ": " << seen.text;
        EXPECT_NE(seen.text.find(kRest), std::string::npos) << id << ": " << seen.text;
        EXPECT_EQ(asked(id), 1) << id;
    }

    /// The answer comes before the endpoint has read this much of a long request, and its connection is reset so long
    /// after it.
    static RawAnswer reset(RawAnswer answer, RawRead read, std::chrono::milliseconds pause)
    {
        answer.read = read;
        answer.end = RawEnd::Reset;
        answer.pauseBeforeEnd = pause;
        return answer;
    }

    static CallerOptions longRequest()
    {
        CallerOptions options;
        options.body = std::string(kLongBytes, 'x');
        return options;
    }
};

/// Those whose answers are in chunks.
class TrailersTest : public BrokenAnswersTest
{
};

/// Those whose answers end with their connections.
class SilentAnswersTest : public BrokenAnswersTest
{
};

// Guards against bytes whose status no answer can have, which callers get as an answer.
TEST_P(BrokenAnswersTest, statusOfNoAnswer_isNotPassedOn)
{
    for (const std::string code : {"000", "001", "099", "101", "600", "999"}) {
        const std::string id = "status-" + code;
        expectNoAnswer(id, answerWith(firstLines(code + " Odd", id), true));
    }
}

// Guards against the head that announces an answer, which callers get in its place.
TEST_P(BrokenAnswersTest, interimHeadsBeforeAnswer_areNotTheAnswer)
{
    RawAnswer answer = answerWith(firstLines("200 OK", "interim"), true);
    answer.beginning =
        "HTTP/1.1 100 Continue\r\n\r\n" + firstLines("103 Early Hints", "interim") + "\r\n" + answer.beginning;
    expectWhole("interim", answer);
    answer = answerWith(firstLines("200 OK", "interim-early"), true);
    answer.beginning = "HTTP/1.1 100 Continue\r\n\r\n" + answer.beginning;
    answer.read = RawRead::Head;
    expectWhole("interim-early", answer, longRequest());
}

// Guards against a part of an answer that callers get as a whole one, since its connection was reset while the request
// was still being written.
TEST_P(BrokenAnswersTest, answerCutByResetAroundLongRequest_isNotWhole)
{
    const std::map<std::string, RawRead> reads{{"head", RawRead::Head}, {"half", RawRead::Half}, {"all", RawRead::All}};
    for (const auto &[name, read] : reads) {
        for (const int pause : {0, 2, 60}) {
            const std::string id = "reset-" + name + "-" + std::to_string(pause);
            const RawAnswer part = answerWith(firstLines("200 OK", id), false);
            expectNoAnswer(id, reset(part, read, std::chrono::milliseconds(pause)), longRequest());
        }
    }
}

// Guards against the same where the endpoint closes its connection with most of the request unread.
TEST_P(BrokenAnswersTest, answerCutByCloseBeforeLongRequestIsRead_isNotWhole)
{
    for (const RawRead read : {RawRead::Head, RawRead::Half}) {
        for (const int pause : {0, 60}) {
            const std::string id =
                std::string(read == RawRead::Head ? "close-head-" : "close-half-") + std::to_string(pause);
            RawAnswer part = reset(answerWith(firstLines("200 OK", id), false), read, std::chrono::milliseconds(pause));
            part.end = RawEnd::CloseUnread;
            expectNoAnswer(id, part, longRequest());
        }
    }
}

// Guards against the same where the look for bytes of a silent stream notices the reset, while another endpoint that is
// to take the stream over works on it and then refuses.
TEST_P(SilentAnswersTest, silentAnswerCutByReset_otherEndpointRefuses_isNotWhole)
{
    const std::string id = "silent";
    RawAnswer refusal;
    refusal.beginning = firstLines("503 Full", id) + PlatformNames::kNotRun + ": 1\r\nContent-Length: 0\r\n\r\n";
    refusal.work = std::chrono::milliseconds(1600);
    RawAnswer part = answerWith(firstLines("200 OK", id), false);
    part.end = RawEnd::Reset;
    part.pauseBeforeEnd = std::chrono::milliseconds(1400);
    setAnswers(id, {part, refusal});
    const SeenAnswer seen = call(GetParam().target, id);
    EXPECT_FALSE(seen.isSuccess()) << seen.text;
}

// Guards against the opposite: answers that are whole though they came before the request had been read.
TEST_P(BrokenAnswersTest, answerBeforeLongRequestIsRead_isWhole)
{
    for (const RawRead read : {RawRead::Head, RawRead::Half}) {
        const std::string id = read == RawRead::Head ? "early-head" : "early-half";
        RawAnswer answer = answerWith(firstLines("200 OK", id), true);
        answer.read = read;
        expectWhole(id, answer, longRequest());
    }
}

// Guards against heads with lines that are no fields: passed on, or left out so that the body ends elsewhere.
TEST_P(BrokenAnswersTest, headWithLineThatIsNoField_isNotPassedOn)
{
    using namespace std::string_literals;
    expectNoAnswers("line-",
                    {"X Odd: a", "X-Odd : a", "X-Odd\t: a", "X-\001Odd: a", "X-Odd\177: a", "X\0Odd: a"s, "X\rOdd: a",
                     ": a", "X-Odd", "X-Odd: a\001b", "X-Odd: a\rb", "X-Odd: a\nX-Two: b", "Content-Length : 3",
                     "Content Length: 3"});
}

// Guards against a field whose name begins with a blank, passed on as a part of the field before it.
TEST_P(BrokenAnswersTest, headWithNameThatBeginsWithBlank_isNotPassedOn)
{
    expectNoAnswers("blank-", {" X-Odd: a", "\tX-Odd: a", " Content-Length: 3"});
}

// Guards against bodies that callers get in a transfer coding that nobody undoes.
TEST_P(BrokenAnswersTest, bodyInUnknownTransferCoding_isNotPassedOn)
{
    expectNoAnswers("coding-",
                    {"Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip",
                     "Transfer-Encoding: "});
}

// Guards against fields behind a body, which callers get as fields of the head.
TEST_P(TrailersTest, fieldsBehindBody_areNotPassedOn)
{
    RawAnswer answer = answerWith(firstLines("200 OK", "trailer"), true);
    answer.beginning.insert(answer.beginning.size() - 2, PlatformNames::kSignature + std::string(": other\r\n"));
    setAnswers("trailer", {answer});
    const SeenAnswer seen = call(GetParam().target, "trailer");
    EXPECT_TRUE(seen.isSuccess()) << seen.text;
    EXPECT_EQ(seen.text.find("other"), std::string::npos) << seen.text;
}

// Guards against a stream that was cut and that a caller of HTTP/1.0, whose answers end with their connections, takes
// for whole.
TEST_P(BrokenAnswersTest, answerCutForCallerOfHttp10_isNotWhole)
{
    CallerOptions options;
    options.version = "1.0";
    const RawAnswer part = answerWith(firstLines("200 OK", "old-caller"), false);
    expectNoAnswer("old-caller", reset(part, RawRead::All, std::chrono::milliseconds(20)), options);
}

INSTANTIATE_TEST_SUITE_P(Answers, BrokenAnswersTest, testing::ValuesIn(places()), nameOf);
INSTANTIATE_TEST_SUITE_P(Answers, TrailersTest, testing::ValuesIn(placesWith(Framing::Chunks)), nameOf);
INSTANTIATE_TEST_SUITE_P(Answers, SilentAnswersTest, testing::ValuesIn(placesWith(Framing::Connection)), nameOf);

/// Endpoints whose answers end with their connections.
class UnansweredQuestionsTest : public RawEndpointFixture
{
protected:
    UnansweredQuestionsTest()
        : RawEndpointFixture("unanswered-questions", answerTo)
    {
    }

    static RawAnswer answerTo(const std::string &call)
    {
        RawAnswer answer;
        answer.beginning = firstLines("200 OK", call) + "\r\npart";
        answer.end = RawEnd::Close;
        return answer;
    }
};

// Guards against bytes that are no answer to the question whether the process that wrote an answer still runs, taken
// for a sign that it does.
TEST_F(UnansweredQuestionsTest, answerEndedByConnection_questionGetsNoAnswer_isNotPassedOn)
{
    std::vector<RawAnswer> answers(3);
    answers[0].beginning = "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}";
    answers[1].beginning = "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\n{}";
    answers[2].beginning = "HTTP/1.1 200 OK\r\n";
    answers[2].repeated = "X-Filler: a\r\n";
    for (std::size_t n = 0; n < answers.size(); ++n) {
        answers[n].end = RawEnd::Close;
        setAnswers("", {answers[n]});
        for (const std::string target : {"/order/", "/safe/"}) {
            EXPECT_EQ(call(target, "call-" + std::to_string(n) + target.substr(1, 4)).status, 502) << n;
        }
    }
}
