#include "runstream.h"

#include "fakemessagestream.h"
#include "virtualloop.h"
#include "wireconversion.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace
{

constexpr char kAgent[] = "agent-1:1";

wire::RunUpdate updateOf(const std::string &attempt)
{
    wire::RunUpdate update;
    update.set_attempt_id(attempt);
    return update;
}

wire::RunUpdate head(const std::string &attempt = "a-1")
{
    wire::RunUpdate update = updateOf(attempt);
    update.mutable_head()->set_status(200);
    return update;
}

wire::RunUpdate chunk(std::uint64_t offset, const std::string &data, const std::string &attempt = "a-1")
{
    wire::RunUpdate update = updateOf(attempt);
    update.mutable_chunk()->set_offset(offset);
    update.mutable_chunk()->set_data(data);
    return update;
}

wire::RunUpdate done(const std::string &attempt = "a-1")
{
    wire::RunUpdate update = updateOf(attempt);
    update.mutable_done()->set_charged_tokens(5);
    return update;
}

absl::Status lost()
{
    return makeFailure(FailureCode::ConnectionLost, "cut");
}

}

class RunStreamTest : public testing::Test
{
protected:
    using StreamPointer = FakeMessageClients::StreamPointer;

    absl::StatusOr<wire::RunUpdate> next(Duration patience = std::chrono::hours(1))
    {
        return loop.run(stream->next(loop.timers.now() + patience, loop.timers));
    }

    std::string nextData()
    {
        const auto update = next();
        return update.ok() && update->has_chunk() ? update->chunk().data() : "no chunk";
    }

    void startAnswered(const FakeMessageClients::Handler &handler)
    {
        clients.handle(kAgent, handler);
        stream.emplace(clients, AgentLife{kAgent, IncarnationId("life-1")}, loop.io.get_executor(), RequestId("r-1"),
                       AttemptId("a-1"));
        stream->start({});
    }

    VirtualLoop loop;
    FakeMessageClients clients{loop};
    std::optional<RunStream> stream;
};

TEST_F(RunStreamTest, next_framesInOrder_areHandedOver)
{
    startAnswered([](const StreamPointer &it) {
        it->deliver(head());
        it->deliver(chunk(0, "one"));
        it->deliver(chunk(3, "two"));
        it->deliver(done());
    });
    EXPECT_TRUE(next()->has_head());
    EXPECT_EQ(nextData(), "one");
    EXPECT_EQ(nextData(), "two");
    EXPECT_EQ(stream->offset(), 6u);
    EXPECT_EQ(next()->done().charged_tokens(), 5);
    EXPECT_EQ(clients.opened.front()->path, "/run");
}

// A late frame of an earlier attempt comes on the stream. Taken as this attempt's, its bytes would be mixed into the
// answer, and its bill taken for this one's.
TEST_F(RunStreamTest, next_frameOfAnotherAttempt_isDropped)
{
    startAnswered([](const StreamPointer &it) {
        it->deliver(chunk(0, "stale", "a-0"));
        it->deliver(done("a-0"));
        it->deliver(chunk(0, "mine"));
    });
    EXPECT_EQ(nextData(), "mine");
    EXPECT_EQ(stream->offset(), 4u);
}

// The agent sends again what the entry has already; the caller must not get it twice.
TEST_F(RunStreamTest, next_replayedBytes_areDropped)
{
    startAnswered([](const StreamPointer &it) {
        it->deliver(head());
        it->deliver(chunk(0, "abc"));
        it->deliver(head());
        it->deliver(chunk(0, "ab"));
        it->deliver(chunk(1, "bcde"));
    });
    EXPECT_TRUE(next()->has_head());
    EXPECT_EQ(nextData(), "abc");
    EXPECT_EQ(nextData(), "de");
    EXPECT_EQ(stream->offset(), 5u);
}

// A part of the answer is missing. Passed on, the caller would read an answer with a hole as a whole one.
TEST_F(RunStreamTest, next_gap_isMalformed)
{
    startAnswered([](const StreamPointer &it) {
        it->deliver(chunk(0, "abc"));
        it->deliver(chunk(4, "e"));
    });
    EXPECT_EQ(nextData(), "abc");
    EXPECT_EQ(failureCode(next().status()), FailureCode::MalformedMessage);
}

