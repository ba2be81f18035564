#include "systemrandom.h"

#include <gtest/gtest.h>

#include <set>

using namespace RadishSwitch;

TEST(SystemRandomTest, below_bound_staysBelow)
{
    SystemRandom random;
    for (int n = 0; n < 1000; ++n) {
        EXPECT_LT(random.below(7), 7u);
    }
    EXPECT_EQ(random.below(0), 0u);
}

TEST(SystemRandomTest, fraction_manyDrawn_liesInUnitInterval)
{
    SystemRandom random;
    for (int n = 0; n < 1000; ++n) {
        const double drawn = random.fraction();
        EXPECT_GE(drawn, 0.0);
        EXPECT_LT(drawn, 1.0);
    }
}

TEST(SystemRandomTest, freshName_manyDrawn_areSixteenDigitsAndDiffer)
{
    constexpr std::size_t kNames = 1000;
    SystemRandom random;
    std::set<std::string> names;
    for (std::size_t n = 0; n < kNames; ++n) {
        names.insert(random.freshName());
    }
    EXPECT_EQ(names.size(), kNames);
    EXPECT_EQ(names.begin()->size(), 16u);
    EXPECT_EQ(names.begin()->find_first_not_of("0123456789abcdef"), std::string::npos);
}
