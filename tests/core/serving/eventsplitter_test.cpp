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

// Guards against a resumed run whose events never get beyond what the caller has: its ids must increase like all
// others.
TEST_F(EventSplitterTest, take_resumedRunRepeatsItsIds_hasGap)
{
    EventSplitter splitter;
    splitter.take(event(1) + event(2) + event(3));
    splitter.restart();
    EXPECT_EQ(splitter.take(event(2) + event(2)), "");
    EXPECT_TRUE(splitter.hasGap());
}

TEST_F(EventSplitterTest, take_resumedRunGoesBack_hasGap)
{
    EventSplitter splitter;
    splitter.take(event(1) + event(2) + event(3));
    splitter.restart();
    EXPECT_EQ(splitter.take(event(2) + event(1)), "");
    EXPECT_TRUE(splitter.hasGap());
}

// Guards against events whose place in the stream can't be told: nothing could be continued behind them.
TEST_F(EventSplitterTest, take_idIsNoNumber_hasGap)
{
    for (const std::string id : {"", "two", "-1", "1.5", "99999999999999999999"}) {
        EventSplitter splitter;
        EXPECT_EQ(splitter.take(event(1) + "id: " + id + "\ndata: x\n\n"), event(1));
        EXPECT_TRUE(splitter.hasGap()) << id;
    }
}

// Guards against repeating what stands between two events: of a resumed run, text without an id belongs to the event
// before it, and the caller may have it.
TEST_F(EventSplitterTest, take_resumedRunHasEventsWithoutId_passesOnlyThoseBehindNewEvents)
{
    const std::string comment = ": comment\n\n";
    EventSplitter splitter;
    EXPECT_EQ(splitter.take(comment + event(1) + comment + event(2) + comment),
              comment + event(1) + comment + event(2) + comment);
    splitter.restart();
    EXPECT_EQ(splitter.take(comment + event(1) + comment + event(2) + comment + event(3) + comment),
              event(3) + comment);
    EXPECT_FALSE(splitter.hasGap());
}

// Guards against an event without end, which would be kept in memory for as long as the endpoint sends.
TEST_F(EventSplitterTest, take_eventWithoutEnd_isTooLong)
{
    EventSplitter splitter;
    const std::string piece(4096, 'a');
    EXPECT_EQ(splitter.take(event(1) + "id: 2\ndata: "), event(1));
    std::size_t taken = 0;
    while (!splitter.isTooLong() && taken < 2 * EventSplitter::kMaximumEventBytes) {
        EXPECT_EQ(splitter.take(piece), "");
        taken += piece.size();
    }
    EXPECT_TRUE(splitter.isTooLong());
    EXPECT_LE(splitter.heldBytes(), EventSplitter::kMaximumEventBytes + piece.size());
}

TEST_F(EventSplitterTest, take_longEventInSmallPieces_isReturnedWhole)
{
    EventSplitter splitter;
    const std::string text = "id: 1\ndata: " + std::string(EventSplitter::kMaximumEventBytes / 2, 'a') + "\n\n";
    std::string returned;
    constexpr std::size_t kPiece = 7;
    for (std::size_t n = 0; n < text.size(); n += kPiece) {
        returned += splitter.take(std::string_view(text).substr(n, kPiece));
    }
    EXPECT_EQ(returned, text);
    EXPECT_EQ(splitter.heldBytes(), 0U);
}

// Guards against a run that repeats without end what the caller has.
TEST_F(EventSplitterTest, take_resumedRunRepeatsWithoutEnd_isTooLong)
{
    EventSplitter splitter;
    splitter.take(event(1));
    splitter.restart();
    const std::string comment = ":" + std::string(4096, 'a') + "\n\n";
    std::size_t taken = 0;
    while (!splitter.isTooLong() && taken < 2 * EventSplitter::kMaximumRepeatedBytes) {
        EXPECT_EQ(splitter.take(comment), "");
        taken += comment.size();
    }
    EXPECT_TRUE(splitter.isTooLong());
}

// Guards against events without ids that a second run sends again.
TEST_F(EventSplitterTest, take_streamWithoutIdsRunsAgain_hasGap)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.take("data: a\n\ndata: b\n\n"), "data: a\n\ndata: b\n\n");
    splitter.restart();
    EXPECT_EQ(splitter.take("data: a\n\n"), "");
    EXPECT_TRUE(splitter.hasGap());
}
