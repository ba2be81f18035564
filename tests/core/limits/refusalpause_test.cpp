#include "limits/refusalpause.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class RefusalPauseTest : public testing::Test
{
protected:
    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::milliseconds(milliseconds));
    }

    RefusalPause pause;
};

TEST_F(RefusalPauseTest, noteRefused_repeatedRefusals_doublePauseUpToASecond)
{
    int now = 0;
    for (const int span : {25, 50, 100, 200, 400, 800, 1000, 1000}) {
        pause.noteRefused({}, at(now));
        EXPECT_TRUE(pause.isActive(at(now + span - 1)));
        now += span;
        EXPECT_FALSE(pause.isActive(at(now)));
    }
    pause.noteAccepted(at(now));
    pause.noteRefused({}, at(now));
    EXPECT_FALSE(pause.isActive(at(now + 25)));
}

// Guards against counting calls that were refused together as many refusals in a row.
TEST_F(RefusalPauseTest, noteRefused_callsRefusedTogether_countOnce)
{
    pause.noteRefused({}, at(0));
    pause.noteRefused({}, at(1));
    pause.noteRefused({}, at(2));
    EXPECT_FALSE(pause.isActive(at(25)));
}

// Guards against long answers that go on after a refusal and make the endpoint look as if it accepted new calls.
TEST_F(RefusalPauseTest, noteAccepted_callSentBeforeTheRefusal_keepsPause)
{
    pause.noteRefused({}, at(100));
    pause.noteAccepted(at(50));
    EXPECT_TRUE(pause.isActive(at(110)));
    pause.noteAccepted(at(105));
    EXPECT_FALSE(pause.isActive(at(110)));
}
