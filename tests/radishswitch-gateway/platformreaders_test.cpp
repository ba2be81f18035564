#include "asyncresult.h"
#include "base/failure.h"
#include "platformobjectstore.h"
#include "platformreportreader.h"
#include "rawendpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace RadishSwitch;

/// What reads the platform's store and the reports of endpoints, before a server that answers with bytes as they are.
class PlatformReadersTest : public testing::Test
{
protected:
    static constexpr Duration kLong = std::chrono::seconds(20);

    PlatformReadersTest()
        : workers(1)
        , server([this](const std::string & /*head*/) {
            return answer;
        })
    {
        workers.start();
    }

    ~PlatformReadersTest() override
    {
        workers.stop();
    }

    /// Answers with a sound body that are none.
    static std::vector<RawAnswer> brokenAnswers(const std::string &body)
    {
        const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        std::vector<RawAnswer> answers(4);
        answers[0].beginning = "HTTP/1.1 000 Odd\r\n" + length + "\r\n" + body;
        answers[1].beginning = "HTTP/1.1 200 OK\r\nX Odd: a\r\n" + length + "\r\n" + body;
        answers[2].beginning = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + body;
        answers[2].end = RawEnd::Close;
        answers[3].beginning = "HTTP/1.1 200 OK\r\n\r\n" + body;
        answers[3].end = RawEnd::Reset;
        answers[3].read = RawRead::Head;
        return answers;
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(server.port());
    }

    template<typename T, typename Start>
    T resultOf(Start start)
    {
        return boost::asio::co_spawn(workers.context(), awaitCallback<T>(std::move(start)), boost::asio::use_future)
            .get();
    }

    WorkerPool workers;
    RawAnswer answer;
    RawEndpoint server;
};

// Guards against bytes that are no answer of the store, taken for an object or for a sign that a write was done.
TEST_F(PlatformReadersTest, storeAnswersWithBytesThatAreNoAnswer_callsFailWithUnknownOutcome)
{
    const std::string body = R"({"metadata":{"name":"a","revision":7},"spec":{}})";
    for (const RawAnswer &it : brokenAnswers(body)) {
        answer = it;
        PlatformObjectStore store(workers, address());
        const auto object = resultOf<absl::StatusOr<StoredObject>>([&store](auto done) {
            store.get("news/a", std::move(done));
        });
        EXPECT_EQ(failureCode(object.status()), FailureCode::StoreTimeout) << it.beginning;
        const auto version = resultOf<absl::StatusOr<std::uint64_t>>([&store](auto done) {
            store.put("news/a", "{}", 6, std::move(done));
        });
        EXPECT_EQ(failureCode(version.status()), FailureCode::StoreTimeout) << it.beginning;
        EXPECT_EQ(outcomeOf(version.status()), RunOutcome::Unknown) << it.beginning;
        const auto status = resultOf<absl::Status>([&store](auto done) {
            store.remove("news/a", 6, std::move(done));
        });
        EXPECT_EQ(outcomeOf(status), RunOutcome::Unknown) << it.beginning;
    }
}

// Guards against the same in reports of endpoints.
TEST_F(PlatformReadersTest, endpointAnswersWithBytesThatAreNoAnswer_isNoReport)
{
    for (const RawAnswer &it : brokenAnswers(R"({"born":1000,"queued":0,"active":0,"kv-used":0,"kv-total":1})")) {
        answer = it;
        PlatformReportReader reader(workers, address());
        const auto report = resultOf<absl::StatusOr<EndpointReport>>([&reader](auto done) {
            reader.read(kLong, std::move(done));
        });
        EXPECT_EQ(failureCode(report.status()), FailureCode::ConnectionLost) << it.beginning;
        const auto start = resultOf<absl::StatusOr<std::int64_t>>([&reader](auto done) {
            reader.readStart(kLong, std::move(done));
        });
        EXPECT_EQ(failureCode(start.status()), FailureCode::ConnectionLost) << it.beginning;
    }
}
