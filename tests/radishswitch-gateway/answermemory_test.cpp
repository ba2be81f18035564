#include "answermemory.h"

#include <gtest/gtest.h>

#include <memory>

using namespace RadishSwitch;

class AnswerMemoryTest : public testing::Test
{
protected:
    static constexpr std::size_t kAnswer = 1'000'000;
    static constexpr std::size_t kTotal = 2'000'000;

    AnswerMemoryTest()
        : memory({.maximumAnswerBytes = kAnswer, .maximumTotalBytes = kTotal})
    {
    }

    std::unique_ptr<HeldAnswer> hold(std::size_t bytes)
    {
        auto answer = std::make_unique<HeldAnswer>(memory, [this] {
            ++givenUp;
        });
        EXPECT_TRUE(answer->admits(bytes));
        return answer;
    }

    AnswerMemory memory;
    int givenUp = 0;
};

TEST_F(AnswerMemoryTest, answerAboveItsMaximum_isNotAdmitted)
{
    const auto answer = hold(kAnswer);
    EXPECT_FALSE(answer->admits(kAnswer + 1));
    EXPECT_FALSE(answer->isGivenUp());
}

TEST_F(AnswerMemoryTest, endedAndShrunkAnswers_takeNothing)
{
    const auto shrunk = hold(kAnswer);
    {
        const auto ended = hold(kAnswer / 2);
        EXPECT_EQ(memory.totalBytes(), kAnswer + kAnswer / 2);
    }
    EXPECT_TRUE(shrunk->admits(0));
    EXPECT_EQ(memory.totalBytes(), 0U);
}

TEST_F(AnswerMemoryTest, shortAnswers_areNotCounted)
{
    const auto answer = hold(AnswerMemory::kUncountedBytes);
    EXPECT_EQ(memory.totalBytes(), 0U);
}

// Guards against ordinary answers that are lost because answers without end take all the room.
TEST_F(AnswerMemoryTest, noRoomForAll_givesUpTheLongest)
{
    const auto longest = hold(kAnswer);
    const auto other = hold(kAnswer - 1);
    const auto ordinary = hold(100'000);
    EXPECT_EQ(givenUp, 1);
    EXPECT_TRUE(longest->isGivenUp());
    EXPECT_FALSE(longest->admits(1));
    EXPECT_EQ(memory.totalBytes(), kAnswer - 1 + 100'000);
}

TEST_F(AnswerMemoryTest, growingAnswerIsTheLongest_isGivenUpItself)
{
    const auto first = hold(900'000);
    const auto second = hold(900'000);
    const auto growing = hold(100'000);
    EXPECT_FALSE(growing->admits(950'000));
    EXPECT_TRUE(growing->isGivenUp());
    EXPECT_EQ(givenUp, 1);
    EXPECT_EQ(memory.totalBytes(), 1'800'000U);
}

// Guards against giving up what is complete and only waits for its caller.
TEST_F(AnswerMemoryTest, noRoomForAll_keepsCompleteAnswers)
{
    const auto complete = hold(kAnswer);
    complete->complete();
    const auto first = hold(600'000);
    const auto second = hold(500'000);
    EXPECT_FALSE(complete->isGivenUp());
    EXPECT_TRUE(first->isGivenUp());
    EXPECT_FALSE(second->isGivenUp());
}
