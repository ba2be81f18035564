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

// The platform's list lags. It still names an endpoint whose instance is gone; nobody answers there, and a request sent
// there is lost until it times out. Only what an agent says makes an endpoint eligible.
TEST_F(EndpointDirectoryTest, status_listedButNeverHeard_isNotEligible)
{
    list();

    EXPECT_EQ(status(), EndpointStatus::NeverReported);
}

// The list lacks an endpoint that lives and reports. Leaving it out would refuse requests while it stands idle.
TEST_F(EndpointDirectoryTest, status_heardButUnlisted_isEligible)
{
    list();
    report();
    m_directory.applyUnlisted(m_endpoint, m_timers.now());

    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

// The endpoint begins to leave; whichever news is first stops new work at once, and good news from the other source,
// which is older, does not undo it.
TEST_F(EndpointDirectoryTest, leaving_agentSaysSoFirst_listDoesNotUndoIt)
{
    list();
    report();
    EndpointReport leaving = reportOf();
    leaving.isLeaving = true;
    m_directory.applyReport(leaving, m_timers.now());
    list();

    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

TEST_F(EndpointDirectoryTest, leaving_listSaysSoFirst_agentsReportDoesNotUndoIt)
{
    report();
    list(true);
    report();

    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

TEST_F(EndpointDirectoryTest, leaving_unlistedAfterwards_staysLeaving)
{
    report();
    list(true);
    m_directory.applyUnlisted(m_endpoint, m_timers.now());
    report();

    EXPECT_EQ(status(), EndpointStatus::Leaving);
}

// The instance is cut off before it can say a word, and the list lags by minutes. Its silence has to do: the caller's
// request would hang there.
TEST_F(EndpointDirectoryTest, silence_twoSecondsLong_isNotEligibleUntilHeardAgain)
{
    report();
    m_timers.advance(1999ms);
    EXPECT_EQ(status(), EndpointStatus::Eligible);

    m_timers.advance(1ms);
    EXPECT_EQ(status(), EndpointStatus::Silent);

    report();
    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

TEST_F(EndpointDirectoryTest, connectionLost_heardAgain_isEligibleAgain)
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

// The agent restarts under the same name while the list still says "leaving" for its earlier life. Were that believed,
// a rolling restart would leave the pool empty for as long as the list lags.
TEST_F(EndpointDirectoryTest, freshIncarnation_listStillSaysLeaving_isEligible)
{
    report("first");
    list(true);
    m_timers.advance(5s);
    report("second");
    list(true);

    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

// As above, but the instance is being taken away for good and only its agent was restarted: the list goes on saying so
// for longer than it can lag.
TEST_F(EndpointDirectoryTest, freshIncarnation_listSaysLeavingForLongerThanItLags_isLeaving)
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

// A report of the earlier life was held up in the network. Taken for a new start, it would bring back the dead life's
// load and its word that it leaves.
TEST_F(EndpointDirectoryTest, applyReport_ofEarlierIncarnation_isIgnored)
{
    report("first");
    EndpointReport delayed = reportOf("first");
    delayed.isLeaving = true;
    report("second");

    EXPECT_FALSE(m_directory.applyReport(delayed, m_timers.now()));
    EXPECT_EQ(status(), EndpointStatus::Eligible);
}

TEST_F(EndpointDirectoryTest, applyLoad_laterThanReport_isTaken)
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

TEST_F(EndpointDirectoryTest, removeSilent_silentForLongAndUnlisted_isForgotten)
{
    report();
    m_timers.advance(60s);
    m_directory.removeSilent(m_timers.now());

    EXPECT_EQ(m_directory.find(m_endpoint), nullptr);
    EXPECT_TRUE(m_directory.serving(PoolId("drape-llm"), "").empty());
}
