#include "jsonparts.h"

#include <gtest/gtest.h>

#include <string>

using namespace RadishSwitch;

using Texts = std::vector<std::string_view>;
using Members = std::vector<JsonMember>;

TEST(JsonPartsTest, array_isSplitIntoItsValues)
{
    EXPECT_EQ(splitJsonArray("[]"), Texts());
    EXPECT_EQ(splitJsonArray(" [ 1 , \"a,]\" ,{\"b\":[2,{}]}, null ] "),
              (Texts{"1", "\"a,]\"", "{\"b\":[2,{}]}", "null"}));
}

TEST(JsonPartsTest, object_isSplitIntoItsMembers)
{
    EXPECT_EQ(splitJsonObject("{}"), Members());
    EXPECT_EQ(splitJsonObject("{\"a\" : 1,\"b}\":[\"\\\"}\"] , \"\":{}}"),
              (Members{{"a", "1"}, {"b}", "[\"\\\"}\"]"}, {"", "{}"}}));
}

// Guards against one value that a parser refuses, which makes all others of its array unreadable.
TEST(JsonPartsTest, valuesThatAParserRefuses_leaveTheOthers)
{
    EXPECT_EQ(splitJsonArray("[\"\\udce9\",1e400,\"\xff\",7]"), (Texts{"\"\\udce9\"", "1e400", "\"\xff\"", "7"}));
}

TEST(JsonPartsTest, textsOfAnotherForm_areNotSplit)
{
    for (const char *text : {"", " ", "1", "{}", "[", "[1", "[1,", "[1,]", "[1 2]", "[\"a]", "[[1]", "[1]]", "[1] 2"}) {
        EXPECT_FALSE(splitJsonArray(text)) << text;
    }
    for (const char *text : {"", "[]", "{", "{1:2}", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{\"a\":1,}", "{\"a\":1}}"}) {
        EXPECT_FALSE(splitJsonObject(text)) << text;
    }
}

TEST(JsonPartsTest, depth_countsNestedValues)
{
    EXPECT_EQ(jsonDepth("7"), 0U);
    EXPECT_EQ(jsonDepth("\"[[[\""), 0U);
    EXPECT_EQ(jsonDepth("[]"), 1U);
    EXPECT_EQ(jsonDepth("{\"a\":[[],{\"b\":[1]}]}"), 4U);
    EXPECT_EQ(jsonDepth(std::string(200'000, '[')), 200'000U);
}
