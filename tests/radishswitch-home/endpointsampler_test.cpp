#include "base/failure.h"
#include "endpointsampler.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

/// An endpoint that answers after a time that the test sets.
class FakeReportReader : public EndpointReportReader
{
public:
    explicit FakeReportReader(TimerService &timers)
        : m_timers(timers)
    {
    }

    void read(Duration, Callback callback) override
    {
        ++reads;
        m_timers.after(delay, [this, callback = std::move(callback)] {
            callback(failure.ok() ? absl::StatusOr<EndpointReport>(report) : failure);
        });
    }

    void readStart(Duration, StartCallback) override
    {
        ADD_FAILURE() << "the sampler asks for whole reports";
    }

    int reads = 0;
    Duration delay = 5ms;
    absl::Status failure;
    EndpointReport report;

private:
    TimerService &m_timers;
};

}

class EndpointSamplerTest : public testing::Test
{
protected:
    EndpointSamplerTest()
    {
        reader.report.startedAtMilliseconds = 1'700'000'000'000;
        reader.report.active = 1;
        reader.report.runs = {{1, 100, 3, 0}};
        sampler.start();
    }

    std::uint64_t count(const std::string &name)
    {
        return metrics.counter(name, "").value();
    }

    VirtualTimerService timers;
    Metrics metrics;
    FakeReportReader reader{timers};
    EndpointSampler sampler{reader, timers, metrics, "10.0.0.1:8000"};
};

TEST_F(EndpointSamplerTest, busyEndpoint_isReadTenTimesASecond)
{
    timers.advance(1s);
    EXPECT_NEAR(reader.reads, 10, 1);
    ASSERT_TRUE(sampler.load());
    EXPECT_EQ(sampler.load()->running, 1);
    EXPECT_EQ(count("radishswitch_endpoint_reports_read_total"), 10U);
}

// Guards against processor time that is used up beside an endpoint with nothing to do.
TEST_F(EndpointSamplerTest, idleEndpoint_isReadFiveTimesASecond)
{
    reader.report.active = 0;
    reader.report.runs->clear();
    timers.advance(1s);
    EXPECT_NEAR(reader.reads, 5, 1);
}

// Guards against the load of an endpoint that has stopped answering, and against a storm of reads at it.
TEST_F(EndpointSamplerTest, endpointThatFails_hasNoLoadAfterASecondAndIsReadRarely)
{
    timers.advance(1s);
    reader.failure = makeFailure(FailureCode::ConnectionLost, "nobody is there");
    const int before = reader.reads;
    timers.advance(2s);
    EXPECT_FALSE(sampler.load());
    EXPECT_LE(reader.reads - before, 6);
    EXPECT_GT(count("radishswitch_endpoint_reports_failed_total"), 2U);
    reader.failure = absl::OkStatus();
    timers.advance(1s);
    EXPECT_TRUE(sampler.load());
}

// A home that was frozen finds an old answer in its kernel. Guards against a report of unknown age.
TEST_F(EndpointSamplerTest, lateAnswer_isNotUsed)
{
    timers.advance(1s);
    reader.delay = 3s;
    timers.advance(4s);
    EXPECT_FALSE(sampler.load());
    EXPECT_GT(count("radishswitch_endpoint_reports_failed_total"), 0U);
}
