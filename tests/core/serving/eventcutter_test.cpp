#include "serving/eventcutter.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class EventCutterTest : public testing::Test
{
protected:
    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
    }
};

TEST_F(EventCutterTest, bytesInAnyPieces_giveWholeEventsOnly)
{
    const std::string text = event(1) + event(2) + event(3);
    for (std::size_t size = 1; size < text.size(); ++size) {
        EventCutter cutter;
        std::string given;
        for (std::size_t n = 0; n < text.size(); n += size) {
            const std::string piece = cutter.take(text.substr(n, size));
            given += piece;
            EXPECT_TRUE(piece.empty() || piece.ends_with("\n\n"));
        }
        EXPECT_EQ(given, text);
        EXPECT_EQ(cutter.count(), 3);
        EXPECT_TRUE(cutter.isBetweenEvents());
    }
}

// An endpoint breaks off inside the third event, and another begins again behind the first. The caller has two events
// and must see the third next, once.
TEST_F(EventCutterTest, streamResumedTooEarly_repeatsNothing)
{
    EventCutter cutter;
    EXPECT_EQ(cutter.take(event(1) + event(2) + "id: 3\nda"), event(1) + event(2));
    EXPECT_FALSE(cutter.isBetweenEvents());
    cutter.restart();
    EXPECT_EQ(cutter.take(event(2) + event(3)), event(3));
    EXPECT_EQ(cutter.lastEvent(), 3U);
}

TEST_F(EventCutterTest, streamResumedTooLate_isAGapAndGivesNothingBehindIt)
{
    EventCutter cutter;
    cutter.take(event(1));
    cutter.restart();
    EXPECT_EQ(cutter.take(event(3) + event(4)), "");
    EXPECT_TRUE(cutter.hasGap());
    EXPECT_EQ(cutter.lastEvent(), 1U);
}

TEST_F(EventCutterTest, callersOwnLastEvent_isWhereTheStreamGoesOn)
{
    EventCutter cutter(12);
    EXPECT_EQ(cutter.take(event(13)), event(13));
    EXPECT_EQ(cutter.count(), 1);
}
