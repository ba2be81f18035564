#include "limits/bytewindow.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class ByteWindowTest : public testing::Test
{
protected:
    ByteWindow window;
    const Instant start{std::chrono::seconds(100)};
};

// Guards against an organisation that stays over its share after it has stopped to send.
TEST_F(ByteWindowTest, sum_afterASecond_hasForgottenTheBytes)
{
    window.add(1'000, start);

    EXPECT_EQ(window.sum(start + ByteWindow::kSpan - ByteWindow::kSlot), 1'000);
    EXPECT_EQ(window.sum(start + ByteWindow::kSpan), 0);
    window.add(7, start + 5 * ByteWindow::kSpan);
    EXPECT_EQ(window.sum(start + 5 * ByteWindow::kSpan), 7);
}

// Guards against a link that looks full because the bytes of many seconds are counted at one moment.
TEST_F(ByteWindowTest, addBetween_tenSeconds_countsOnlyTheLast)
{
    window.addBetween(10'000'000, start, start + std::chrono::seconds(10));

    EXPECT_NEAR(static_cast<double>(window.sum(start + std::chrono::seconds(10))), 1'000'000, 10'000);
}

// Guards against bytes that are lost in rounding.
TEST_F(ByteWindowTest, addBetween_fewSlots_keepsEachByte)
{
    window.addBetween(10'007, start, start + 7 * ByteWindow::kSlot);

    EXPECT_EQ(window.sum(start + 7 * ByteWindow::kSlot), 10'007);
}

// Guards against a sum over the last slots that contains the current one, of which only a part has passed.
TEST_F(ByteWindowTest, sumOfLast_fourSlots_leavesOutCurrentAndOlder)
{
    for (int n = 0; n < 6; ++n) {
        window.add(1 << n, start + n * ByteWindow::kSlot);
    }

    EXPECT_EQ(window.sumOfLast(4, start + 5 * ByteWindow::kSlot), 2 + 4 + 8 + 16);
    EXPECT_EQ(window.sumOfLast(4, start + 7 * ByteWindow::kSlot), 8 + 16 + 32);
    EXPECT_EQ(window.sumOfLast(4, start + 50 * ByteWindow::kSlot), 0);
}
