#include "seededrandom.h"
#include "serving/crashreportformat.h"
#include "serving/poisonpartdetector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

using namespace RadishSwitch;

namespace
{

/// Ids of parts.
constexpr std::uint64_t kSystem = 0x5a;
constexpr std::uint64_t kPoison = 0xbad;
constexpr std::uint64_t kCompanion = 0xc0;

SharedPrompt prompt(std::vector<std::uint64_t> parts, const std::string &organisation = "magnolia")
{
    return {PoolId("llm"), OrganisationId(organisation), std::move(parts)};
}

}

class PoisonPartDetectorTest : public testing::Test
{
protected:
    using Milliseconds = std::chrono::milliseconds;
    using Seconds = std::chrono::seconds;

    static EndpointIncarnation incarnation(int n)
    {
        return {EndpointId("engine-" + std::to_string(n)), 0};
    }

    /// An endpoint crashes as it is about to answer these prompts.
    void crash(const std::vector<SharedPrompt> &prompts)
    {
        CrashReport report;
        ++m_crashes;
        for (const SharedPrompt &it : prompts) {
            const auto request = RequestFingerprint::of("POST", "/a", "magnolia", std::to_string(++m_requests));
            report.crashed.push_back({incarnation(m_crashes), request, 0, it});
        }
        detector.addReport("report-" + std::to_string(++m_reports), report, now);
    }

    /// Lets time pass as a gateway does, which calls `update` when it is due.
    void wait(Duration span)
    {
        const Instant end = now + span;
        while (const auto next = detector.nextUpdate()) {
            if (*next > end) {
                break;
            }
            now = std::max(now, *next);
            detector.update(now);
        }
        now = end;
    }

    bool isBarred(const SharedPrompt &it) const
    {
        return detector.barredPart(it).has_value();
    }

    PoisonPartDetector detector;
    Instant now{};

private:
    int m_crashes = 0;
    int m_requests = 0;
    int m_reports = 0;
};

// Guards against ever new prompts with one part that crash one endpoint after the other.
TEST_F(PoisonPartDetectorTest, threeCrashes_underOnePart_barIt)
{
    for (std::uint64_t n = 0; n < 3; ++n) {
        crash({prompt({kSystem, kPoison}, "org-" + std::to_string(n))});
        detector.noteAnswered(prompt({kSystem, 0x1}));
        wait(Seconds(1));
    }
    EXPECT_TRUE(isBarred(prompt({kSystem, kPoison}, "another")));
    EXPECT_TRUE(isBarred(prompt({0x77, kPoison, 0x78}, "another")));
    EXPECT_FALSE(isBarred(prompt({kSystem, 0x2})));
    EXPECT_FALSE(isBarred(prompt({kSystem})));
}

// Guards against a part that is barred because it is in every prompt, among them those that crash endpoints.
TEST_F(PoisonPartDetectorTest, partAnsweredBetweenCrashes_isNotBarred)
{
    for (int n = 0; n < 20; ++n) {
        crash({prompt({kSystem, 0x100u + static_cast<std::uint64_t>(n)})});
        wait(Milliseconds(300));
        detector.noteAnswered(prompt({kSystem}));
    }
    EXPECT_EQ(detector.barredCount(), 0U);
}

// Guards against a bar within the time in which other gateways tell that they have seen the part answered.
TEST_F(PoisonPartDetectorTest, exonerationByAnotherGateway_withinSettleTime_preventsTheBar)
{
    for (int n = 0; n < 3; ++n) {
        crash({prompt({kSystem})});
        wait(Milliseconds(600));
    }
    CrashReport report;
    report.exonerated.push_back({kSystem, {incarnation(1), incarnation(2)}});
    detector.addReport("other", report, now);
    wait(Seconds(2));
    EXPECT_FALSE(isBarred(prompt({kSystem})));
}

// Guards against sound parts that are barred because they were in prompts beside the poison one at each crash.
TEST_F(PoisonPartDetectorTest, partsBesidePoisonPart_areExplainedByIt)
{
    crash({prompt({kSystem, kPoison}, "a")});
    wait(Milliseconds(600));
    for (int n = 0; n < 4; ++n) {
        crash({prompt({kSystem, kPoison}, "b"), prompt({kSystem, 0xaa})});
        detector.noteAnswered(prompt({kSystem}));
        wait(Milliseconds(600));
    }
    EXPECT_TRUE(isBarred(prompt({kSystem, kPoison})));
    EXPECT_FALSE(isBarred(prompt({kSystem, 0xaa})));
}

