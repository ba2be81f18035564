#include "base/failure.h"
#include "names.h"
#include "peerentry.h"
#include "platformcatalogue.h"
#include "platformendpointreport.h"
#include "seededrandom.h"
#include "serving/crashreportformat.h"
#include "storeanswerreader.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>

using namespace RadishSwitch;

using Json = nlohmann::json;

/// Answers of the store that hold objects of other writers beside those of endpoints.
class StoreAnswerReaderTest : public testing::Test
{
protected:
    static inline const std::string kPrefix = PlatformNames::kEndpointPrefix;

    static std::string soundSpec()
    {
        return R"({"service":"llm","address":"10.0.0.1:8000","zone":"a","slots":4,"state":"ready","sequence":1,)"
               R"("cold-remaining-ms":0,"version":"v1","born":1000})";
    }

    static std::string objectText(const std::string &name, const std::string &spec)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":7},"spec":)" + spec + "}";
    }

    /// Objects and events of a list around one of another writer.
    static std::string pageWith(const std::string &foreign)
    {
        return R"({"at":9,"has-more":false,"entries":[)" + objectText("i-1", soundSpec()) + "," + foreign + ","
            + objectText("i-2", soundSpec()) + "]}";
    }

    static std::string eventsWith(const std::string &foreign)
    {
        return R"({"events":[{"object":)" + objectText("i-1", soundSpec()) + R"(},{"object":)" + foreign
            + R"(},{"object":)" + objectText("i-2", soundSpec()) + R"(,"deleted":true}],"at":9})";
    }

    /// The names of the endpoints that can be used, but for the one of another writer.
    std::vector<std::string> soundIn(const std::vector<StoredObject> &objects) const
    {
        std::vector<std::string> names;
        for (const StoredObject &object : objects) {
            const std::string name = object.key.substr(kPrefix.size());
            if (name != "foreign" && catalogue.readEndpoint(object).ok()) {
                names.push_back(name);
            }
        }
        return names;
    }

    void expectOthersHold(const std::string &foreign) const
    {
        const std::string shown = foreign.substr(0, 120);
        const auto page = StoreAnswerReader::readPage(kPrefix, pageWith(foreign));
        ASSERT_TRUE(page.ok()) << page.status() << shown;
        EXPECT_EQ(soundIn(page->changes.objects), (std::vector<std::string>{"i-1", "i-2"})) << shown;
        EXPECT_EQ(page->lastName, "i-2");
        const auto changes = StoreAnswerReader::readEvents(kPrefix, eventsWith(foreign));
        ASSERT_TRUE(changes.ok()) << changes.status() << shown;
        EXPECT_EQ(soundIn(changes->objects), (std::vector<std::string>{"i-1", "i-2"})) << shown;
        EXPECT_EQ(changes->objects.back().version, 0U) << shown;
    }

    const PlatformCatalogue catalogue;
};

