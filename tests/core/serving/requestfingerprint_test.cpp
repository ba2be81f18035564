#include "serving/requestfingerprint.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

TEST(RequestFingerprintTest, fingerprints_ofSameContent_areEqual)
{
    EXPECT_EQ(RequestFingerprint::of("POST", "/a/1", "magnolia", "hello"),
              RequestFingerprint::of("POST", "/a/1", "magnolia", "hello"));
}

TEST(RequestFingerprintTest, fingerprints_differentInOnePart_differ)
{
    const RequestFingerprint fingerprint = RequestFingerprint::of("POST", "/a/1", "magnolia", "hello");
    EXPECT_NE(fingerprint, RequestFingerprint::of("GET", "/a/1", "magnolia", "hello"));
    EXPECT_NE(fingerprint, RequestFingerprint::of("POST", "/a/2", "magnolia", "hello"));
    EXPECT_NE(fingerprint, RequestFingerprint::of("POST", "/a/1", "tourbillon", "hello"));
    EXPECT_NE(fingerprint, RequestFingerprint::of("POST", "/a/1", "magnolia", "hello "));
}

TEST(RequestFingerprintTest, fingerprints_bytesMovedBetweenParts_differ)
{
    EXPECT_NE(RequestFingerprint::of("POST", "/a", "magnolia", "x"),
              RequestFingerprint::of("POST", "/am", "agnolia", "x"));
}

TEST(RequestFingerprintTest, fingerprint_writtenAndParsed_isEqual)
{
    const RequestFingerprint fingerprint = RequestFingerprint::of("POST", "/a/1", "magnolia", "");
    EXPECT_EQ(RequestFingerprint::parse(fingerprint.toString()), fingerprint);
}

TEST(RequestFingerprintTest, malformedText_parsed_isRefused)
{
    EXPECT_EQ(RequestFingerprint::parse(""), std::nullopt);
    EXPECT_EQ(RequestFingerprint::parse("0123"), std::nullopt);
    EXPECT_EQ(RequestFingerprint::parse(std::string(32, 'g')), std::nullopt);
    EXPECT_EQ(RequestFingerprint::parse(" 0x0000000000000000000000000000 "), std::nullopt);
}
