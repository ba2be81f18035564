#include "serving/requestfingerprint.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

TEST(RequestFingerprintTest, sameContent_isEqual)
{
    EXPECT_EQ(RequestFingerprint::of("POST", "/a/1", "magnolia", "hello"),
              RequestFingerprint::of("POST", "/a/1", "magnolia", "hello"));
}

TEST(RequestFingerprintTest, eachDifferentPart_differs)
{
    const RequestFingerprint one = RequestFingerprint::of("POST", "/a/1", "magnolia", "hello");
    EXPECT_NE(one, RequestFingerprint::of("GET", "/a/1", "magnolia", "hello"));
    EXPECT_NE(one, RequestFingerprint::of("POST", "/a/2", "magnolia", "hello"));
    EXPECT_NE(one, RequestFingerprint::of("POST", "/a/1", "tourbillon", "hello"));
    EXPECT_NE(one, RequestFingerprint::of("POST", "/a/1", "magnolia", "hello "));
}

TEST(RequestFingerprintTest, bytesMovedBetweenParts_differ)
{
    EXPECT_NE(RequestFingerprint::of("POST", "/a", "magnolia", "x"),
              RequestFingerprint::of("POST", "/am", "agnolia", "x"));
}

TEST(RequestFingerprintTest, text_isReadBack)
{
    const RequestFingerprint one = RequestFingerprint::of("POST", "/a/1", "magnolia", "");
    EXPECT_EQ(RequestFingerprint::parse(one.toString()), one);
}

TEST(RequestFingerprintTest, textThatIsNone_isRefused)
{
    EXPECT_EQ(RequestFingerprint::parse(""), std::nullopt);
    EXPECT_EQ(RequestFingerprint::parse("0123"), std::nullopt);
    EXPECT_EQ(RequestFingerprint::parse(std::string(32, 'g')), std::nullopt);
    EXPECT_EQ(RequestFingerprint::parse(" 0x0000000000000000000000000000 "), std::nullopt);
}
