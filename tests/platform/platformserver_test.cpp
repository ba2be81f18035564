#include "../net/loopbackfixture.h"
#include "base/failure.h"
#include "httpobjectstore.h"
#include "platformserver.h"

#include <gmock/gmock.h>
#include <nlohmann/json.hpp>

using namespace RadishSwitch;

namespace
{

constexpr char kInstance[] =
    R"({"name":"i1","role":"agent","address":"10.0.0.1:1","zone":"z","region":"r","pool":"p","state":"live"})";

PlatformSettings settingsOfTest()
{
    PlatformSettings settings;
    settings.hasControlPort = true;
    return settings;
}

}

class PlatformServerTest : public LoopbackFixture
{
protected:
    PlatformServerTest()
        : platform(workers, settingsOfTest())
    {
        EXPECT_TRUE(platform.listen().ok());
        store = std::make_unique<HttpObjectStore>(workers, address());
    }

    ~PlatformServerTest() override
    {
        workers.stop();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(platform.port());
    }

    /// Calls `member` of the store and waits for its answer.
    template<typename Answer, typename Member, typename... Arguments>
    Answer call(Member member, const Arguments &...arguments)
    {
        std::promise<Answer> promise;
        (store.get()->*member)(arguments..., [&promise](Answer answer) {
            promise.set_value(std::move(answer));
        });
        return promise.get_future().get();
    }

    absl::StatusOr<StoredObject> get(const std::string &key)
    {
        return call<absl::StatusOr<StoredObject>>(&ObjectStore::get, key);
    }

    absl::StatusOr<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t version = 0)
    {
        return call<absl::StatusOr<std::uint64_t>>(&ObjectStore::put, key, value, version);
    }

    absl::Status remove(const std::string &key, std::uint64_t version)
    {
        return call<absl::Status>(&ObjectStore::remove, key, version);
    }

    absl::StatusOr<StoreChanges> list(const std::string &prefix)
    {
        return call<absl::StatusOr<StoreChanges>>(&ObjectStore::list, prefix);
    }

    std::future<absl::StatusOr<StoreChanges>> watch(const std::string &prefix, std::uint64_t fromVersion)
    {
        const auto promise = std::make_shared<std::promise<absl::StatusOr<StoreChanges>>>();
        store->watch(prefix, fromVersion, [promise](absl::StatusOr<StoreChanges> changes) {
            promise->set_value(std::move(changes));
        });
        return promise->get_future();
    }

    HttpResponse control(const std::string &path, const std::string &body)
    {
        HttpRequest request;
        request.method = body.empty() ? "GET" : "POST";
        request.target = "/standin/" + path;
        request.body = body;
        const auto response = fetch("127.0.0.1:" + std::to_string(platform.controlPort()), request);
        EXPECT_TRUE(response.ok()) << response.status();
        return response.value_or(HttpResponse());
    }

    void setFaults(const std::string &faults)
    {
        EXPECT_EQ(control("faults", faults).status, 200);
    }

    nlohmann::json statistics()
    {
        return nlohmann::json::parse(control("stats", "").body);
    }

    PlatformServer platform;
    std::unique_ptr<HttpObjectStore> store;
};

TEST_F(PlatformServerTest, object_writtenReadAndRemoved_followsItsVersions)
{
    const std::string key = "budgets/shard 1/ä%";

    const auto first = put(key, "one");
    ASSERT_TRUE(first.ok()) << first.status();
    EXPECT_EQ(failureCode(put(key, "again").status()), FailureCode::VersionConflict);
    const auto second = put(key, "two", *first);
    ASSERT_TRUE(second.ok()) << second.status();
    EXPECT_EQ(failureCode(put(key, "late", *first).status()), FailureCode::VersionConflict);
    EXPECT_EQ(*get(key), (StoredObject{key, "two", *second}));
    EXPECT_EQ(failureCode(remove(key, *first)), FailureCode::VersionConflict);
    EXPECT_TRUE(remove(key, *second).ok());
    EXPECT_EQ(failureCode(get(key).status()), FailureCode::ObjectMissing);
    EXPECT_EQ(failureCode(put(key, "x", *second).status()), FailureCode::VersionConflict);
}

