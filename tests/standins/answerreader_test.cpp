#include "answerreader.h"

#include "loadsettings.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class AnswerReaderTest : public testing::Test
{
protected:
    AnswerReaderTest()
        : m_factory(settings())
        , m_call(m_factory.next())
    {
    }

    static const LoadSettings &settings()
    {
        static const LoadSettings streamed = [] {
            LoadSettings it;
            it.streamedShare = 1;
            return it;
        }();
        return streamed;
    }

    std::string event(const std::string &text) const
    {
        return R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n";
    }

    std::string end(std::int64_t promptTokens) const
    {
        return R"(data: {"choices":[],"usage":{"prompt_tokens":)" + std::to_string(promptTokens)
            + R"(,"completion_tokens":)" + std::to_string(m_call.expectedCompletionTokens) + "}}\n\ndata: [DONE]\n\n";
    }

    TryRecord judge(const std::string &stream, bool isWholeBody = true) const
    {
        AnswerReader reader(m_call);
        // Odd pieces, as a network may cut them.
        for (std::size_t n = 0; n < stream.size(); n += 7) {
            reader.addEvents(std::string_view(stream).substr(n, 7));
        }
        TryRecord record;
        reader.judgeStream(isWholeBody, record);
        return record;
    }

    CallFactory m_factory;
    Call m_call;
};

TEST_F(AnswerReaderTest, wholeAnswer_judged_isWholeWithItsUsage)
{
    const TryRecord record = judge(event(m_call.expectedAnswer) + end(m_call.expectedPromptTokens));

    EXPECT_EQ(record.outcome, TryOutcome::Whole);
    EXPECT_TRUE(record.isUsageRight);
    EXPECT_EQ(record.promptTokens, m_call.expectedPromptTokens);
}

TEST_F(AnswerReaderTest, brokenAnswers_judged_areCut)
{
    const std::string half = m_call.expectedAnswer.substr(0, m_call.expectedAnswer.size() / 2);

    EXPECT_EQ(judge(event(half)).outcome, TryOutcome::Cut);
    EXPECT_EQ(judge(event(half) + end(1)).outcome, TryOutcome::Cut);
    EXPECT_EQ(judge(event(m_call.expectedAnswer)).outcome, TryOutcome::Cut);
    EXPECT_EQ(judge(event(m_call.expectedAnswer) + end(1), false).outcome, TryOutcome::Cut);
    EXPECT_EQ(judge("").outcome, TryOutcome::Cut);
}

TEST_F(AnswerReaderTest, foreignOrRepeatedText_judged_isMixed)
{
    const Call other = m_factory.next();
    const std::string first = m_call.expectedAnswer.substr(0, 12);

    EXPECT_EQ(judge(event(other.expectedAnswer) + end(1)).outcome, TryOutcome::Mixed);
    EXPECT_EQ(judge(event(first) + event(first)).outcome, TryOutcome::Mixed);
    EXPECT_EQ(judge(event(m_call.expectedAnswer) + event(" more") + end(1)).outcome, TryOutcome::Mixed);
    EXPECT_EQ(judge("data: nonsense\n\n").outcome, TryOutcome::Mixed);
}

TEST_F(AnswerReaderTest, usageOfAnotherRequest_judged_isWrong)
{
    const TryRecord record = judge(event(m_call.expectedAnswer) + end(m_call.expectedPromptTokens + 1));

    EXPECT_EQ(record.outcome, TryOutcome::Whole);
    EXPECT_FALSE(record.isUsageRight);
}

TEST_F(AnswerReaderTest, errorBodies_read_giveCodeAndOutcome)
{
    TryRecord record;
    AnswerReader::readError(R"({"error":{"code":"budget_exhausted","outcome":"not_run"}})", record);
    EXPECT_EQ(record.code, "budget_exhausted");
    EXPECT_EQ(record.told, ToldOutcome::NotRun);

    TryRecord bare;
    AnswerReader::readError("no JSON", bare);
    EXPECT_EQ(bare.code, "no_error_form");
    EXPECT_EQ(bare.told, ToldOutcome::Nothing);
}
