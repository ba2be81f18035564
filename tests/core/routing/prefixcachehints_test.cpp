#include "routing/prefixcachehints.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

class PrefixCacheHintsTest : public testing::Test
{
protected:
    static constexpr EndpointSlot kSlot = 3;
    PrefixCacheHints m_hints;
};

// Events 1 and 2 arrive, 3 is lost, 4 arrives: the lost one may have been the eviction of all that is known. Work drawn
// there by a stale hint computes its whole prompt anew, in a queue that others have joined for the same reason.
TEST_F(PrefixCacheHintsTest, applyEvents_gap_dropsWhatWasKnown)
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

// An event comes twice, or late after a later one: taken again, a store would undo the eviction that followed it.
TEST_F(PrefixCacheHintsTest, applyEvents_oldSequence_isIgnored)
{
    m_hints.applyEvents(kSlot, {{1, true, {11}}, {2, false, {11}}, {1, true, {11}}});

    EXPECT_EQ(m_hints.cachedBlocks(kSlot, {11}), 0u);
}

TEST_F(PrefixCacheHintsTest, holders_manyEndpoints_givesThoseThatHoldTheMost)
{
    m_hints.noteDispatched(1, {11});
    m_hints.noteDispatched(2, {11, 12});

    EXPECT_EQ(m_hints.holders({11, 12, 13}, 2), (absl::InlinedVector<EndpointSlot, 4>{2}));
}

// An endpoint that no event ever comes from would fill the memory with what was sent there.
TEST_F(PrefixCacheHintsTest, noteDispatched_withoutEnd_keepsTheLatestOnly)
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
