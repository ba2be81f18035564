#include "base/failure.h"
#include "platformendpointreport.h"
#include "platformreportreader.h"
#include "replicaserver.h"

#include <gtest/gtest.h>

#include <future>

using namespace RadishSwitch;

/// Reads the report of a stand-in of an engine over the loopback interface.
class PlatformReportReaderTest : public testing::Test
{
protected:
    PlatformReportReaderTest()
        : workers(1)
        , replica(workers, ReplicaSettings())
    {
        EXPECT_TRUE(replica.listen("127.0.0.1", 0).ok());
        workers.start();
    }

    ~PlatformReportReaderTest() override
    {
        workers.stop();
    }

    absl::StatusOr<EndpointReport> read(const std::string &address)
    {
        PlatformReportReader reader(workers, address);
        std::promise<absl::StatusOr<EndpointReport>> answered;
        reader.read(std::chrono::seconds(5), [&answered](const absl::StatusOr<EndpointReport> &report) {
            answered.set_value(report);
        });
        return answered.get_future().get();
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(replica.port());
    }

    WorkerPool workers;
    ReplicaServer replica;
};

TEST_F(PlatformReportReaderTest, engine_reportIsRead)
{
    replica.setQueued(4);
    const absl::StatusOr<EndpointReport> report = read(address());
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_EQ(report->queued, 4);
    EXPECT_EQ(report->active, 0);
    EXPECT_GT(report->startedAtMilliseconds, 0);
    ASSERT_TRUE(report->runs);
    EXPECT_TRUE(report->runs->empty());
}

// Guards against memory that an endless or huge answer uses up: it is given up while it comes.
TEST_F(PlatformReportReaderTest, hugeReport_isGivenUp)
{
    replica.setReportText(std::string(4 * kMaximumReportBytes, ' '));
    EXPECT_EQ(failureCode(read(address()).status()), FailureCode::MessageTooLarge);
}

TEST_F(PlatformReportReaderTest, malformedReport_fails)
{
    replica.setReportText("{\"queued\": -1}");
    EXPECT_EQ(failureCode(read(address()).status()), FailureCode::MalformedMessage);
}

TEST_F(PlatformReportReaderTest, nobodyListens_fails)
{
    EXPECT_EQ(failureCode(read("127.0.0.1:1").status()), FailureCode::ConnectionLost);
}
