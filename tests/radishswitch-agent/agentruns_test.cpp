#include "agentruns.h"

#include "base/failure.h"
#include "fakeendpoint.h"
#include "fakemessagestream.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

constexpr char kToken[] = "data: {\"choices\":[{\"delta\":{\"content\":\"hi\"}}],\"usage\":null}\n\n";
constexpr char kUsage[] = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":7}}\n\n";
constexpr char kDone[] = "data: [DONE]\n\n";

}

class AgentRunsTest : public testing::Test
{
protected:
    using Stream = std::shared_ptr<FakeMessageStream>;
    using Update = wire::RunUpdate::UpdateCase;

    static wire::RunRequest chatRequest(const std::string &request, const std::string &attempt)
    {
        wire::RunRequest message;
        message.set_request_id(request);
        message.set_attempt_id(attempt);
        message.set_portion_id("portion");
        message.set_reserved_tokens(100);
        message.set_fingerprint("body");
        message.set_chat(true);
        message.set_stream(true);
        message.set_deadline_ms(60'000);
        return message;
    }

    Stream run(const wire::RunRequest &request)
    {
        const auto stream = std::make_shared<FakeMessageStream>();
        m_runs->run(request, stream);
        return stream;
    }

    Stream attach(const std::string &request, const std::string &attempt, std::uint64_t offset)
    {
        wire::AttachRequest message;
        message.set_request_id(request);
        message.set_attempt_id(attempt);
        message.set_offset(offset);
        const auto stream = std::make_shared<FakeMessageStream>();
        m_runs->attach(message, stream);
        return stream;
    }

    wire::RunRecord bar(const std::string &request, const std::string &attempt, bool cancel, bool unlessRead = false)
    {
        wire::BarRequest message;
        message.set_request_id(request);
        message.set_attempt_id(attempt);
        message.set_cancel(cancel);
        message.set_unless_read(unlessRead);
        return m_runs->bar(message);
    }

    void answer(std::initializer_list<const char *> parts)
    {
        const FakeEndpoint::Call &call = *m_endpoint.calls.back();
        call.callbacks.onHead({200, "text/event-stream"});
        m_hasAnswered = true;
        for (const char *part : parts) {
            call.callbacks.onBytes(part);
        }
    }

    void end(const absl::Status &status = absl::OkStatus())
    {
        m_endpoint.calls.back()->callbacks.onEnd(status);
    }

    /// Time passes in which the endpoint sends nothing. As with `HttpEndpoint` its call ends when that is longer than
    /// the call was given.
    void keepSilent(Duration span)
    {
        const FakeEndpoint::Call &call = *m_endpoint.calls.back();
        const Duration bound = m_hasAnswered ? call.request.silenceTimeout : call.request.firstByteTimeout;
        m_timers.advance(std::min(span, bound));
        if (span >= bound && !call.isCancelled) {
            call.callbacks.onEnd(withUnknownOutcome(makeFailure(FailureCode::ConnectionSilent, "nothing came")));
        }
        m_timers.advance(std::max(span - bound, Duration::zero()));
    }

    /// All bytes of an answer, checking that they come without a gap.
    static std::string bytesOf(const std::vector<wire::RunUpdate> &updates, std::uint64_t offset = 0)
    {
        std::string bytes;
        for (const wire::RunUpdate &update : updates) {
            if (update.has_chunk()) {
                EXPECT_EQ(update.chunk().offset(), offset + bytes.size());
                bytes += update.chunk().data();
            }
        }
        return bytes;
    }

    VirtualTimerService m_timers;
    FakeEndpoint m_endpoint;
    std::shared_ptr<EndpointMonitor> m_monitor =
        std::make_shared<EndpointMonitor>(m_endpoint, m_timers, EndpointMonitorSettings());
    Metrics m_registry;
    AgentMetrics m_metrics{m_registry};
    std::shared_ptr<AgentRuns> m_runs = std::make_shared<AgentRuns>(
        m_endpoint, *m_monitor, m_metrics, m_timers, AgentRunsSettings{.address = "127.0.0.1:7300", .endpoint = "e1"});
    const absl::Status m_lost = makeFailure(FailureCode::ConnectionLost, "gone");
    bool m_hasAnswered = false;
};

TEST_F(AgentRunsTest, run_streamedCompletion_sendsBytesAtOnceThenUsage)
{
    const Stream stream = run(chatRequest("r", "a"));
    EXPECT_TRUE(stream->take<wire::RunUpdate>().at(0).has_accepted());
    answer({kToken});
    const auto first = stream->take<wire::RunUpdate>();
    ASSERT_EQ(first.size(), 2u);
    EXPECT_EQ(first[0].head().status(), 200);
    EXPECT_EQ(first[1].chunk().data(), kToken);
    EXPECT_EQ(first[1].attempt_id(), "a");

    m_endpoint.calls.back()->callbacks.onBytes(std::string(kUsage) + kDone);
    end();

    const wire::RunUpdate last = stream->take<wire::RunUpdate>().back();
    EXPECT_EQ(last.done().prompt_tokens(), 5);
    EXPECT_EQ(last.done().completion_tokens(), 7);
    EXPECT_EQ(last.done().charged_tokens(), 12);
    EXPECT_TRUE(stream->isFinished);
}

// An entry dies in mid-answer. The caller comes back through another entry, which attaches from the first byte: it gets
// the whole answer, the engine ran once, and one charge is on the books.
TEST_F(AgentRunsTest, run_entryLostInMidAnswer_goesOnAndIsAttachedTo)
{
    const Stream lost = run(chatRequest("r", "a"));
    answer({kToken});
    m_runs->noteStreamClosed(lost.get(), m_lost);
    m_endpoint.calls.back()->callbacks.onBytes(kToken);

    const Stream whole = attach("r", "a", 0);
    const Stream rest = run(chatRequest("r", "b"));
    m_endpoint.calls.back()->callbacks.onBytes(std::string(kUsage) + kDone);
    end();

    const std::string bytes = std::string(kToken) + kToken + kUsage + kDone;
    const auto updates = whole->take<wire::RunUpdate>();
    EXPECT_EQ(bytesOf(updates), bytes);
    EXPECT_EQ(updates.back().done().charged_tokens(), 12);
    const auto retried = rest->take<wire::RunUpdate>();
    EXPECT_EQ(retried.front().accepted().attempt_id(), "a");
    EXPECT_EQ(retried.front().attempt_id(), "b");
    EXPECT_EQ(bytesOf(retried), bytes);
    EXPECT_EQ(retried.back().done().charged_tokens(), 0);
    EXPECT_EQ(m_endpoint.calls.size(), 1u);
    EXPECT_EQ(bytesOf(attach("r", "a", 10)->take<wire::RunUpdate>(), 10), bytes.substr(10));
}

TEST_F(AgentRunsTest, run_otherSideFinishedAsking_stillGetsTheAnswer)
{
    const Stream stream = run(chatRequest("r", "a"));
    m_runs->noteStreamClosed(stream.get(), absl::OkStatus());

    answer({kUsage, kDone});
    end();

    EXPECT_TRUE(stream->take<wire::RunUpdate>().back().has_done());
}

// One reader's window is full. The run and the other reader go on; the slow one gets every byte in order when it reads
// again.
TEST_F(AgentRunsTest, run_slowReader_holdsNobodyBackAndLosesNothing)
{
    const Stream slow = run(chatRequest("r", "a"));
    const Stream quick = attach("r", "a", 0);
    slow->queued = 10'000'000;
    answer({kToken, kToken, kUsage, kDone});
    end();
    EXPECT_TRUE(quick->take<wire::RunUpdate>().back().has_done());
    EXPECT_FALSE(slow->isFinished);
    EXPECT_FALSE(m_runs->isIdle());

    slow->drain();

    const auto updates = slow->take<wire::RunUpdate>();
    EXPECT_EQ(bytesOf(updates), std::string(kToken) + kToken + kUsage + kDone);
    EXPECT_TRUE(updates.back().has_done());
}

TEST_F(AgentRunsTest, run_streamEndsWithoutDone_failsWithUnknownOutcome)
{
    const Stream stream = run(chatRequest("r", "a"));
    answer({kToken, kUsage});
    end();

    const wire::RunUpdate last = stream->take<wire::RunUpdate>().back();
    EXPECT_EQ(last.failed().code(), "endpoint_failed");
    EXPECT_TRUE(last.failed().outcome_unknown());
}

// The engine's port is closed: nothing ran, so the entry may say so and try elsewhere. A copy of the attempt that comes
// when the engine is back must not make that a lie.
TEST_F(AgentRunsTest, run_endpointNotReached_isRefusedAndBarred)
{
    const Stream stream = run(chatRequest("r", "a"));
    end(m_lost);

    const wire::RunUpdate last = stream->take<wire::RunUpdate>().back();
    EXPECT_FALSE(last.refused().outcome_unknown());
    EXPECT_EQ(last.refused().code(), "connection_lost");
    EXPECT_EQ(run(chatRequest("r", "a"))->take<wire::RunUpdate>().back().refused().code(), "attempt_barred");
    EXPECT_EQ(m_endpoint.calls.size(), 1u);
}

TEST_F(AgentRunsTest, run_endpointLostInMidAnswer_failsWithUnknownOutcome)
{
    const Stream stream = run(chatRequest("r", "a"));
    answer({kToken});
    end(m_lost);

    EXPECT_TRUE(stream->take<wire::RunUpdate>().back().failed().outcome_unknown());
}

TEST_F(AgentRunsTest, bar_runningWithCancel_stopsItAndChargesNothing)
{
    const Stream stream = run(chatRequest("r", "a"));
    answer({kToken});
    EXPECT_EQ(bar("r", "a", false).state(), wire::RUN_RUNNING);
    EXPECT_FALSE(m_endpoint.calls.back()->isCancelled);

    EXPECT_EQ(bar("r", "a", true).state(), wire::RUN_FAILED);

    EXPECT_TRUE(m_endpoint.calls.back()->isCancelled);
    EXPECT_TRUE(stream->take<wire::RunUpdate>().back().failed().outcome_unknown());
    m_endpoint.calls.back()->callbacks.onBytes(std::string(kUsage) + kDone);
    end();
    EXPECT_EQ(bar("r", "a", false).charged_tokens(), 0);
}

// A home has lost its link to the entry that serves a caller and wants the run stopped that nobody waits for. The entry
// is alive and reads the answer: the run goes on. Once the entry's stream is lost too, the home's next try stops it.
TEST_F(AgentRunsTest, bar_cancelUnlessRead_stopsOnlyARunThatNobodyReads)
{
    const Stream stream = run(chatRequest("r", "a"));
    answer({kToken});

    EXPECT_EQ(bar("r", "a", true, true).state(), wire::RUN_RUNNING);
    EXPECT_FALSE(m_endpoint.calls.back()->isCancelled);
    m_runs->noteStreamClosed(stream.get(), m_lost);

    EXPECT_EQ(bar("r", "a", true, true).state(), wire::RUN_FAILED);
    EXPECT_TRUE(m_endpoint.calls.back()->isCancelled);
}

// The engine reads a long prompt of another call and sends nothing for ten seconds, in the middle of this answer. Then
// it goes on. The agent can't know whether the run could go on elsewhere, so it must not end it: the caller would lose
// an answer that was being made, with time left.
TEST_F(AgentRunsTest, run_endpointSilentInMidAnswer_goesOnToItsWholeAnswer)
{
    const Stream stream = run(chatRequest("r", "a"));
    answer({kToken});

    keepSilent(10s);
    m_endpoint.calls.back()->callbacks.onBytes(std::string(kUsage) + kDone);
    end();

    const auto updates = stream->take<wire::RunUpdate>();
    EXPECT_EQ(bytesOf(updates), std::string(kToken) + kUsage + kDone);
    EXPECT_EQ(updates.back().done().charged_tokens(), 12);
}

// A service takes 40 s to the first byte of its answer, and the caller has given it 60 s. It is at work all that time;
// ended before, the order would be of unknown outcome, and no other endpoint may be sent it.
TEST_F(AgentRunsTest, run_endpointSlowToItsFirstByte_isWaitedForUntilTheDeadline)
{
    wire::RunRequest order = chatRequest("r", "a");
    order.set_chat(false);
    order.set_stream(false);
    order.set_non_idempotent(true);
    const Stream stream = run(order);

    keepSilent(40s);
    answer({"ordered"});
    end();

    const auto updates = stream->take<wire::RunUpdate>();
    EXPECT_EQ(bytesOf(updates), "ordered");
    EXPECT_TRUE(updates.back().has_done());
}

// The entry decides what becomes of a silent run, so it hears of the silence each time that 3 s more have passed
// without a byte, and before the first byte each time that 30 s have.
TEST_F(AgentRunsTest, run_endpointSilent_isToldAgainAndAgain)
{
    const Stream stream = run(chatRequest("r", "a"));
    keepSilent(31s);
    answer({kToken});
    m_timers.advance(2s);
    m_endpoint.calls.back()->callbacks.onBytes(kToken);
    keepSilent(7s);

    std::vector<std::int64_t> silences;
    for (const wire::RunUpdate &update : stream->take<wire::RunUpdate>()) {
        if (update.has_silent()) {
            silences.push_back(update.silent().silent_ms());
        }
    }
    EXPECT_EQ(silences, (std::vector<std::int64_t>{30'000, 3000, 6000}));
    EXPECT_EQ(m_runs->runningCount(), 1);
}

// The reader's window is full of bytes that it has still to take: the silence is not the endpoint's as it sees it.
TEST_F(AgentRunsTest, run_endpointSilentBehindASlowReader_isNotTold)
{
    const Stream slow = run(chatRequest("r", "a"));
    slow->queued = 10'000'000;
    answer({kToken});
    keepSilent(10s);

    for (const wire::RunUpdate &update : slow->take<wire::RunUpdate>()) {
        EXPECT_FALSE(update.has_silent());
    }
}

TEST_F(AgentRunsTest, run_deadlinePassed_isStopped)
{
    const Stream stream = run(chatRequest("r", "a"));
    answer({kToken});

    m_timers.advance(60s);

    EXPECT_EQ(stream->take<wire::RunUpdate>().back().failed().code(), "deadline_exceeded");
    EXPECT_TRUE(m_endpoint.calls.back()->isCancelled);
    EXPECT_EQ(m_runs->runningCount(), 0);
}

// The entry lost its connection before it knew whether its run arrived, and asks on a new one. "Not run" is the answer;
// the run's own frame, still on the old connection, must not start after that.
TEST_F(AgentRunsTest, attach_unknownRun_isRefusedAndBarsTheLateRun)
{
    EXPECT_EQ(attach("r", "a", 0)->take<wire::RunUpdate>().back().refused().code(), "run_unknown");

    EXPECT_EQ(run(chatRequest("r", "a"))->take<wire::RunUpdate>().back().refused().code(), "attempt_barred");
    EXPECT_TRUE(m_endpoint.calls.empty());
}

// Another engine died after it had delivered a part, and this one continues. A caller that retries later gets the whole
// answer from here, the other engine's part included.
TEST_F(AgentRunsTest, run_continuesEarlierAnswer_keepsItWhole)
{
    wire::RunRequest request = chatRequest("r", "a");
    request.set_prior_answer(kToken);
    request.set_prior_completion_tokens(1);
    const Stream stream = run(request);
    EXPECT_EQ(stream->take<wire::RunUpdate>().size(), 1u);
    answer({kUsage, kDone});
    end();

    EXPECT_TRUE(stream->take<wire::RunUpdate>().at(0).has_head());
    EXPECT_EQ(bytesOf(attach("r", "a", 0)->take<wire::RunUpdate>()), std::string(kToken) + kUsage + kDone);
}

TEST_F(AgentRunsTest, run_deadlinePassedOnTheWay_isRefusedAndBarred)
{
    wire::RunRequest request = chatRequest("r", "a");
    request.set_deadline_ms(0);

    EXPECT_EQ(run(request)->take<wire::RunUpdate>().back().refused().code(), "deadline_exceeded");
    EXPECT_EQ(bar("r", "a", false).state(), wire::RUN_BARRED);
}

TEST_F(AgentRunsTest, attach_answerDropped_saysSoAndNotThatNothingRan)
{
    run(chatRequest("r", "a"));
    answer({kUsage, kDone});
    end();
    m_runs->start();
    m_timers.advance(11min);

    const wire::RunUpdate last = attach("r", "a", 0)->take<wire::RunUpdate>().back();

    EXPECT_EQ(last.failed().code(), "answer_gone");
    EXPECT_TRUE(last.failed().outcome_unknown());
}

TEST_F(AgentRunsTest, setLeaving_runInProgress_endsBeforeTheAgentIsIdle)
{
    const Stream stream = run(chatRequest("r", "a"));
    m_runs->setLeaving();
    EXPECT_EQ(run(chatRequest("new", "b"))->take<wire::RunUpdate>().back().refused().code(), "endpoint_leaving");

    answer({kUsage, kDone});
    end();
    EXPECT_TRUE(stream->take<wire::RunUpdate>().back().has_done());
    EXPECT_FALSE(m_runs->isIdle());
    m_runs->noteStreamClosed(stream.get(), absl::OkStatus());

    EXPECT_TRUE(m_runs->isIdle());
}

// The entry died while the agent was leaving: the answer waits a little for the caller's retry.
TEST_F(AgentRunsTest, isIdle_answerNotFetched_waitsForTheRetry)
{
    const Stream stream = run(chatRequest("r", "a"));
    m_runs->noteStreamClosed(stream.get(), m_lost);
    answer({kUsage, kDone});
    end();
    EXPECT_FALSE(m_runs->isIdle());

    m_timers.advance(5s);

    EXPECT_TRUE(m_runs->isIdle());
}

TEST_F(AgentRunsTest, find_runsAndCloses_tellsRecordsAndCharges)
{
    run(chatRequest("r", "a"));
    answer({kUsage, kDone});
    end();
    run(chatRequest("r2", "a2"));
    m_timers.advance(2s);
    wire::FindRunsRequest find;
    find.add_request_ids("r");
    wire::ClosePortionsRequest close;
    close.add_portion_ids("portion");

    const wire::RunRecord found = m_runs->find(find).runs(0);
    const wire::PortionCharges charges = m_runs->close(close).portions(0);

    EXPECT_EQ(found.state(), wire::RUN_DONE);
    EXPECT_EQ(found.endpoint(), "e1");
    EXPECT_TRUE(found.answer_kept());
    EXPECT_EQ(charges.charges(0).tokens(), 12);
    EXPECT_EQ(charges.running(0).request_id(), "r2");
    EXPECT_EQ(charges.complete_for_ms(), 2000);
}