TEST_F(RunStreamTest, next_frameThatIsNoMessage_isMalformed)
{
    startAnswered([](const StreamPointer &it) {
        it->deliverFrame("\xff\xff\xff");
    });
    EXPECT_EQ(failureCode(next().status()), FailureCode::MalformedMessage);
}

// The connection to the agent is cut in mid-answer while the run goes on. The entry attaches anew at the byte that it
// has reached, naming the agent's life, and the caller notices a pause and nothing else.
TEST_F(RunStreamTest, next_connectionLost_attachesAnewAtTheOffset)
{
    startAnswered([](const StreamPointer &it) {
        if (it->path == "/run") {
            it->deliver(head());
            it->deliver(chunk(0, "abc"));
            it->close(lost());
            return;
        }
        it->deliver(head());
        it->deliver(chunk(2, "cde"));
        it->deliver(done());
    });
    EXPECT_TRUE(next()->has_head());
    EXPECT_EQ(nextData(), "abc");
    EXPECT_EQ(nextData(), "de");
    EXPECT_TRUE(next()->has_done());
    ASSERT_EQ(clients.opened.size(), 2u);
    wire::AttachRequest attach;
    ASSERT_TRUE(attach.ParseFromString(clients.opened.back()->firstFrame));
    EXPECT_EQ(clients.opened.back()->path, "/attach");
    EXPECT_EQ(attach.request_id(), "r-1");
    EXPECT_EQ(attach.attempt_id(), "a-1");
    EXPECT_EQ(attach.offset(), 3u);
    EXPECT_EQ(attach.agent_incarnation(), "life-1");
    EXPECT_TRUE(clients.opened.front()->isCancelled);
}

// The agent's machine is gone: every new connection fails. After the patience of a re-attach the attempt ends with the
// loss, long before the caller's deadline, so that another endpoint can be tried.
TEST_F(RunStreamTest, next_agentStaysAway_endsWithTheLossAfterItsPatience)
{
    startAnswered([](const StreamPointer &it) {
        it->close(lost());
    });
    const Instant begin = loop.timers.now();
    EXPECT_EQ(failureCode(next().status()), FailureCode::ConnectionLost);
    EXPECT_GE(loop.timers.now() - begin, RunStream::kReattachPatience);
    EXPECT_LE(loop.timers.now() - begin, RunStream::kReattachPatience + std::chrono::milliseconds(200));
}

// The peer is silent on a connection that stands. The entry does not take that for an end of the run; the caller's
// deadline ends the wait.
TEST_F(RunStreamTest, next_silentPeer_endsAtTheDeadline)
{
    startAnswered([](const StreamPointer &) {});
    loop.timers.after(std::chrono::milliseconds(5), [] {});
    EXPECT_EQ(failureCode(next(std::chrono::milliseconds(5)).status()), FailureCode::DeadlineExceeded);
    EXPECT_EQ(clients.opened.size(), 1u);
}

// The transport finds the connection silent and closes it, as after a cut without a reset. It is taken as lost.
TEST_F(RunStreamTest, next_connectionSilent_attachesAnew)
{
    startAnswered([](const StreamPointer &it) {
        if (it->path == "/run") {
            it->close(makeFailure(FailureCode::ConnectionSilent, "no PING came back"));
        } else {
            it->deliver(done());
        }
    });
    EXPECT_TRUE(next()->has_done());
}

TEST_F(RunStreamTest, destructor_cancelsTheStream)
{
    startAnswered([](const StreamPointer &) {});
    stream.reset();
    EXPECT_TRUE(clients.opened.front()->isCancelled);
}

// A caller reads slowly while the engine runs ahead. The sender is paused before the entry's memory fills, and goes on
// once the frames are taken.
TEST_F(RunStreamTest, next_slowReader_pausesTheSender)
{
    constexpr std::size_t kFrames = 10;
    const std::string data(64 * 1024, 'x');
    startAnswered([&data](const StreamPointer &it) {
        for (std::size_t n = 0; n < kFrames; ++n) {
            it->deliver(chunk(n * data.size(), data));
        }
    });
    loop.settle();
    EXPECT_EQ(clients.opened.front()->pauses, 1);
    EXPECT_EQ(clients.opened.front()->resumes, 0);
    for (std::size_t n = 0; n < kFrames; ++n) {
        ASSERT_EQ(nextData().size(), data.size());
    }
    EXPECT_EQ(clients.opened.front()->resumes, 1);
}
