#include "serving/poolversions.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class PoolVersionsTest : public testing::Test
{
protected:
    PoolVersionsTest()
    {
        versions.setSeveralCallback([this](const PoolId &) {
            ++severalCalls;
        });
    }

    static Instant at(Duration time)
    {
        return Instant(std::chrono::seconds(1000)) + time;
    }

    bool mayBegin(const SoftwareVersion &version, Duration time) const
    {
        return versions.mayBegin(pool, version, at(time));
    }

    const PoolId pool{"llm"};
    const SoftwareVersion first{"v1"};
    const SoftwareVersion second{"v2"};
    const PoolVersionsSettings settings;
    PoolVersions versions;
    int severalCalls = 0;
};

TEST_F(PoolVersionsTest, poolOfOneVersion_hasNoSeveralAndNothingToAnnounce)
{
    versions.noteListed(pool, first, at({}));
    versions.noteListed(pool, first, at(std::chrono::seconds(1)));
    EXPECT_FALSE(versions.hasSeveral(pool));
    EXPECT_EQ(versions.onlyVersion(pool), first);
    EXPECT_TRUE(mayBegin(first, {}));
    EXPECT_TRUE(versions.unannounced().empty());
    EXPECT_EQ(severalCalls, 0);
}

// Guards against streams at a version of which another gateway has not heard, which takes the pool for one of one
// version.
TEST_F(PoolVersionsTest, furtherVersion_beginsStreamsOnlyAfterAnnouncementHasSettled)
{
    versions.noteListed(pool, first, at({}));
    versions.noteFirstListComplete();
    versions.noteListed(pool, second, at({}));
    EXPECT_EQ(severalCalls, 1);
    EXPECT_EQ(versions.unannounced(), std::vector<PoolId>{pool});
    EXPECT_TRUE(mayBegin(first, {}));
    EXPECT_FALSE(mayBegin(second, std::chrono::hours(1)));
    versions.noteAnnounced(pool, false, at({}));
    EXPECT_TRUE(versions.unannounced().empty());
    EXPECT_FALSE(mayBegin(second, settings.settling - Duration(1)));
    EXPECT_TRUE(mayBegin(second, settings.settling));
    EXPECT_TRUE(mayBegin(first, settings.settling));
}

// Guards against a restarted gateway that takes one of several versions for the one that the others know.
TEST_F(PoolVersionsTest, severalVersionsInFirstList_noneBeginsStreamsBeforeAnnouncement)
{
    versions.noteListed(pool, first, at({}));
    versions.noteListed(pool, second, at({}));
    versions.noteFirstListComplete();
    EXPECT_FALSE(mayBegin(first, {}));
    EXPECT_FALSE(mayBegin(second, {}));
}

// Guards against a gateway that refuses streams for seconds after each restart during a release.
TEST_F(PoolVersionsTest, announcedBeforeStart_streamsBeginAtOnce)
{
    versions.noteListed(pool, first, at({}));
    versions.noteListed(pool, second, at({}));
    versions.noteFirstListComplete();
    versions.noteAnnounced(pool, true, at({}));
    EXPECT_TRUE(mayBegin(first, {}));
    EXPECT_TRUE(mayBegin(second, {}));
}

// Guards against a version that is forgotten while streams that it began may still be continued.
TEST_F(PoolVersionsTest, versionWhoseEndpointsLeft_countsUntilItsMemoryEnds)
{
    versions.noteListed(pool, first, at({}));
    versions.noteListed(pool, second, at(std::chrono::seconds(1)));
    versions.noteAnnounced(pool, false, at({}));
    const Duration end = settings.memory + std::chrono::seconds(1);
    versions.noteListed(pool, second, at(end));
    versions.removeOld(at(settings.memory));
    EXPECT_EQ(versions.onlyVersion(pool), std::nullopt);
    EXPECT_TRUE(versions.announcedWithoutNeed(at(settings.memory)).empty());
    versions.removeOld(at(end));
    EXPECT_EQ(versions.onlyVersion(pool), second);
    EXPECT_TRUE(versions.hasSeveral(pool)) << "the others still count on the announcement";
    EXPECT_EQ(versions.announcedWithoutNeed(at(end)), std::vector<PoolId>{pool});
    versions.noteWithdrawn(pool);
    EXPECT_FALSE(versions.hasSeveral(pool));
    EXPECT_TRUE(mayBegin(second, end));
}