// Guards against two poison parts of which one is acquitted because the other was there too.
TEST_F(PoisonPartDetectorTest, twoPoisonParts_areBothBarred)
{
    for (int n = 0; n < 3; ++n) {
        crash({prompt({kSystem, kPoison}, "a" + std::to_string(n))});
        wait(Milliseconds(400));
        crash({prompt({kSystem, 0xbad2}, "b" + std::to_string(n))});
        wait(Milliseconds(400));
        detector.noteAnswered(prompt({kSystem}));
    }
    wait(Seconds(1));
    EXPECT_TRUE(isBarred(prompt({kPoison})));
    EXPECT_TRUE(isBarred(prompt({0xbad2})));
}

// Guards against barring a sound part that has only come together with the poison one so far.
TEST_F(PoisonPartDetectorTest, partsThatAlwaysCameTogether_areBarredTogetherUntilOneIsAnswered)
{
    for (int n = 0; n < 3; ++n) {
        crash({prompt({kPoison, kCompanion}, "org-" + std::to_string(n))});
        wait(Seconds(1));
    }
    EXPECT_TRUE(isBarred(prompt({kPoison, kCompanion})));
    EXPECT_FALSE(isBarred(prompt({kCompanion})));
    EXPECT_FALSE(isBarred(prompt({kPoison})));
    detector.noteAnswered(prompt({kCompanion}));
    crash({prompt({kPoison})});
    wait(Seconds(1));
    EXPECT_TRUE(isBarred(prompt({kPoison})));
    EXPECT_TRUE(isBarred(prompt({kPoison, kCompanion})));
    EXPECT_FALSE(isBarred(prompt({kCompanion})));
}

// Guards against a caller that gets the parts of other organisations barred by naming them in requests that crash.
TEST_F(PoisonPartDetectorTest, crashesOfOneOrganisation_barItAlone)
{
    for (int n = 0; n < 4; ++n) {
        crash({prompt({kPoison}, "attacker")});
        wait(Seconds(1));
    }
    EXPECT_TRUE(isBarred(prompt({kPoison}, "attacker")));
    EXPECT_FALSE(isBarred(prompt({kPoison}, "owner")));
    crash({prompt({kPoison}, "owner")});
    EXPECT_TRUE(isBarred(prompt({kPoison}, "owner")));
}

// Guards against barring popular parts when many endpoints lose power at once.
TEST_F(PoisonPartDetectorTest, manyCrashes_atOneMoment_barNothing)
{
    for (int n = 0; n < 20; ++n) {
        crash({prompt({kSystem, 0x1})});
        wait(Milliseconds(10));
    }
    wait(Seconds(3));
    EXPECT_EQ(detector.barredCount(), 0U);
}

// Guards against a run that is suspected though its endpoint had been answering it for long.
TEST_F(PoisonPartDetectorTest, runsWithoutParts_suspectNothing)
{
    for (int n = 0; n < 5; ++n) {
        crash({SharedPrompt()});
        wait(Seconds(1));
    }
    EXPECT_TRUE(detector.isEmpty());
}

// Guards against a wrong bar that no answer can lift.
TEST_F(PoisonPartDetectorTest, barredPart_answered_isNoLongerBarred)
{
    for (int n = 0; n < 3; ++n) {
        crash({prompt({kPoison}, "a")});
        wait(Seconds(1));
    }
    detector.setAnnounced(kPoison, prompt({kPoison}, "a"));
    detector.noteAnswered(prompt({kPoison}, "b"));
    EXPECT_FALSE(isBarred(prompt({kPoison}, "a")));
    EXPECT_EQ(detector.takeLifted(), std::vector<std::uint64_t>{kPoison});
}

// Guards against a bar that ends when the reports of the crashes expire while such prompts still come.
TEST_F(PoisonPartDetectorTest, reportsForgotten_announcedBarHolds)
{
    for (int n = 0; n < 3; ++n) {
        crash({prompt({kPoison}, "org-" + std::to_string(n))});
        wait(Seconds(1));
    }
    detector.setAnnounced(kPoison, prompt({kPoison}, ""));
    for (int n = 1; n <= 3; ++n) {
        detector.forget("report-" + std::to_string(n), now);
    }
    EXPECT_TRUE(isBarred(prompt({kPoison})));
    detector.removeAnnounced(kPoison);
    EXPECT_TRUE(detector.isEmpty());
}