TEST_F(PlatformServerTest, value_aboveOneMebibyte_isTooLarge)
{
    EXPECT_TRUE(put("a", std::string(ObjectTable::kMaximumValueBytes, 'x')).ok());
    EXPECT_EQ(failureCode(put("b", std::string(ObjectTable::kMaximumValueBytes + 1, 'x')).status()),
              FailureCode::ObjectTooLarge);
}

TEST_F(PlatformServerTest, watch_changeAndRemoval_areSeenUnderThePrefixAlone)
{
    const auto base = put("table/main", "one");
    auto watched = watch("table/", *base);
    ASSERT_TRUE(put("other", "x").ok());
    const auto changed = put("table/main", "two", *base);

    const auto changes = watched.get();
    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_EQ(changes->objects, (std::vector<StoredObject>{{"table/main", "two", *changed}}));

    ASSERT_TRUE(remove("table/main", *changed).ok());
    const auto removal = watch("table/", changes->nextVersion).get();
    ASSERT_TRUE(removal.ok()) << removal.status();
    EXPECT_EQ(removal->objects, (std::vector<StoredObject>{{"table/main", "", 0}}));
}

TEST_F(PlatformServerTest, answerLost_writeTookEffect_andWriterIsToldThatItMayHave)
{
    setFaults(R"({"lose_answers":1})");

    EXPECT_EQ(failureCode(put("a", "one").status()), FailureCode::StoreTimeout);

    EXPECT_EQ(get("a")->value, "one");
    EXPECT_EQ(statistics()["lost_answers"], 1);
}

TEST_F(PlatformServerTest, away_inBothWays_isUnavailableWithoutEffectUntilBack)
{
    for (const char *away : {R"({"away":"unavailable"})", R"({"away":"refused"})"}) {
        setFaults(away);

        EXPECT_EQ(failureCode(put("a", "one").status()), FailureCode::StoreUnavailable) << away;
        EXPECT_EQ(failureCode(list("").status()), FailureCode::StoreUnavailable) << away;

        setFaults(R"({"away":"no"})");
        EXPECT_EQ(failureCode(get("a").status()), FailureCode::ObjectMissing) << away;
    }
}

TEST_F(PlatformServerTest, watchWaiting_platformGoesAway_endsAtOnce)
{
    auto watched = watch("a", 0);
    while (statistics()["calls"]["watch"] != 1) { }
    setFaults(R"({"away":true})");

    EXPECT_EQ(failureCode(watched.get().status()), FailureCode::StoreUnavailable);
}

TEST_F(PlatformServerTest, watchOpenedWhileSilent_staysSilent_andNewOnesWork)
{
    // The connection of a watch is forgotten somewhere on the way: it stays open and silent for good, while new ones
    // work. The client's own bound ends it.
    HttpObjectStoreSettings settings;
    settings.watchTimeout = kShort;
    store = std::make_unique<HttpObjectStore>(workers, address(), settings);
    setFaults(R"({"silent_watches":true})");
    ASSERT_TRUE(put("a", "one").ok());

    EXPECT_EQ(failureCode(watch("a", 0).get().status()), FailureCode::StoreTimeout);

    setFaults(R"({"silent_watches":false})");
    EXPECT_TRUE(watch("a", 0).get().ok());
}

TEST_F(PlatformServerTest, staleReads_longerThanAllHistory_showNothing)
{
    ASSERT_TRUE(put("a", "one").ok());
    setFaults(R"({"stale_reads_ms":1000000})");

    EXPECT_EQ(failureCode(get("a").status()), FailureCode::ObjectMissing);
    EXPECT_TRUE(list("")->objects.empty());
    EXPECT_EQ(list("")->nextVersion, 0);
}

TEST_F(PlatformServerTest, instances_fed_areReadOnlyObjects)
{
    EXPECT_EQ(control("instances", kInstance).status, 200);

    const auto shown = list("instances/");
    ASSERT_TRUE(shown.ok()) << shown.status();
    ASSERT_EQ(shown->objects.size(), 1);
    EXPECT_EQ(nlohmann::json::parse(shown->objects[0].value), nlohmann::json::parse(kInstance));
    EXPECT_EQ(failureCode(remove("instances/i1", shown->objects[0].version)), FailureCode::InvalidRequest);

    EXPECT_EQ(control("instances", R"({"name":"i1","remove":true})").status, 200);
    EXPECT_TRUE(list("instances/")->objects.empty());
}

