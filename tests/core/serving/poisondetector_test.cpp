#include "seededrandom.h"
#include "serving/crashreportformat.h"
#include "serving/poisondetector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>

using namespace RadishSwitch;

class PoisonDetectorTest : public testing::Test
{
protected:
    using Seconds = std::chrono::seconds;

    static RequestFingerprint request(const std::string &body)
    {
        return RequestFingerprint::of("POST", "/a", "magnolia", body);
    }

    static EndpointIncarnation incarnation(int n)
    {
        return {EndpointId("engine-" + std::to_string(n)), 0};
    }

    /// An endpoint crashes under these requests, as reported by one gateway.
    std::vector<RequestFingerprint> crash(int endpoint, const std::vector<std::string> &bodies)
    {
        CrashReport report;
        for (const std::string &body : bodies) {
            report.crashed.push_back({incarnation(endpoint), request(body), 0});
        }
        return detector.addReport("report-" + std::to_string(++reports), report, now);
    }

    void answer(const std::string &body)
    {
        detector.addReport("report-" + std::to_string(++reports), {{}, {request(body)}}, now);
    }

    void wait(Duration span)
    {
        now += span;
    }

    PoisonDetector detector;
    Instant now{};
    int reports = 0;
};

// Guards against a request that keeps crashing endpoints.
TEST_F(PoisonDetectorTest, threeCrashes_oneAfterTheOther_barTheRequest)
{
    EXPECT_TRUE(crash(1, {"poison"}).empty());
    wait(Seconds(1));
    EXPECT_TRUE(crash(2, {"poison"}).empty());
    wait(Seconds(1));
    EXPECT_EQ(crash(3, {"poison"}), std::vector{request("poison")});
    EXPECT_TRUE(detector.isBarred(request("poison")));
    EXPECT_FALSE(detector.isBarred(request("other")));
}

// Guards against one crash that counts for each gateway that reports it.
TEST_F(PoisonDetectorTest, oneCrash_reportedByManyGateways_countsOnce)
{
    for (int n = 0; n < 10; ++n) {
        crash(1, {"request"});
        wait(Seconds(1));
    }
    EXPECT_EQ(detector.crashes(request("request")), 1U);
    EXPECT_FALSE(detector.isBarred(request("request")));
}

// Guards against barring all requests that ran at an endpoint when it crashed.
TEST_F(PoisonDetectorTest, requests_besideThePoisonRequest_areNotBarred)
{
    crash(1, {"poison", "a", "b"});
    wait(Seconds(1));
    crash(2, {"poison", "c"});
    wait(Seconds(1));
    crash(3, {"d", "poison", "e", "f"});
    EXPECT_TRUE(detector.isBarred(request("poison")));
    EXPECT_EQ(detector.barredCount(), 1U);
}

// Guards against barring a request that ran beside the poison request each time because its caller repeated it after
// each crash.
TEST_F(PoisonDetectorTest, request_crashesExplainedByPoisonRequest_isNotBarred)
{
    crash(1, {"poison"});
    wait(Seconds(1));
    for (int n = 2; n <= 4; ++n) {
        crash(n, {"repeated", "poison"});
        wait(Seconds(1));
    }
    EXPECT_TRUE(detector.isBarred(request("poison")));
    EXPECT_FALSE(detector.isBarred(request("repeated")));
}

// Guards against barring a frequent request when a zone loses power.
TEST_F(PoisonDetectorTest, manyCrashes_atOneMoment_barNothing)
{
    for (int n = 0; n < 20; ++n) {
        crash(n, {"frequent"});
        wait(std::chrono::milliseconds(20));
    }
    EXPECT_FALSE(detector.isBarred(request("frequent")));
}

// Guards against a poison request whose crashes come so quickly that they look like one event. Each run was sent when
// the crash before it was known.
TEST_F(PoisonDetectorTest, crashes_inQuickSequence_barTheRequest)
{
    for (int n = 0; n < 3; ++n) {
        EXPECT_FALSE(detector.isBarred(request("poison")));
        const int before = detector.countedCrashes(request("poison"));
        detector.addReport("report-" + std::to_string(n), {{{incarnation(n), request("poison"), before}}, {}}, now);
        wait(std::chrono::milliseconds(60));
    }
    EXPECT_TRUE(detector.isBarred(request("poison")));
}