// Guards against exonerations that are reported though nobody suspects the part, which would cost writes in calm.
TEST_F(PoisonPartDetectorTest, singleCrash_isNotWorthAReport)
{
    crash({prompt({kSystem})});
    detector.noteAnswered(prompt({kSystem}));
    EXPECT_FALSE(detector.hasUnreported());
    crash({prompt({kSystem})});
    ASSERT_TRUE(detector.hasUnreported());
    const auto taken = detector.takeUnreported();
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken.front(), (ExoneratedPart{kSystem, {incarnation(1)}}));
    EXPECT_FALSE(detector.hasUnreported());
}

// Guards against a gateway that goes on looking for poison parts, which costs time for each call, when all is over.
TEST_F(PoisonPartDetectorTest, lateExoneration_leavesNothing)
{
    crash({prompt({kSystem})});
    const CrashReport late{{}, {}, {{kSystem, {incarnation(1)}}}};
    wait(Seconds(60));
    detector.addReport("late", late, now);
    detector.forget("report-1", now);
    detector.forget("late", now);
    EXPECT_TRUE(detector.isEmpty());
}

// Guards against a caller that makes the gateway forget a poison part by crashing endpoints with new parts all the
// time.
TEST_F(PoisonPartDetectorTest, moreThanMaximumParts_oldestIsForgottenButNoBar)
{
    PoisonPartSettings settings;
    settings.maxParts = 50;
    PoisonPartDetector bounded(settings);
    const auto request = RequestFingerprint::of("POST", "/a", "magnolia", "x");
    bounded.setAnnounced(kPoison, prompt({kPoison}));
    for (int n = 0; n < 1000; ++n) {
        const SharedPrompt it = prompt({1000 + static_cast<std::uint64_t>(n)});
        bounded.addReport("report-" + std::to_string(n), {{{incarnation(n), request, 0, it}}, {}}, now);
    }
    EXPECT_EQ(bounded.crashes(1000), 0U);
    EXPECT_EQ(bounded.crashes(1999), 1U);
    EXPECT_TRUE(bounded.barredPart(prompt({kPoison})));
}

/// Many gateways, each with its own detector and delayed reports, before endpoints that run many prompts at once, under
/// random schedules.
class PoisonPartScheduleTest : public testing::TestWithParam<std::uint64_t>
{
protected:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Duration kStep = Milliseconds(10);
    /// How long an endpoint reads a prompt before it begins to answer, and from then on until the prompt is sound.
    static constexpr Duration kReadingTime = Milliseconds(60);
    static constexpr Duration kSoundTime = Milliseconds(300);
    /// See PoisonGuard.
    static constexpr std::uint64_t kGatewaysPerEarlyReport = 16;
    static constexpr Duration kReportSpread = Milliseconds(100);
    static constexpr Duration kLateReportDelay = Milliseconds(300);
    static constexpr Duration kRestartTime = std::chrono::seconds(3);
    static constexpr int kKnownCrashes = 5;
    static constexpr Duration kPropagationTime = std::chrono::seconds(3);
    static constexpr int kMaximumLateRuns = 3;
    /// Sound parts behind the first one; the last ones are seldom in prompts.
    static constexpr int kSoundParts = 40;

    struct ReportInTransit {
        Instant at{};
        std::string source;
        CrashReport report;
    };

    struct GatewayState {
        PoisonPartDetector detector;
        std::vector<ReportInTransit> inTransit;
        std::optional<Instant> exonerateAt;
    };

    struct Run {
        int gateway = 0;
        SharedPrompt prompt;
        bool isPoison = false;
        Instant at{};
    };

    struct Endpoint {
        int life = 0;
        Instant backAt{};
        std::vector<Run> runs;
    };

    void setUp(int gatewayCount, int endpointCount)
    {
        gateways = std::vector<GatewayState>(static_cast<std::size_t>(gatewayCount));
        endpoints = std::vector<Endpoint>(static_cast<std::size_t>(endpointCount));
    }

    /// The reporting gateway has a report at once, the others 80 to 400 ms later.
    void broadcast(int from, const CrashReport &report)
    {
        const std::string source = "report-" + std::to_string(++m_reports);
        for (int n = 0; n < static_cast<int>(gateways.size()); ++n) {
            const Duration late = n == from ? Milliseconds(0) : Milliseconds(80 + random.below(320));
            gateways[static_cast<std::size_t>(n)].inTransit.push_back({now + late, source, report});
        }
    }

