#include "base/failure.h"
#include "httpobjectstore.h"
#include "loopbackfixture.h"

using namespace RadishSwitch;

namespace
{

template<typename T>
std::function<void(T)> fulfil(std::promise<T> &promise)
{
    return [&promise](T result) {
        promise.set_value(std::move(result));
    };
}

}

class HttpObjectStoreTest : public LoopbackFixture
{
protected:
    /// A platform that gives the same answer to each call.
    std::string answering(HttpResponse response)
    {
        return serve([response](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            (void)co_await exchange.respond(response);
        });
    }

    /// A platform that takes each call and loses its answer.
    std::string losingAnswers()
    {
        return serve([](HttpExchange &exchange) -> boost::asio::awaitable<void> {
            exchange.abort();
            co_return;
        });
    }

    /// A platform that is nowhere.
    std::string away()
    {
        HttpServer &server = start([](HttpExchange &) -> boost::asio::awaitable<void> {
            co_return;
        });
        std::promise<void> drained;
        server.drain([&drained] {
            drained.set_value();
        });
        drained.get_future().wait();
        return addressOf(server);
    }

    absl::StatusOr<StoredObject> get(const std::string &address)
    {
        HttpObjectStore store(workers, address);
        std::promise<absl::StatusOr<StoredObject>> promise;
        store.get("a/b", fulfil(promise));
        return promise.get_future().get();
    }

    absl::StatusOr<std::uint64_t> put(const std::string &address)
    {
        HttpObjectStore store(workers, address);
        std::promise<absl::StatusOr<std::uint64_t>> promise;
        store.put("a/b", "value", 7, fulfil(promise));
        return promise.get_future().get();
    }

    absl::StatusOr<StoreChanges> watch(const std::string &address, HttpObjectStoreSettings settings = {})
    {
        HttpObjectStore store(workers, address, settings);
        std::promise<absl::StatusOr<StoreChanges>> promise;
        store.watch("a/", 7, fulfil(promise));
        return promise.get_future().get();
    }
};

// Guards against a store in trouble whose answer does not end: it is given up, and what the call did is not known.
TEST_F(HttpObjectStoreTest, answerOfMoreThanAnyObjectHas_isTimeoutWithUnknownOutcome)
{
    constexpr std::size_t kMoreThanAnyObject = 20 * 1024 * 1024;
    const std::string address =
        answering(HttpResponse{200, {{"X-Object-Version", "1"}}, std::string(kMoreThanAnyObject, 'a')});
    const absl::StatusOr<StoredObject> object = get(address);
    EXPECT_EQ(failureCode(object.status()), FailureCode::StoreTimeout);
    EXPECT_EQ(outcomeOf(object.status()), RunOutcome::Unknown);
}

TEST_F(HttpObjectStoreTest, put_answerLostAfterTheWrite_isTimeoutAndNeverUnavailable)
{
    // The platform takes the write, and the answer is lost on its way. Read as "no effect", the writer would write
    // again under a version that has passed, or count a top-up as never made. It must read back.
    const auto version = put(losingAnswers());

    EXPECT_EQ(failureCode(version.status()), FailureCode::StoreTimeout);
    EXPECT_EQ(outcomeOf(version.status()), RunOutcome::Unknown);
}

TEST_F(HttpObjectStoreTest, put_connectionRefused_isUnavailable)
{
    const auto version = put(away());

    EXPECT_EQ(failureCode(version.status()), FailureCode::StoreUnavailable);
    EXPECT_EQ(outcomeOf(version.status()), RunOutcome::NotRun);
}

TEST_F(HttpObjectStoreTest, watch_fallsSilent_isGivenUpAsTimeout)
{
    // The connection of a watch goes silent for good while new ones work. Waited for without a bound, the process
    // would never see another change; given up, it lists anew.
    HttpObjectStoreSettings settings;
    settings.watchTimeout = kShort;
    const std::string address = serve([](HttpExchange &) -> boost::asio::awaitable<void> {
        boost::asio::steady_timer never(co_await boost::asio::this_coro::executor, std::chrono::hours(1));
        co_await never.async_wait(boost::asio::use_awaitable);
    });

    EXPECT_EQ(failureCode(watch(address, settings).status()), FailureCode::StoreTimeout);
}