// Guards against a withdrawal by a gateway that has not seen the new version yet.
TEST_F(PoolVersionsTest, withdrawnWhileSeveralServe_isAnnouncedAgain)
{
    versions.noteListed(pool, first, at({}));
    versions.noteListed(pool, second, at({}));
    versions.noteAnnounced(pool, true, at({}));
    versions.noteWithdrawn(pool);
    EXPECT_EQ(severalCalls, 2);
    EXPECT_EQ(versions.unannounced(), std::vector<PoolId>{pool});
    EXPECT_FALSE(mayBegin(second, {}));
}

// Guards against streams that begin before it is known whether others rely on another version.
TEST_F(PoolVersionsTest, announcementsNotYetRead_noStreamsBegin)
{
    versions.awaitAnnouncements();
    versions.noteListed(pool, first, at({}));
    EXPECT_FALSE(mayBegin(first, {}));
    versions.noteAnnouncementsListed();
    EXPECT_TRUE(mayBegin(first, {}));
}

// Guards against a restarted gateway that takes the version that it finds for the one of which the others know.
TEST_F(PoolVersionsTest, otherVersionEstablished_onlyListedVersionIsAFurtherOne)
{
    versions.noteEstablished(pool, first);
    versions.noteListed(pool, second, at({}));
    versions.noteFirstListComplete();
    EXPECT_TRUE(versions.hasSeveral(pool));
    EXPECT_EQ(versions.unannounced(), std::vector<PoolId>{pool});
    EXPECT_FALSE(mayBegin(second, {}));
    versions.noteAnnounced(pool, false, at({}));
    EXPECT_FALSE(mayBegin(second, settings.settling - Duration(1)));
    EXPECT_TRUE(mayBegin(second, settings.settling));
}

// Guards against a gateway that starts just after the announcement and begins streams of which others do not know yet.
TEST_F(PoolVersionsTest, announcedBeforeStart_furtherVersionSettlesWhileTheEstablishedOneIsListed)
{
    versions.noteEstablished(pool, first);
    versions.noteAnnounced(pool, true, at({}));
    versions.noteListed(pool, second, at({}));
    EXPECT_TRUE(mayBegin(second, {}));
    versions.noteListed(pool, first, at({}));
    EXPECT_TRUE(mayBegin(first, {}));
    EXPECT_FALSE(mayBegin(second, {}));
    EXPECT_TRUE(mayBegin(second, settings.settling));
}

TEST_F(PoolVersionsTest, firstStart_onlyVersionIsEstablishedOnce)
{
    versions.noteListed(pool, first, at({}));
    EXPECT_TRUE(versions.unestablished(false, at({})).empty()) << "another version may have served before";
    EXPECT_EQ(versions.unestablished(true, at({})), (std::vector<PoolVersion>{{pool, first}}));
    EXPECT_EQ(versions.unestablished(false, at(settings.memory)), (std::vector<PoolVersion>{{pool, first}}));
    versions.noteEstablished(pool, first);
    EXPECT_TRUE(versions.unestablished(true, at(settings.memory)).empty());
    versions.noteEstablishedLost(pool);
    EXPECT_EQ(versions.unestablished(false, at({})), (std::vector<PoolVersion>{{pool, first}}));
}

// Guards against an established version that changes while streams that began at it may still be continued.
TEST_F(PoolVersionsTest, establishedVersionLeaves_isReplacedAfterItsMemoryEnds)
{
    versions.noteEstablished(pool, first);
    versions.noteListed(pool, first, at({}));
    versions.noteListed(pool, second, at(std::chrono::seconds(1)));
    versions.noteAnnounced(pool, false, at(std::chrono::seconds(1)));
    const Duration end = settings.memory + std::chrono::seconds(1);
    versions.noteListed(pool, second, at(settings.memory));
    versions.removeOld(at(settings.memory));
    EXPECT_TRUE(versions.unestablished(true, at(settings.memory)).empty());
    versions.noteListed(pool, second, at(end));
    versions.removeOld(at(end));
    EXPECT_TRUE(versions.announcedWithoutNeed(at(end)).empty()) << "the established version is still another one";
    EXPECT_EQ(versions.unestablished(false, at(end)), (std::vector<PoolVersion>{{pool, second}}));
    versions.noteEstablished(pool, second);
    EXPECT_EQ(versions.announcedWithoutNeed(at(end)), std::vector<PoolId>{pool});
}

// Guards against a withdrawal by a gateway that has just started and does not see the other version yet.
TEST_F(PoolVersionsTest, justStarted_withdrawsNothing)
{
    versions.noteAnnounced(pool, true, at({}));
    versions.noteListed(pool, first, at({}));
    EXPECT_TRUE(versions.announcedWithoutNeed(at(settings.memory - Duration(1))).empty());
    EXPECT_EQ(versions.announcedWithoutNeed(at(settings.memory)), std::vector<PoolId>{pool});
}
