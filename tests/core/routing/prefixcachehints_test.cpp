#include "routing/prefixcachehints.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class PrefixCacheHintsTest : public testing::Test
{
protected:
    static constexpr EndpointSlot kSlot = 3;
    PrefixCacheHints m_hints;
};

// Events 1 and 2 arrive, 3 is lost, 4 arrives. The lost event may have been the eviction of all known prefixes. A
// request sent to the endpoint because of an old hint would compute its whole prompt again, in a queue with other
// requests sent there for the same reason.
TEST_F(PrefixCacheHintsTest, applyEvents_gapInSequence_dropsAllHints)
{
    m_hints.applyEvents(kSlot, {{1, true, {11, 12}}, {2, true, {13}}});
    EXPECT_EQ(m_hints.cachedBlocks(kSlot, {11, 12, 13, 14}), 3u);

    m_hints.applyEvents(kSlot, {{4, true, {21}}});
    EXPECT_EQ(m_hints.cachedBlocks(kSlot, {11, 12, 13, 14}), 0u);
    EXPECT_EQ(m_hints.cachedBlocks(kSlot, {21}), 1u);
}

TEST_F(PrefixCacheHintsTest, applyEvents_evicted_isNotHeldAnyMore)
{
    m_hints.applyEvents(kSlot, {{1, true, {11, 12}}, {2, false, {12}}});

    EXPECT_EQ(m_hints.cachedBlocks(kSlot, {11, 12}), 1u);
}

// An event arrives twice, or late after a newer one. If it were applied again, a stored prefix would come back although
// a later event evicted it.
TEST_F(PrefixCacheHintsTest, applyEvents_oldSequence_isIgnored)
{
    m_hints.applyEvents(kSlot, {{1, true, {11}}, {2, false, {11}}, {1, true, {11}}});

    EXPECT_EQ(m_hints.cachedBlocks(kSlot, {11}), 0u);
}

TEST_F(PrefixCacheHintsTest, holders_severalEndpoints_returnsThoseWithLongestPrefix)
{
    m_hints.noteDispatched(1, {11});
    m_hints.noteDispatched(2, {11, 12});

    EXPECT_EQ(m_hints.holders({11, 12, 13}, 2), (absl::InlinedVector<EndpointSlot, 4>{2}));
}

// An endpoint never sends cache events. Without a limit, the hashes of all prompts sent there would fill the memory.
TEST_F(PrefixCacheHintsTest, noteDispatched_moreHashesThanLimit_keepsTheLatest)
{
    for (std::uint64_t i = 1; i <= 3 * PrefixCacheHints::kHashesPerEndpoint; ++i) {
        m_hints.noteDispatched(kSlot, {i});
    }

    EXPECT_EQ(m_hints.hashCount(), PrefixCacheHints::kHashesPerEndpoint);
}

TEST_F(PrefixCacheHintsTest, prefixChainHashes_sharedPrefix_shareLeadingHashesOnly)
{
    const std::string shared(2 * kPrefixBlockBytes, 'x');
    const std::string tail(kPrefixBlockBytes, 'y');
    const std::vector<std::uint64_t> one = prefixChainHashes("drape", shared + tail + "rest");
    const std::vector<std::uint64_t> two = prefixChainHashes("drape", shared + shared);

    ASSERT_EQ(one.size(), 3u);
    EXPECT_EQ(one[1], two[1]);
    EXPECT_NE(one[2], two[2]);
    EXPECT_NE(one[0], prefixChainHashes("patter", shared)[0]);
}