    void runGateway(int index)
    {
        GatewayState &it = gateways[static_cast<std::size_t>(index)];
        std::erase_if(it.inTransit, [&](const ReportInTransit &news) {
            if (news.at <= now) {
                it.detector.addReport(news.source, news.report, now);
            }
            return news.at <= now;
        });
        if (const auto next = it.detector.nextUpdate(); next && *next <= now) {
            it.detector.update(now);
        }
        if (it.detector.hasUnreported() && !it.exonerateAt) {
            const bool isEarly = random.below(kGatewaysPerEarlyReport) == 0;
            it.exonerateAt = now + (isEarly ? Duration::zero() : kLateReportDelay)
                + Duration(random.below(static_cast<std::uint64_t>(kReportSpread.count())));
        }
        if (it.exonerateAt && *it.exonerateAt <= now) {
            it.exonerateAt.reset();
            if (auto exonerated = it.detector.takeUnreported(); !exonerated.empty()) {
                ++exonerationReports;
                broadcast(index, {{}, {}, std::move(exonerated)});
            }
        }
    }

    void crash(Endpoint &endpoint)
    {
        const auto place = std::to_string(&endpoint - endpoints.data());
        const EndpointIncarnation incarnation{EndpointId("engine-" + place), ++endpoint.life};
        std::map<int, CrashReport> reports;
        for (const Run &run : endpoint.runs) {
            const auto request = RequestFingerprint::of("POST", "/a", "x", std::to_string(++m_requests));
            const bool isSound = now - run.at >= kReadingTime + kSoundTime;
            reports[run.gateway].crashed.push_back({incarnation, request, 0, isSound ? SharedPrompt() : run.prompt});
        }
        for (const auto &[gateway, report] : reports) {
            broadcast(gateway, report);
        }
        endpoint.runs.clear();
        endpoint.backAt = now + kRestartTime;
    }

    void runEndpoint(Endpoint &endpoint)
    {
        for (const Run &run : endpoint.runs) {
            if (run.isPoison && now - run.at >= kReadingTime) {
                ++poisonCrashes;
                crash(endpoint);
                return;
            }
        }
        for (const Run &run : endpoint.runs) {
            if (now - run.at >= kReadingTime + kSoundTime) {
                gateways[static_cast<std::size_t>(run.gateway)].detector.noteAnswered(run.prompt);
            }
        }
        std::erase_if(endpoint.runs, [this](const Run &run) {
            return now - run.at > std::chrono::seconds(1);
        });
    }

    /// Returns whether the prompt was sent.
    bool send(const SharedPrompt &it, bool isPoison)
    {
        const int gateway = static_cast<int>(random.below(gateways.size()));
        if (gateways[static_cast<std::size_t>(gateway)].detector.barredPart(it)) {
            return false;
        }
        Endpoint &endpoint = endpoints[static_cast<std::size_t>(random.below(endpoints.size()))];
        if (endpoint.backAt <= now) {
            endpoint.runs.push_back({gateway, it, isPoison, now});
        }
        return true;
    }

    std::string organisation()
    {
        return "org-" + std::to_string(random.below(10));
    }

    SharedPrompt soundPrompt()
    {
        // The product of two draws makes some parts frequent and others rare.
        const std::uint64_t part = random.below(1 + random.below(kSoundParts));
        return prompt({kSystem, 0x100 + part}, organisation());
    }

    void step()
    {
        now += kStep;
        for (Endpoint &it : endpoints) {
            runEndpoint(it);
        }
        for (int n = 0; n < static_cast<int>(gateways.size()); ++n) {
            runGateway(n);
        }
    }

    SeededRandom random{GetParam()};
    std::vector<GatewayState> gateways;
    std::vector<Endpoint> endpoints;
    Instant now{};
    int poisonCrashes = 0;
    int exonerationReports = 0;

private:
    int m_reports = 0;
    int m_requests = 0;
};