TEST_F(PlatformServerTest, statistics_afterCalls_countByKindAndFirstSegment)
{
    ASSERT_TRUE(put("budgets/1", "abc").ok());
    ASSERT_TRUE(get("budgets/1").ok());
    ASSERT_TRUE(list("table/").ok());

    const nlohmann::json counts = statistics();
    EXPECT_EQ(counts["calls"]["put"], 1);
    EXPECT_EQ(counts["prefixes"]["budgets"]["get"], 1);
    EXPECT_EQ(counts["prefixes"]["table"]["list"], 1);
    EXPECT_EQ(counts["bytes_in"], 3);
}

TEST_F(PlatformServerTest, stop_watchWaiting_isAnsweredAndAllEnds)
{
    auto watched = watch("a", 0);
    while (statistics()["calls"]["watch"] != 1) { }
    std::promise<void> stopped;

    platform.stop([&stopped] {
        stopped.set_value();
    });

    EXPECT_TRUE(watched.get().ok());
    stopped.get_future().wait();
}

struct BadCall {
    const char *name;
    const char *method;
    const char *target;
    HttpHeaders headers;
    const char *body;
};

class PlatformDoorTest : public PlatformServerTest, public testing::WithParamInterface<BadCall>
{
};

TEST_P(PlatformDoorTest, badCall_isRefusedWithTypedErrorAndChangesNothing)
{
    HttpRequest request;
    request.method = GetParam().method;
    request.target = GetParam().target;
    request.headers = GetParam().headers;
    request.body = GetParam().body;

    const auto response = fetch(address(), request);

    ASSERT_TRUE(response.ok()) << response.status();
    EXPECT_GE(response->status, 400);
    EXPECT_LT(response->status, 500);
    EXPECT_THAT(response->body, testing::HasSubstr("\"code\""));
    EXPECT_EQ(list("")->nextVersion, 0);
}

INSTANTIATE_TEST_SUITE_P(
    Door, PlatformDoorTest,
    testing::Values(BadCall{"noCondition", "PUT", "/objects/a", {}, "x"},
                    BadCall{"conditionNoNumber", "PUT", "/objects/a", {{"If-Match", "x"}}, "x"},
                    BadCall{"conditionZero", "PUT", "/objects/a", {{"If-Match", "0"}}, "x"},
                    BadCall{"otherMethod", "PATCH", "/objects/a", {}, "x"},
                    BadCall{"noKey", "PUT", "/objects/", {{"If-None-Match", "*"}}, "x"},
                    BadCall{"binary", "PUT", "/objects/a", {{"If-None-Match", "*"}}, "\xff\xfe"},
                    BadCall{"escapeCutShort", "PUT", "/objects/a%4", {{"If-None-Match", "*"}}, "x"},
                    BadCall{"escapeNoHex", "GET", "/objects/a%zz", {}, ""},
                    BadCall{"watchFromNothing", "GET", "/objects?prefix=a&watch=1", {}, ""},
                    BadCall{"watchFromText", "GET", "/objects?watch=1&from=x", {}, ""},
                    BadCall{"otherPath", "GET", "/other", {}, ""},
                    BadCall{"otherControl", "POST", "/standin/other", {}, "{}"},
                    BadCall{"faultsNoJson", "POST", "/standin/faults", {}, "away"},
                    BadCall{"faultsList", "POST", "/standin/faults", {}, "[]"},
                    BadCall{"faultUnknown", "POST", "/standin/faults", {}, R"({"gone":true})"},
                    BadCall{"faultWrongType", "POST", "/standin/faults", {}, R"({"latency_ms":"5"})"},
                    BadCall{"faultNegative", "POST", "/standin/faults", {}, R"({"latency_ms":-5})"},
                    BadCall{"shareAboveOne", "POST", "/standin/faults", {}, R"({"lose_answer_share":1.5})"},
                    BadCall{"instanceNoName", "POST", "/standin/instances", {}, "{}"},
                    BadCall{"instanceHalf", "POST", "/standin/instances", {}, R"({"name":"a","role":"agent"})"},
                    BadCall{"instanceRole",
                            "POST",
                            "/standin/instances",
                            {},
                            R"({"name":"a","role":"x","address":"","zone":"","region":"","pool":"","state":"live"})"}),
    [](const auto &info) {
        return std::string(info.param.name);
    });