// Guards against one entry of another writer that hides all others, or ends the process.
TEST_F(StoreAnswerReaderTest, valuesThatCannotBeRead_costNoOtherObject)
{
    const std::string deep(200'000, '[');
    const std::string specs[] = {
        R"({"zone":"\udce9t\udce9"})",
        R"({"slots":1e400})",
        "{\"zone\":\"\xe9t\xe9\"}",
        R"({"slots":)" + deep + std::string(deep.size(), ']') + "}",
        R"({"zone":")" + std::string(1'000'000, 'z') + R"("})",
        "{\"zone\":\"\x01\"}",
        "7",
        "null",
        "[]",
        R"({"born":"\ud800"})",
    };
    for (const std::string &spec : specs) {
        const std::string foreign = objectText("foreign", spec);
        expectOthersHold(foreign);
        const auto object = StoreAnswerReader::readObject(kPrefix, foreign);
        ASSERT_TRUE(object.ok()) << object.status();
        EXPECT_FALSE(catalogue.readEndpoint(*object).ok());
    }
}

TEST_F(StoreAnswerReaderTest, objectsWithoutNameOrRevision_costNoOtherObject)
{
    for (const char *foreign :
         {"null", "7", "[]", "{}", R"({"metadata":{}})", R"({"metadata":{"name":7,"revision":1}})",
          R"({"metadata":{"name":"x"}})", R"({"metadata":{"name":"\ud800","revision":7},"spec":{}})",
          R"({"metadata":{"name":"x","revision":"y"},"spec":{}})", R"({"spec":{}})"}) {
        expectOthersHold(foreign);
    }
}

// Guards against a sound entry that is lost for what another writer has added to its metadata.
TEST_F(StoreAnswerReaderTest, unreadableMembersOfMetadata_leaveTheObject)
{
    const auto object = StoreAnswerReader::readObject(
        kPrefix,
        R"({"metadata":{"finalizers":["\ud800",1e400],"name":"i-1","revision":7},"spec":)" + soundSpec() + "}");
    ASSERT_TRUE(object.ok()) << object.status();
    EXPECT_EQ(object->version, 7U);
    EXPECT_TRUE(catalogue.readEndpoint(*object).ok());
    const auto revision = StoreAnswerReader::readRevision(
        "news/x", R"({"metadata":{"finalizers":["\ud800"],"name":"x","revision":8},"spec":{"a":1e400}})");
    ASSERT_TRUE(revision.ok()) << revision.status();
    EXPECT_EQ(*revision, 8U);
}

// Guards against an endpoint that is used by its last readable entry after another writer has overwritten it.
TEST_F(StoreAnswerReaderTest, unreadableValue_hasItsKeyAndNoValue)
{
    const auto changes =
        StoreAnswerReader::readEvents(kPrefix,
                                      R"({"events":[{"object":)" + objectText("i-1", soundSpec()) + R"(},{"object":)"
                                          + objectText("i-1", R"({"slots":1e400})") + R"(}],"at":9})");
    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_EQ(changes->objects, (std::vector<StoredObject>{{kPrefix + "i-1", "", 7}}));
    const auto object = StoreAnswerReader::readObject(kPrefix, objectText("i-1", R"({"slots":1e400})"));
    ASSERT_TRUE(object.ok()) << object.status();
    EXPECT_EQ(*object, (StoredObject{kPrefix + "i-1", "", 7}));
}

TEST_F(StoreAnswerReaderTest, answersOfAnotherForm_areMalformed)
{
    for (const char *body : {"", "null", "[]", "{}", R"({"at":9})", R"({"at":"x","entries":[],"events":[]})",
                             R"({"at":9,"entries":{},"events":{}})", R"({"at":9,"entries":[,"events":[)", "<html>"}) {
        EXPECT_EQ(failureCode(StoreAnswerReader::readPage(kPrefix, body).status()), FailureCode::ObjectMalformed)
            << body;
        EXPECT_EQ(failureCode(StoreAnswerReader::readEvents(kPrefix, body).status()), FailureCode::ObjectMalformed)
            << body;
    }
    EXPECT_EQ(failureCode(StoreAnswerReader::readObject(kPrefix, "{}").status()), FailureCode::ObjectMalformed);
}

// Guards against messages and log lines as long as what another writer has written.
TEST_F(StoreAnswerReaderTest, messagesOfUnreadableValues_areShort)
{
    constexpr std::size_t kMaximumMessageBytes = 500;
    const std::string text(100'000, 'x');
    Json spec = Json::parse(soundSpec());
    for (const char *member : {"address", "state", "slots"}) {
        Json foreign = spec;
        foreign[member] = text;
        const auto listing = catalogue.readEndpoint({kPrefix + "i-1", foreign.dump(), 7});
        EXPECT_LT(listing.status().message().size(), kMaximumMessageBytes) << member;
    }
    EXPECT_LT(readPeerEntry(Json{{"address", "a"}, {"kind", text}}.dump()).status().message().size(),
              kMaximumMessageBytes);
    EXPECT_LT(readPeerEntry("{\"address\":" + text).status().message().size(), kMaximumMessageBytes);
}

/// Documents drawn from a seed, before all that reads what others have written.
class ForeignDocumentsTest : public StoreAnswerReaderTest
{
protected:
    template<std::size_t N>
    const char *anyOf(const std::array<const char *, N> &texts)
    {
        return texts[random.below(N)];
    }

    std::string anyString()
    {
        static constexpr std::array<const char *, 12> kPieces{"a",     "\\udce9", "\\ud83d\\ude00", "\\n",
                                                              "\xff",  "\xc3",    "\\u0000",        "10.0.0.1:80",
                                                              "ready", "}]",      "\\\"",           "\\\\"};
        std::string text;
        for (std::uint64_t n = random.below(6); n > 0; --n) {
            text += anyOf(kPieces);
        }
        return '"' + text + '"';
    }

    std::string anyScalar()
    {
        static constexpr std::array<const char *, 14> kScalars{"0",
                                                               "-1",
                                                               "1e400",
                                                               "-1e400",
                                                               "1e-400",
                                                               "18446744073709551615",
                                                               "18446744073709551616",
                                                               "-9223372036854775809",
                                                               "0.5",
                                                               "true",
                                                               "false",
                                                               "null",
                                                               "1e18",
                                                               "4294967296"};
        return random.below(2) == 0 ? anyString() : std::string(anyOf(kScalars));
    }

    std::string anyName()
    {
        static constexpr std::array<const char *, 24> kNames{
            "service", "address",  "zone",     "slots",      "state",   "sequence", "cold-remaining-ms",
            "version", "born",     "routes",   "services",   "tenants", "limits",   "kind",
            "weight",  "crashed",  "answered", "exonerated", "prompt",  "queued",   "active",
            "kv-used", "kv-total", "runs"};
        return random.below(8) == 0 ? anyString() : '"' + std::string(anyOf(kNames)) + '"';
    }

    std::string anyValue(int depth)
    {
        constexpr int kMaximumDepth = 5;
        const std::uint64_t kind = depth >= kMaximumDepth ? 0 : random.below(5);
        if (kind < 2) {
            return anyScalar();
        }
        if (kind == 2 && random.below(50) == 0) {
            const std::size_t deep = 1 + random.below(100'000);
            return std::string(deep, '[') + std::string(deep, ']');
        }
        std::string text;
        for (std::uint64_t n = random.below(8); n > 0; --n) {
            text += text.empty() ? "" : ",";
            text += kind == 3 ? anyValue(depth + 1) : anyName() + ":" + anyValue(depth + 1);
        }
        return kind == 3 ? "[" + text + "]" : "{" + text + "}";
    }

    /// A sound entry with some members of other values.
    std::string mutatedSpec()
    {
        Json spec = Json::parse(soundSpec());
        std::string text;
        for (const auto &[name, value] : spec.items()) {
            const std::uint64_t kind = random.below(4);
            if (kind == 0) {
                continue;
            }
            text += text.empty() ? "" : ",";
            text += Json(name).dump() + ":" + (kind == 1 ? anyValue(1) : value.dump());
        }
        return "{" + text + "}";
    }

    /// Any bytes, most of them of a JSON text.
    std::string anyBytes()
    {
        static constexpr std::string_view kBytes = "{}[]\":,\\u0dce9truefalsn1.-+ \n\x01\xff";
        std::string text;
        for (std::uint64_t n = random.below(200); n > 0; --n) {
            text += kBytes[random.below(kBytes.size())];
        }
        return text;
    }

    void readAll(const std::string &text) const
    {
        (void)catalogue.readEndpoint({kPrefix + "foreign", text, 7});
        (void)catalogue.readConfiguration({PlatformNames::kConfigurationKey, text, 7});
        (void)catalogue.cordonedZoneOf(std::string(PlatformNames::kCordonPrefix) + text);
        (void)readCrashReport(text);
        (void)readPeerEntry(text);
        (void)readEndpointReport(text);
        (void)readEndpointStart(text);
        (void)StoreAnswerReader::readObject(kPrefix, text);
        (void)StoreAnswerReader::readPage(kPrefix, text);
        (void)StoreAnswerReader::readEvents(kPrefix, text);
    }

    SeededRandom random{1};
};

// Guards against documents of other writers that end the process, throw past their reader or hide others. The
// environment variable sets the number of documents of a longer search.
TEST_F(ForeignDocumentsTest, anyDocument_costsNoOtherAndEndsNothing)
{
    constexpr int kDocuments = 2'000;
    const char *chosen = std::getenv("RADISHSWITCH_FOREIGN_DOCUMENTS");
    const int documents = chosen ? std::atoi(chosen) : kDocuments;
    for (int n = 0; n < documents && !HasFatalFailure(); ++n) {
        const std::string spec = random.below(2) == 0 ? mutatedSpec() : anyValue(0);
        expectOthersHold(objectText("foreign", spec));
        const auto object = StoreAnswerReader::readObject(kPrefix, objectText("foreign", spec));
        ASSERT_TRUE(object.ok()) << object.status();
        readAll(object->value);
        readAll(anyBytes());
    }
}