// Guards against a report that bars a request by an invented number of earlier crashes.
TEST_F(PoisonDetectorTest, report_withUnknownEarlierCrashes_doesNotBar)
{
    detector.addReport("report", {{{incarnation(1), request("request"), 1'000'000}}, {}}, now);
    EXPECT_FALSE(detector.isBarred(request("request")));
}

// Guards against barring a harmless request that accumulates crashes over the day.
TEST_F(PoisonDetectorTest, request_answeredBetweenCrashes_isNotBarred)
{
    for (int n = 0; n < 12; ++n) {
        crash(n, {"frequent"});
        wait(Seconds(1));
        if (n % 2 == 1) {
            answer("frequent");
        }
    }
    EXPECT_FALSE(detector.isBarred(request("frequent")));
}

TEST_F(PoisonDetectorTest, barredRequest_answered_isNoLongerBarred)
{
    for (int n = 0; n < 3; ++n) {
        crash(n, {"request"});
        wait(Seconds(1));
    }
    detector.bar(request("request"));
    answer("request");
    EXPECT_FALSE(detector.isBarred(request("request")));
    EXPECT_TRUE(detector.isEmpty());
}

TEST_F(PoisonDetectorTest, barOfAnotherGateway_untilLifted_holds)
{
    detector.bar(request("poison"));
    EXPECT_TRUE(detector.isBarred(request("poison")));
    detector.lift(request("poison"));
    EXPECT_TRUE(detector.isEmpty());
}

TEST_F(PoisonDetectorTest, reports_allForgotten_leaveNothing)
{
    for (int n = 0; n < 3; ++n) {
        crash(n, {"poison", "beside-" + std::to_string(n)});
        wait(Seconds(1));
    }
    for (int n = 1; n <= reports; ++n) {
        detector.forget("report-" + std::to_string(n));
    }
    EXPECT_FALSE(detector.isBarred(request("poison")));
    EXPECT_TRUE(detector.isEmpty());
}

// Guards against a caller that fills the memory by crashing endpoints with new requests all the time.
TEST_F(PoisonDetectorTest, requests_moreThanMaximum_oldestIsForgotten)
{
    PoisonSettings settings;
    settings.maxRequests = 100;
    PoisonDetector bounded(settings);
    for (int n = 0; n < 1000; ++n) {
        bounded.addReport("report-" + std::to_string(n), {{{incarnation(n), request(std::to_string(n)), 0}}, {}}, now);
    }
    EXPECT_EQ(bounded.crashes(request("0")), 0U);
    EXPECT_EQ(bounded.crashes(request("999")), 1U);
}

