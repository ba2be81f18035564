#include "limits/linkqueue.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class LinkQueueTest : public testing::Test
{
protected:
    static constexpr Duration kMillisecond = std::chrono::milliseconds(1);
    /// 1,250 bytes in a millisecond.
    LinkQueue queue{1'250'000};
};

TEST_F(LinkQueueTest, length_bytesAdded_drainsAtTheBandwidth)
{
    queue.add(12'500);
    EXPECT_EQ(queue.length(), 10 * kMillisecond);
    queue.advance(4 * kMillisecond);
    EXPECT_EQ(queue.length(), 6 * kMillisecond);
    queue.advance(60 * kMillisecond);
    EXPECT_EQ(queue.length(), Duration::zero());
}

// Guards against a process with a tenth of a core that refuses calls at an idle link: it reads at once what arrived in
// the 90 ms in which it did not run.
TEST_F(LinkQueueTest, addPassed_afterIdleTime_isNoQueue)
{
    queue.advance(90 * kMillisecond);
    queue.addPassed(50'000);
    EXPECT_EQ(queue.length(), Duration::zero());

    queue.addPassed(125'000);

    EXPECT_EQ(queue.length(), 50 * kMillisecond);
}

// Guards against a queue that becomes negative, which would hide the bytes of others.
TEST_F(LinkQueueTest, remove_moreThanIsThere_leavesNothing)
{
    queue.add(1'250);
    queue.remove(125'000);
    queue.add(1'250);

    EXPECT_EQ(queue.length(), kMillisecond);
}

// Guards against an overflow of the time at a link with hardly any bandwidth.
TEST_F(LinkQueueTest, length_tinyBandwidth_isBounded)
{
    LinkQueue tiny(1e-300);
    tiny.add(1e9);

    EXPECT_EQ(tiny.length(), std::chrono::hours(1));
}
