#include "answertext.h"

#include "base/failure.h"
#include "chatprompt.h"
#include "prefixblocks.h"
#include "serviceanswer.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

TEST(AnswerTextTest, samePrompt_madeTwice_givesSameTokens)
{
    EXPECT_EQ(AnswerText("user\nhello\n").tokens(20), AnswerText("user\nhello\n").tokens(20));
    EXPECT_NE(AnswerText("user\nhello\n").tokens(20), AnswerText("user\nhallo\n").tokens(20));
}

TEST(AnswerTextTest, tokens_countedAsWords_areAsManyAsAsked)
{
    const AnswerText answer("user\nhello\n");

    EXPECT_EQ(countWords(answer.tokens(17)), 17);
    EXPECT_EQ(answer.tokens(3), answer.token(0) + answer.token(1) + answer.token(2));
}

TEST(AnswerTextTest, length_underLimit_isTheSmaller)
{
    const AnswerText answer("user\nhello\n");

    EXPECT_EQ(answer.length(5), 5);
    EXPECT_EQ(answer.length(100000), answer.length());
    EXPECT_GE(answer.length(), AnswerText::kShortestAnswer);
}

TEST(ChatPromptTest, continuation_parsed_keepsAnswerOutOfTheText)
{
    const auto whole = parseChatPrompt(R"({"model":"m","messages":[{"role":"user","content":"a b c"}]})");
    const auto rest = parseChatPrompt(R"({"model":"m","continue_final_message":true,"messages":[
        {"role":"user","content":"a b c"},{"role":"assistant","content":"x y"}]})");

    ASSERT_TRUE(whole.ok());
    ASSERT_TRUE(rest.ok());
    EXPECT_EQ(rest->text, whole->text);
    EXPECT_EQ(rest->continued, "x y");
    EXPECT_EQ(whole->promptTokens, 3 + ChatPrompt::kTokensPerMessage);
    // The header of the answer is part of every prompt: going on with the answer adds its words alone.
    EXPECT_EQ(rest->promptTokens, 5 + ChatPrompt::kTokensPerMessage);
}

TEST(ChatPromptTest, badBodies_parsed_areInvalidRequests)
{
    for (const char *body : {"", "[]", "{}", R"({"messages":[]})", R"({"messages":[{"role":"user"}]})",
                             R"({"messages":[{"role":5,"content":"a"}]})", R"({"messages":"a"})"}) {
        const auto prompt = parseChatPrompt(body);
        ASSERT_FALSE(prompt.ok()) << body;
        EXPECT_EQ(failureCode(prompt.status()), FailureCode::InvalidRequest) << body;
    }
}

TEST(PrefixBlocksTest, longerConversation_hashed_beginsWithTheShortersBlocks)
{
    const std::string first = AnswerText("a").tokens(150);
    const auto shorter = prefixBlockHashes("m", first);
    const auto longer = prefixBlockHashes("m", first + "\n" + AnswerText("b").tokens(150));
    const auto other = prefixBlockHashes("n", first);

    ASSERT_EQ(shorter.size(), 2U);
    ASSERT_EQ(longer.size(), 4U);
    EXPECT_TRUE(std::equal(shorter.begin(), shorter.end(), longer.begin()));
    EXPECT_NE(other.front(), shorter.front());
    EXPECT_NE(other.back(), shorter.back());
}

TEST(ServiceAnswerTest, sameCall_underTheFleetsPath_hasSameAnswer)
{
    EXPECT_EQ(serviceAnswer("GET", "/services/shop/stock/7", ""), serviceAnswer("GET", "/stock/7", ""));
    EXPECT_NE(serviceAnswer("GET", "/stock/7", ""), serviceAnswer("GET", "/stock/8", ""));
}
