#include "serving/eventsplitter.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class EventSplitterTest : public testing::Test
{
protected:
    static std::string event(int id)
    {
        return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
    }
};

TEST_F(EventSplitterTest, take_bytesInAnyPieces_returnsWholeEventsOnly)
{
    const std::string text = event(1) + event(2) + event(3);
    for (std::size_t size = 1; size < text.size(); ++size) {
        EventSplitter splitter;
        std::string returned;
        for (std::size_t n = 0; n < text.size(); n += size) {
            const std::string piece = splitter.take(text.substr(n, size));
            returned += piece;
            EXPECT_TRUE(piece.empty() || piece.ends_with("\n\n"));
        }
        EXPECT_EQ(returned, text);
        EXPECT_EQ(splitter.count(), 3);
        EXPECT_TRUE(splitter.isBetweenEvents());
    }
}

// Guards against repeated events. An endpoint breaks off inside the third event, and another continues after the first.
// The caller has two events and must get the third next, once.
TEST_F(EventSplitterTest, take_streamResumedTooEarly_repeatsNoEvent)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.take(event(1) + event(2) + "id: 3\nda"), event(1) + event(2));
    EXPECT_FALSE(splitter.isBetweenEvents());
    splitter.restart();
    EXPECT_EQ(splitter.take(event(2) + event(3)), event(3));
    EXPECT_EQ(splitter.lastEvent(), 3U);
}

TEST_F(EventSplitterTest, take_streamResumedTooLate_hasGapAndReturnsNothingAfterIt)
{
    EventSplitter splitter;
    splitter.take(event(1));
    splitter.restart();
    EXPECT_EQ(splitter.take(event(3) + event(4)), "");
    EXPECT_TRUE(splitter.hasGap());
    EXPECT_EQ(splitter.lastEvent(), 1U);
}

TEST_F(EventSplitterTest, take_callerHasLastEvent_continuesAfterIt)
{
    EventSplitter splitter(12);
    EXPECT_EQ(splitter.take(event(13)), event(13));
    EXPECT_EQ(splitter.count(), 1);
}
