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
    EXPECT_TRUE(versions.announcedWithoutNeed().empty());
    versions.removeOld(at(end));
    EXPECT_EQ(versions.onlyVersion(pool), second);
    EXPECT_TRUE(versions.hasSeveral(pool)) << "the others still count on the announcement";
    EXPECT_EQ(versions.announcedWithoutNeed(), std::vector<PoolId>{pool});
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