// Guards against poison prompts that go on because each gateway knows a part of the crashes, and against sound prompts
// that are refused beside them: one or two poison parts, beside endpoints that crash by themselves and in groups.
TEST_P(PoisonPartScheduleTest, poisonParts_atAnyPace_areBarredInTimeAndNothingElse)
{
    setUp(12, 12);
    const std::uint64_t kinds = 1 + random.below(2);
    const auto poisonInterval = static_cast<std::uint64_t>(10 + random.below(120));
    std::optional<Instant> knownAt;
    int late = 0;
    int soundSent = 0;
    int soundRefused = 0;
    for (std::uint64_t n = 0; n < 4000; ++n) {
        step();
        if (!knownAt && poisonCrashes >= kKnownCrashes * static_cast<int>(kinds)) {
            knownAt = now;
        }
        const bool isLate = knownAt && now - *knownAt > kPropagationTime;
        if (n % poisonInterval == 0) {
            const SharedPrompt it = prompt({kSystem, kPoison + n / poisonInterval % kinds}, organisation());
            late += send(it, true) && isLate ? 1 : 0;
        }
        for (int k = 0; k < 2; ++k) {
            ++soundSent;
            soundRefused += send(soundPrompt(), false) ? 0 : 1;
        }
        if (n % 400 == 399) {
            for (std::uint64_t k = 0; k <= random.below(4); ++k) {
                crash(endpoints[static_cast<std::size_t>(random.below(endpoints.size()))]);
            }
        }
    }
    EXPECT_LE(late, kMaximumLateRuns * static_cast<int>(kinds)) << "interval " << poisonInterval;
    EXPECT_GE(poisonCrashes, 3);
    EXPECT_LE(soundRefused, soundSent / 100) << "of " << soundSent;
}

// Guards against popular or rare sound parts that are barred when endpoints crash in groups without any poison.
TEST_P(PoisonPartScheduleTest, crashesOfOtherCauses_refuseNothing)
{
    setUp(12, 12);
    int refused = 0;
    for (std::uint64_t n = 0; n < 4000; ++n) {
        step();
        for (int k = 0; k < 2; ++k) {
            refused += send(soundPrompt(), false) ? 0 : 1;
        }
        if (n % 60 == 59) {
            for (std::uint64_t k = 0; k <= random.below(6); ++k) {
                crash(endpoints[static_cast<std::size_t>(random.below(endpoints.size()))]);
            }
        }
    }
    EXPECT_EQ(refused, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PoisonPartScheduleTest, testing::Range<std::uint64_t>(1, 61));

class PoisonPartFleetTest : public PoisonPartScheduleTest
{
};

// Guards against a large fleet that knows of a part too late, or writes a report for each gateway at each crash.
TEST_P(PoisonPartFleetTest, poisonPart_beforeManyGateways_isBarredInTimeWithFewReports)
{
    setUp(300, 60);
    std::optional<Instant> knownAt;
    int late = 0;
    int sound = 0;
    int refused = 0;
    for (std::uint64_t n = 0; n < 1200; ++n) {
        step();
        if (!knownAt && poisonCrashes >= kKnownCrashes) {
            knownAt = now;
        }
        const bool isLate = knownAt && now - *knownAt > kPropagationTime;
        if (n % 5 == 0) {
            late += send(prompt({kSystem, kPoison}, organisation()), true) && isLate ? 1 : 0;
        }
        for (int k = 0; k < 6; ++k) {
            ++sound;
            refused += send(soundPrompt(), false) ? 0 : 1;
        }
    }
    EXPECT_LE(late, kMaximumLateRuns);
    EXPECT_LE(refused, sound / 100) << "of " << sound;
    EXPECT_LE(exonerationReports, 20 * poisonCrashes) << poisonCrashes << " crashes";
}

INSTANTIATE_TEST_SUITE_P(Seeds, PoisonPartFleetTest, testing::Range<std::uint64_t>(1, 6));

TEST(CrashReportFormatTest, reportWithPrompts_writtenAndRead_isEqual)
{
    const auto fingerprint = RequestFingerprint::of("POST", "/a", "magnolia", "x");
    const EndpointIncarnation incarnation{EndpointId("i-1"), 7};
    const CrashReport report{
        {{incarnation, fingerprint, 2, prompt({kSystem, kPoison})}}, {fingerprint}, {{kSystem, {incarnation}}}};
    const auto read = readCrashReport(writeCrashReport(report));
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(*read, report);
}

TEST(CrashReportFormatTest, malformedPartsOfPrompts_areRefused)
{
    EXPECT_FALSE(readCrashReport(R"({"crashed":[],"answered":[],"exonerated":7})").ok());
    EXPECT_FALSE(readCrashReport(R"({"crashed":[],"answered":[],"exonerated":[{"part":"xyz","crashes":[]}]})").ok());
    EXPECT_FALSE(readCrashReport(R"({"crashed":[],"answered":[],"exonerated":[{"part":"-1","crashes":[]}]})").ok());
    EXPECT_FALSE(
        readCrashReport(R"({"crashed":[],"answered":[],"exonerated":[{"part":"11112222333344445","crashes":[]}]})")
            .ok());
}