struct Answer {
    const char *name;
    HttpResponse response;
    FailureCode ofGet;
    FailureCode ofPut;
};

class PlatformAnswerTest : public HttpObjectStoreTest, public testing::WithParamInterface<Answer>
{
};

TEST_P(PlatformAnswerTest, answer_otherThanSuccess_isTypedByWhatItSaysOfTheEffect)
{
    const std::string address = answering(GetParam().response);

    EXPECT_EQ(failureCode(get(address).status()), GetParam().ofGet);
    EXPECT_EQ(failureCode(put(address).status()), GetParam().ofPut);
}

INSTANTIATE_TEST_SUITE_P(
    Platform, PlatformAnswerTest,
    testing::Values(Answer{"missing", {404, {}, ""}, FailureCode::ObjectMissing, FailureCode::ObjectMissing},
                    Answer{"conflict", {412, {}, ""}, FailureCode::VersionConflict, FailureCode::VersionConflict},
                    Answer{"tooLarge", {413, {}, ""}, FailureCode::ObjectTooLarge, FailureCode::ObjectTooLarge},
                    Answer{"limited", {429, {}, ""}, FailureCode::StoreUnavailable, FailureCode::StoreUnavailable},
                    Answer{"away", {503, {}, ""}, FailureCode::StoreUnavailable, FailureCode::StoreUnavailable},
                    Answer{"broken", {500, {}, ""}, FailureCode::StoreTimeout, FailureCode::StoreTimeout},
                    Answer{"gatewayTimeout", {504, {}, ""}, FailureCode::StoreTimeout, FailureCode::StoreTimeout},
                    Answer{"badRequest", {400, {}, ""}, FailureCode::InvalidRequest, FailureCode::InvalidRequest},
                    Answer{"noVersion", {200, {}, "x"}, FailureCode::ObjectMalformed, FailureCode::StoreTimeout},
                    Answer{"versionNotNumber",
                           {200, {{"X-Object-Version", "new"}}, "x"},
                           FailureCode::ObjectMalformed,
                           FailureCode::StoreTimeout},
                    Answer{"versionZero",
                           {200, {{"X-Object-Version", "0"}}, "x"},
                           FailureCode::ObjectMalformed,
                           FailureCode::StoreTimeout}),
    [](const auto &info) {
        return std::string(info.param.name);
    });

class PlatformListTest : public HttpObjectStoreTest, public testing::WithParamInterface<const char *>
{
};

TEST_P(PlatformListTest, list_ofAnotherForm_isMalformed)
{
    HttpResponse response;
    response.body = GetParam();

    EXPECT_EQ(failureCode(watch(answering(response)).status()), FailureCode::ObjectMalformed);
}

INSTANTIATE_TEST_SUITE_P(Platform, PlatformListTest,
                         testing::Values("", "not json", "{", "[]", "null", "{\"version\":1}",
                                         "{\"version\":\"1\",\"objects\":[]}", "{\"version\":1,\"objects\":{\"a\":1}}",
                                         "{\"version\":1,\"objects\":[{\"key\":\"a\"}]}",
                                         "{\"version\":1,\"objects\":[{\"key\":1,\"version\":1}]}"));

TEST_F(HttpObjectStoreTest, list_asPromised_givesObjectsAndVersion)
{
    HttpResponse response;
    response.body = R"({"version":9,"objects":[{"key":"a/b","version":8,"value":"x"},{"key":"a/c","version":0}]})";

    const auto changes = watch(answering(response));

    ASSERT_TRUE(changes.ok()) << changes.status();
    EXPECT_EQ(changes->nextVersion, 9);
    EXPECT_EQ(changes->objects, (std::vector<StoredObject>{{"a/b", "x", 8}, {"a/c", "", 0}}));
}
