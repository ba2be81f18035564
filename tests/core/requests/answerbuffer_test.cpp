#include "requests/answerbuffer.h"

#include "base/failure.h"
#include "virtualtimerservice.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;
using testing::ElementsAre;

class AnswerBufferTest : public testing::Test
{
protected:
    void addAnswer(const AttemptId &attempt, const std::string &bytes)
    {
        ASSERT_TRUE(m_buffer.open(attempt).ok());
        ASSERT_TRUE(m_buffer.append(attempt, bytes).ok());
    }

    VirtualTimerService m_timers;
    AnswerBuffer m_buffer{m_timers, {.maximumBytes = 10, .maximumAnswerBytes = 8, .retention = 10min}};
    AttemptId m_first{"first"};
    AttemptId m_second{"second"};
};

TEST_F(AnswerBufferTest, read_runningAnswer_givesBytesFromOffset)
{
    addAnswer(m_first, "abc");
    m_buffer.append(m_first, "def").IgnoreError();

    EXPECT_EQ(m_buffer.read(m_first, 2, 3).value(), "cde");
    EXPECT_EQ(m_buffer.read(m_first, 6, 3).value(), "");
    EXPECT_EQ(failureCode(m_buffer.read(m_first, 7, 3).status()), FailureCode::InvalidRequest);
}

TEST_F(AnswerBufferTest, append_bufferFull_evictsOldestFinishedNeverRunning)
{
    addAnswer(m_first, "1234");
    addAnswer(m_second, "1234");
    m_buffer.finish(m_second, {});

    addAnswer(AttemptId("third"), "1234");

    EXPECT_THAT(m_buffer.takeEvicted(), ElementsAre(m_second));
    EXPECT_EQ(m_buffer.read(m_first, 0, 8).value(), "1234");
    const absl::Status gone = m_buffer.read(m_second, 0, 8).status();
    EXPECT_EQ(failureCode(gone), FailureCode::AnswerGone);
    EXPECT_EQ(outcomeOf(gone), RunOutcome::Unknown);
    EXPECT_EQ(m_buffer.totalBytes(), 8u);
}

TEST_F(AnswerBufferTest, open_runningAnswersFillBuffer_isOverloaded)
{
    addAnswer(m_first, "12345");
    addAnswer(m_second, "12345");

    const absl::Status status = m_buffer.open(AttemptId("third"));

    EXPECT_EQ(failureCode(status), FailureCode::Overloaded);
    EXPECT_TRUE(retryAfterOf(status).has_value());
}

TEST_F(AnswerBufferTest, append_answerOverItsLimit_isTooLarge)
{
    addAnswer(m_first, "12345678");
    EXPECT_EQ(failureCode(m_buffer.append(m_first, "9")), FailureCode::MessageTooLarge);
}

TEST_F(AnswerBufferTest, expire_retentionOver_evictsFinishedOnly)
{
    addAnswer(m_first, "1234");
    addAnswer(m_second, "1234");
    m_buffer.finish(m_first, {});
    m_timers.advance(10min - 1us);
    m_buffer.expire();
    EXPECT_NE(m_buffer.find(m_first), nullptr);

    m_timers.advance(1us);
    m_buffer.expire();

    EXPECT_EQ(m_buffer.find(m_first), nullptr);
    EXPECT_NE(m_buffer.find(m_second), nullptr);
}

TEST_F(AnswerBufferTest, append_finishedAnswer_isRefused)
{
    addAnswer(m_first, "1234");
    m_buffer.finish(m_first, {.status = absl::OkStatus(), .promptTokens = 1, .completionTokens = 2});

    EXPECT_EQ(failureCode(m_buffer.append(m_first, "5")), FailureCode::RunUnknown);
    EXPECT_EQ(m_buffer.find(m_first)->end->completionTokens, 2);
}

TEST_F(AnswerBufferTest, hasUnfetchedSince_readerGotAll_isFalse)
{
    addAnswer(m_first, "1234");
    m_buffer.finish(m_first, {});
    EXPECT_TRUE(m_buffer.hasUnfetchedSince(5s));

    m_buffer.noteFetched(m_first);

    EXPECT_FALSE(m_buffer.hasUnfetchedSince(5s));
}
