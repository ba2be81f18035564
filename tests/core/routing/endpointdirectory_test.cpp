#include "routing/endpointdirectory.h"
#include "virtualtimerservice.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;
using namespace std::chrono_literals;

class EndpointDirectoryTest : public testing::Test
{
protected:
    EndpointReport reportOf(const std::string &incarnation = "first")
    {
        EndpointReport report;
        report.endpoint = m_endpoint;
        report.incarnation = IncarnationId(incarnation);
        report.sequence = ++m_sequence;
        report.pool = PoolId("drape-llm");
        report.address = "10.0.0.1:7001";
        return report;
    }

    bool report(const std::string &incarnation = "first")
    {
        return m_directory.applyReport(reportOf(incarnation), m_timers.now());
    }

    void list(bool isLeaving = false)
    {
        m_directory.applyListed(
            {m_endpoint, "10.0.0.1:7001", PoolId("drape-llm"), "hall-a", "south-central", isLeaving}, m_timers.now());
    }

    EndpointStatus status() const
    {
        return m_directory.status(*m_directory.slotOf(m_endpoint), m_timers.now());
    }

    const EndpointId m_endpoint{"a"};
    std::uint64_t m_sequence = 0;
    VirtualTimerService m_timers;
    EndpointDirectory m_directory;
};

// The platform's list lags and still contains an endpoint whose instance no longer exists. A request sent there would
// be lost until it times out. Only the agent's reports make an endpoint eligible.
TEST_F(EndpointDirectoryTest, status_listedButNeverReported_isNotEligible)
{
    list();

    EXPECT_EQ(status(), EndpointStatus::NeverReported);
}

// The list does not contain an endpoint that is alive and reports. Leaving it out would refuse requests while it is
// idle.
TEST_F(EndpointDirectoryTest, status_reportedButUnlisted_isEligible)
{
    list();
    report();
    m_directory.applyUnlisted(m_endpoint, m_timers.now());

    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

// The endpoint starts to leave. The first source that says so, the agent or the list, stops new work at once. The other
// source, whose information is older, must not undo that.
TEST_F(EndpointDirectoryTest, status_agentReportsLeavingFirst_staysLeavingWhenListDisagrees)
{
    list();
    report();
    EndpointReport leaving = reportOf();
    leaving.isLeaving = true;
    m_directory.applyReport(leaving, m_timers.now());
    list();

    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

TEST_F(EndpointDirectoryTest, status_listedAsLeavingFirst_staysLeavingWhenAgentDisagrees)
{
    report();
    list(true);
    report();

    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

TEST_F(EndpointDirectoryTest, status_leavingAndThenUnlisted_staysLeaving)
{
    report();
    list(true);
    m_directory.applyUnlisted(m_endpoint, m_timers.now());
    report();

    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

// The instance is cut off before its agent can report that it leaves, and the list lags by minutes. The missing reports
// alone must take the endpoint out of use, or requests would hang there.
TEST_F(EndpointDirectoryTest, status_noReportForTwoSeconds_isSilentUntilNextReport)
{
    report();
    m_timers.advance(1999ms);
    EXPECT_EQ(status(), EndpointStatus::Eligible);

    m_timers.advance(1ms);
    EXPECT_EQ(status(), EndpointStatus::Silent);

    report();
    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

TEST_F(EndpointDirectoryTest, noteConnectionLost_reportAfterwards_isEligibleAgain)
{
    report();
    m_directory.noteConnectionLost(m_endpoint, m_timers.now());
    EXPECT_EQ(status(), EndpointStatus::ConnectionLost);

    report();
    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

TEST_F(EndpointDirectoryTest, applyReport_oldSequence_isIgnored)
{
    const EndpointReport early = reportOf();
    EndpointReport late = reportOf();
    late.isLeaving = true;
    m_directory.applyReport(late, m_timers.now());

    EXPECT_FALSE(m_directory.applyReport(early, m_timers.now()));
    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

// The agent restarts under the same name while the list still shows its earlier incarnation as leaving. If the
// directory believed that, a rolling restart would leave the pool empty for as long as the list lags.
TEST_F(EndpointDirectoryTest, status_newIncarnationListStillShowsLeaving_isEligible)
{
    report("first");
    list(true);
    m_timers.advance(5s);
    report("second");
    list(true);

    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

// As above, but the instance is being removed for good and only its agent was restarted. The list keeps showing it as
// leaving for longer than the list can lag.
TEST_F(EndpointDirectoryTest, status_newIncarnationListedAsLeavingBeyondListLag_isLeaving)
{
    report("first");
    list(true);
    report("second");
    for (int i = 0; i < 10; ++i) {
        m_timers.advance(1s);
        report("second");
        list(true);
    }

    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

// A report of the earlier incarnation was delayed in the network. If it counted as a new start, it would bring back the
// load and the leaving state of the dead incarnation.
TEST_F(EndpointDirectoryTest, applyReport_ofEarlierIncarnation_isIgnored)
{
    report("first");
    EndpointReport delayed = reportOf("first");
    delayed.isLeaving = true;
    report("second");

    EXPECT_FALSE(m_directory.applyReport(delayed, m_timers.now()));
    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

TEST_F(EndpointDirectoryTest, applyLoad_laterThanReport_isApplied)
{
    report();
    m_timers.advance(100ms);
    EndpointLoad load;
    load.running = 3;
    m_directory.applyLoad(m_endpoint, load, m_timers.now());
    load.running = 1;
    load.age = 50ms;
    m_directory.applyLoad(m_endpoint, load, m_timers.now());

    EXPECT_EQ(m_directory.find(m_endpoint)->load.running, 3u);
}

TEST_F(EndpointDirectoryTest, removeSilent_noReportForLongAndUnlisted_isRemoved)
{
    report();
    m_timers.advance(60s);
    m_directory.removeSilent(m_timers.now());

    EXPECT_EQ(m_directory.find(m_endpoint), nullptr);
    EXPECT_TRUE(m_directory.serving(PoolId("drape-llm"), "").empty());
}