/// Many gateways, each with its own detector and delayed reports, under random schedules.
class PoisonScheduleTest : public testing::TestWithParam<std::uint64_t>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr int kGateways = 12;
    static constexpr int kFrequent = 3;

    struct ReportInTransit {
        Instant at{};
        std::string source;
        CrashReport report;
    };

    static RequestFingerprint request(const std::string &body)
    {
        return RequestFingerprint::of("POST", "/a", "magnolia", body);
    }

    /// Sends a report to all gateways. The reporting gateway has it at once, and the others 50 to 400 ms later.
    void broadcast(int gateway, const CrashReport &report)
    {
        const std::string source = "report-" + std::to_string(++m_reports);
        for (int n = 0; n < kGateways; ++n) {
            const Duration late = n == gateway ? Milliseconds(0) : Milliseconds(50 + random.below(350));
            inTransit[n].push_back({now + late, source, report});
        }
        deliver();
    }

    void deliver()
    {
        for (int n = 0; n < kGateways; ++n) {
            std::ranges::stable_sort(inTransit[n], {}, &ReportInTransit::at);
            while (!inTransit[n].empty() && inTransit[n].front().at <= now) {
                detectors[n].addReport(inTransit[n].front().source, inTransit[n].front().report, now);
                inTransit[n].pop_front();
            }
        }
    }

    /// Sends a run through a random gateway; if `isCrashing`, its endpoint crashes. Returns whether the run was sent.
    bool send(const RequestFingerprint &it, bool isCrashing)
    {
        const int gateway = static_cast<int>(random.below(kGateways));
        const PoisonDetector &detector = detectors[gateway];
        if (detector.isBarred(it)) {
            return false;
        }
        CrashReport report;
        if (isCrashing) {
            report.crashed.push_back({newIncarnation(), it, detector.countedCrashes(it)});
        } else if (detector.crashes(it) >= 2) {
            report.answered.push_back(it);
        }
        if (!report.isEmpty()) {
            broadcast(gateway, report);
        }
        return true;
    }

    /// The endpoints that run `copies` copies of the request lose power at once.
    void losePower(const RequestFingerprint &it, int copies)
    {
        std::vector<std::pair<int, CrashReport>> reports;
        for (int n = 0; n < copies; ++n) {
            const int gateway = static_cast<int>(random.below(kGateways));
            if (!detectors[gateway].isBarred(it)) {
                reports.push_back({gateway, {{{newIncarnation(), it, detectors[gateway].countedCrashes(it)}}, {}}});
            }
        }
        for (const auto &[gateway, report] : reports) {
            broadcast(gateway, report);
        }
    }

    EndpointIncarnation newIncarnation()
    {
        return {EndpointId("engine-" + std::to_string(++m_incarnations)), 0};
    }

    void wait(Duration span)
    {
        now += span;
        deliver();
    }

    SeededRandom random{GetParam()};
    std::vector<PoisonDetector> detectors{kGateways};
    std::map<int, std::deque<ReportInTransit>> inTransit;
    Instant now{};

private:
    int m_reports = 0;
    int m_incarnations = 0;
};

// Guards against repeats of a poison request that go on because each gateway knows only a part of the crashes: at most
// three runs are sent later than three seconds after the third crash.
TEST_P(PoisonScheduleTest, poisonRequest_atAnyPace_isSentAtMostThreeTimesAfterDetection)
{
    const auto poison = request("poison");
    const Duration pace = Milliseconds(30 + random.below(4000));
    std::vector<Instant> crashes;
    int late = 0;
    for (int n = 0; n < 200; ++n) {
        if (send(poison, true)) {
            crashes.push_back(now);
            late += crashes.size() > 3 && now - crashes[2] > std::chrono::seconds(3) ? 1 : 0;
        }
        wait(pace / 2 + Duration(random.below(static_cast<std::uint64_t>(pace.count()))));
    }
    EXPECT_LE(late, 3) << "pace " << pace.count();
    EXPECT_GE(crashes.size(), 3U);
}

// Guards against refusing harmless requests whose endpoints lose power again and again.
TEST_P(PoisonScheduleTest, frequentRequests_duringPowerLosses_areServed)
{
    int refused = 0;
    int sent = 0;
    for (int n = 0; n < 3000; ++n) {
        const auto it = request("frequent-" + std::to_string(random.below(kFrequent)));
        if (n % 300 == 299) {
            losePower(it, 6);
        } else {
            send(it, false) ? ++sent : ++refused;
        }
        wait(Milliseconds(20));
    }
    EXPECT_LE(refused, sent / 200) << sent;
}

INSTANTIATE_TEST_SUITE_P(Seeds, PoisonScheduleTest, testing::Range<std::uint64_t>(1, 101));

TEST(CrashReportFormatTest, report_writtenAndRead_isEqual)
{
    const auto fingerprint = RequestFingerprint::of("POST", "/a", "magnolia", "x");
    const CrashReport report{{{{EndpointId("i-1"), 7}, fingerprint, 2}}, {fingerprint}};
    const auto read = readCrashReport(writeCrashReport(report));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, report);
}

TEST(CrashReportFormatTest, malformedText_parsed_isRefused)
{
    EXPECT_FALSE(readCrashReport("").ok());
    EXPECT_FALSE(readCrashReport("[]").ok());
    EXPECT_FALSE(readCrashReport(R"({"crashed":[{"endpoint":"e","born_at_ms":1,"request":"x"}],"answered":[]})").ok());
    EXPECT_FALSE(readCrashReport(R"({"crashed":7,"answered":[]})").ok());
}
