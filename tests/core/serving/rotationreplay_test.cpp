#include "limits/loadshedder.h"
#include "serving/rotationpolicy.h"

#include "seededrandom.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>

using namespace RadishSwitch;
using namespace std::chrono_literals;

namespace
{

constexpr Duration kStep = 10ms;
constexpr Duration kUpdateInterval = 100ms;
/// A gateway reports itself at this interval, and the others know the report as much later.
constexpr Duration kReportInterval = 500ms;
constexpr Duration kProbeInterval = 1s;
/// What a call moves over the link of its gateway, in both directions.
constexpr double kMegabitsPerCall = 0.08;

enum class Rule {
    /// Away after 0.5 s of refusals, until three seconds after the last.
    Refusals,
    Policy,
    /// The policy, whose reports of neighbours are all lost.
    PolicyWithoutNews,
};

/// A gateway whose link passes the calls that it accepts one after the other.
class ReplayGateway
{
public:
    ReplayGateway(std::string name, double mbps, Rule rule, std::uint64_t seed)
        : name(std::move(name))
        , mbps(mbps)
        , m_rule(rule)
        , m_random(seed)
    {
        restart();
    }

    void restart()
    {
        RotationSettings settings;
        settings.gateway = name;
        settings.linkMbps = mbps;
        m_shedder = std::make_unique<LoadShedder>();
        m_policy = std::make_unique<RotationPolicy>(m_random, settings);
        m_wasAway = false;
    }

    /// Accepts a call or refuses it.
    bool offer(Instant now)
    {
        m_shedder->noteDelay(std::chrono::duration_cast<Duration>(delay()), now);
        if (m_shedder->isShedding(now)) {
            m_shedder->noteRefused(now);
            m_policy->noteRefused(RotationReason::Link, now);
            return false;
        }
        m_queued += kMegabitsPerCall / mbps;
        m_accepted.back() += kMegabitsPerCall / mbps;
        return true;
    }

    void step(Instant now)
    {
        m_queued = std::max(0.0, m_queued - std::chrono::duration<double>(kStep).count());
        m_accepted.push_back(0);
        if (m_accepted.size() > 1s / kStep) {
            m_accepted.pop_front();
        }
        const bool isNowAway = isAway(now);
        leftCount += isNowAway && !m_wasAway ? 1 : 0;
        m_wasAway = isNowAway;
    }

    void update(std::vector<GatewayLoadReport> reports, Instant now)
    {
        if (m_rule == Rule::PolicyWithoutNews) {
            reports.clear();
        }
        m_policy->noteFullness(
            std::max(linkUse(), delay() / std::chrono::duration<double>(LoadShedderSettings().target)), now);
        const bool wasAway = m_policy->isAway(now);
        m_policy->update(reports, now);
        const bool hasLeft = !wasAway && m_policy->isAway(now);
        leftByFullness += m_rule != Rule::Refusals && hasLeft && m_policy->reason() == RotationReason::Fullness ? 1 : 0;
    }

    bool isAway(Instant now) const
    {
        return m_rule == Rule::Refusals ? m_shedder->isDiverting(now) : m_policy->isAway(now);
    }

    GatewayLoadReport report(Instant now) const
    {
        GatewayLoadReport report;
        report.gateway = name;
        report.linkMbps = mbps;
        report.fullness = m_policy->fullness(now);
        report.isDiverting = isAway(now);
        return report;
    }

    bool closesConnection(Instant now)
    {
        const double share = m_rule == Rule::Refusals ? 0 : m_policy->closingShare(now);
        return share > 0 && m_random.fraction() < share;
    }

    std::string name;
    double mbps;
    int refused = 0;
    int leftCount = 0;
    int leftByFullness = 0;
    /// What the load balancer knows: probes missed in a row, and whether it uses the gateway.
    int misses = 0;
    bool isInRotation = true;

private:
    std::chrono::duration<double> delay() const
    {
        return std::chrono::duration<double>(m_queued);
    }

    double linkUse() const
    {
        double use = 0;
        for (const double it : m_accepted) {
            use += it;
        }
        return use;
    }

    Rule m_rule;
    SeededRandom m_random;
    std::unique_ptr<LoadShedder> m_shedder;
    std::unique_ptr<RotationPolicy> m_policy;
    /// Seconds until the link has passed all that was accepted.
    double m_queued = 0;
    /// Seconds of the link that were accepted, by steps of the last second.
    std::deque<double> m_accepted{0};
    bool m_wasAway = false;
};

/// Callers with one address. Their connections are kept until a gateway closes them.
struct Source {
    std::uint64_t id = 0;
    double callsPerSecond = 0;
    int connections = 20;
    double due = 0;
    struct Connection {
        ReplayGateway *gateway = nullptr;
        Instant askedAt{};
    };
    std::vector<Connection> kept;
};

/// A zone of gateways behind a load balancer that picks one by a hash of the caller.
class ReplayZone
{
public:
    explicit ReplayZone(Rule rule)
    {
        constexpr double kBandwidths[] = {10, 10, 10, 20, 20, 50, 50, 100, 100, 200, 200};
        for (const double mbps : kBandwidths) {
            const std::uint64_t n = gateways.size();
            gateways.push_back(std::make_unique<ReplayGateway>("gateway-" + std::to_string(n), mbps, rule, 100 + n));
        }
        for (std::uint64_t id = 1; id <= 60; ++id) {
            sources.push_back({id, 8});
        }
    }

    /// Adds a source whose calls reach the given gateway while that is in rotation.
    void addSource(std::size_t gateway, double callsPerSecond)
    {
        std::uint64_t id = 1000 * (sources.size() + 1);
        while (pick(id, nullptr) != gateways[gateway].get()) {
            ++id;
        }
        sources.push_back({id, callsPerSecond});
    }

    void run(Duration span)
    {
        for (const Instant end = now + span; now < end;) {
            now += kStep;
            step();
        }
    }

    int refused() const
    {
        int n = 0;
        for (const auto &it : gateways) {
            n += it->refused;
        }
        return n;
    }

    int leftCount() const
    {
        int n = 0;
        for (const auto &it : gateways) {
            n += it->leftCount;
        }
        return n;
    }

    int leftByFullness() const
    {
        int n = 0;
        for (const auto &it : gateways) {
            n += it->leftByFullness;
        }
        return n;
    }

    /// Connections of a source that are kept at a gateway.
    int connectionsAt(const Source &source, std::size_t gateway) const
    {
        return static_cast<int>(std::ranges::count(source.kept, gateways[gateway].get(), &Source::Connection::gateway));
    }

    int awayCount() const
    {
        return static_cast<int>(std::ranges::count_if(gateways, [this](const auto &it) {
            return it->isAway(now);
        }));
    }

    double awayBandwidthShare() const
    {
        double away = 0;
        double total = 0;
        for (const auto &it : gateways) {
            total += it->mbps;
            away += it->isAway(now) ? it->mbps : 0;
        }
        return away / total;
    }

    std::vector<std::unique_ptr<ReplayGateway>> gateways;
    std::vector<Source> sources;
    Instant now{100s};
    bool keepsConnections = false;
    /// Calls refused by three gateways in a row.
    int failed = 0;
    /// Longest time in which more gateways, or more bandwidth, were away than may be.
    Duration longestOverLimit{};
    /// Greatest number of gateways that the load balancer left out.
    int mostOut = 0;

private:
    static std::uint64_t hash(std::uint64_t source, std::size_t gateway)
    {
        std::uint64_t x = source * 0x9e3779b97f4a7c15U + gateway * 0xbf58476d1ce4e5b9U;
        x = (x ^ (x >> 31U)) * 0x94d049bb133111ebU;
        return x ^ (x >> 29U);
    }

    ReplayGateway *pick(std::uint64_t source, const ReplayGateway *excluded) const
    {
        const auto inRotation =
            std::ranges::count_if(gateways, &ReplayGateway::isInRotation, [](const auto &it) -> const ReplayGateway & {
                return *it;
            });
        const bool usesAll = 2 * static_cast<std::size_t>(inRotation) < gateways.size();
        ReplayGateway *best = nullptr;
        std::uint64_t bestHash = 0;
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            ReplayGateway *it = gateways[n].get();
            if (it != excluded && (usesAll || it->isInRotation) && (!best || hash(source, n) > bestHash)) {
                best = it;
                bestHash = hash(source, n);
            }
        }
        return best;
    }

    void step()
    {
        for (Source &it : sources) {
            it.due += it.callsPerSecond * std::chrono::duration<double>(kStep).count() * 2 * random.fraction();
            for (; it.due >= 1; it.due -= 1) {
                call(it);
            }
        }
        for (const auto &it : gateways) {
            it->step(now);
        }
        const Duration past = now.time_since_epoch();
        if (past % kReportInterval == Duration::zero()) {
            m_reports = std::exchange(m_nextReports, {});
            for (const auto &it : gateways) {
                m_nextReports.push_back(it->report(now));
            }
        }
        if (past % kUpdateInterval == Duration::zero()) {
            for (const auto &it : gateways) {
                it->update(m_reports, now);
            }
        }
        if (past % kProbeInterval == Duration::zero()) {
            probe();
        }
        noteAway();
    }

    void noteAway()
    {
        const int away = awayCount();
        const bool isOver = away > (static_cast<int>(gateways.size()) - 1) / 2 || awayBandwidthShare() > 1.0 / 3;
        m_overLimit = isOver ? m_overLimit + kStep : Duration::zero();
        longestOverLimit = std::max(longestOverLimit, m_overLimit);
    }

    void call(Source &source)
    {
        Source::Connection unkept;
        source.kept.resize(static_cast<std::size_t>(source.connections));
        Source::Connection &connection = keepsConnections ? source.kept[random.below(source.kept.size())] : unkept;
        if (!connection.gateway) {
            connection = {pick(source.id, nullptr), now};
        }
        ReplayGateway *gateway = connection.gateway;
        for (int tries = 0; tries < 3; ++tries) {
            if (gateway->offer(now)) {
                noteAnswered(connection, gateway);
                return;
            }
            ++gateway->refused;
            connection.gateway = nullptr;
            gateway = pick(source.id + 7919 * static_cast<std::uint64_t>(tries + 1), gateway);
        }
        ++failed;
    }

    void noteAnswered(Source::Connection &connection, ReplayGateway *gateway)
    {
        if (connection.gateway && now - connection.askedAt >= 1s) {
            connection.askedAt = now;
            if (gateway->closesConnection(now)) {
                connection.gateway = nullptr;
            }
        }
    }

    void probe()
    {
        int out = 0;
        for (const auto &it : gateways) {
            it->misses = it->isAway(now) ? it->misses + 1 : 0;
            it->isInRotation = it->misses < 2 && (it->isInRotation || it->misses == 0);
            out += it->isInRotation ? 0 : 1;
        }
        mostOut = std::max(mostOut, out);
    }

    SeededRandom random{7};
    std::vector<GatewayLoadReport> m_reports;
    std::vector<GatewayLoadReport> m_nextReports;
    Duration m_overLimit{};
};

}

class RotationReplayTest : public testing::Test
{
protected:
    static constexpr Duration kSpan = 240s;
    /// A report is this old at most, and an update notices within one interval what follows from it.
    static constexpr Duration kNewsDelay = 2 * kReportInterval + kUpdateInterval;

    static std::unique_ptr<ReplayZone> replay(Rule rule, const std::function<void(ReplayZone &)> &prepare,
                                              Duration span = kSpan)
    {
        auto zone = std::make_unique<ReplayZone>(rule);
        prepare(*zone);
        zone->run(span);
        return zone;
    }

    static void addHotSource(ReplayZone &zone)
    {
        zone.addSource(0, 320);
    }

    static void addThreeHotSources(ReplayZone &zone)
    {
        zone.addSource(0, 320);
        zone.addSource(1, 320);
        zone.addSource(3, 480);
    }

    /// Half as many calls again as the gateways can pass.
    static void fillAll(ReplayZone &zone)
    {
        for (std::size_t n = 0; n < zone.gateways.size(); ++n) {
            zone.addSource(n, 1.5 * zone.gateways[n]->mbps / kMegabitsPerCall);
        }
    }
};

// Guards against gateways that leave without need.
TEST_F(RotationReplayTest, usualLoad_nobodyLeaves)
{
    const auto zone = replay(Rule::Policy, [](ReplayZone & /*zone*/) {});

    EXPECT_EQ(zone->refused(), 0);
    EXPECT_EQ(zone->leftCount(), 0);
}

// Guards against a small gateway that refuses calls of the same hot organisation each time that it returns: with the
// rule of refusals alone it is back after three seconds.
TEST_F(RotationReplayTest, oneHotOrganisation_callsRefusedFallToAQuarter)
{
    const auto before = replay(Rule::Refusals, addHotSource);
    const auto after = replay(Rule::Policy, addHotSource);

    ASSERT_GT(before->refused(), 5000);
    EXPECT_LT(after->refused(), before->refused() / 4);
    EXPECT_EQ(after->failed, 0);
    EXPECT_LT(after->leftCount(), before->leftCount() / 3);
}

// Guards against three hot organisations that move from one small gateway to the next, each of which leaves in turn.
TEST_F(RotationReplayTest, threeHotOrganisations_fewerRefusedAndLimitsKept)
{
    const auto before = replay(Rule::Refusals, addThreeHotSources);
    const auto after = replay(Rule::Policy, addThreeHotSources);

    EXPECT_LT(after->refused(), before->refused() * 6 / 10);
    EXPECT_LT(after->failed, before->failed / 2);
    EXPECT_LT(after->leftCount(), before->leftCount() / 3);
    EXPECT_LE(after->longestOverLimit, kNewsDelay);
    EXPECT_LE(after->mostOut, 5);
}

// Guards against gateways that leave one after the other where the whole zone has too little bandwidth.
TEST_F(RotationReplayTest, allGatewaysFull_nobodyLeavesByFullnessAndUnderHalfAreAway)
{
    const auto zone = replay(Rule::Policy, fillAll, 60s);

    EXPECT_EQ(zone->leftByFullness(), 0);
    EXPECT_LE(zone->longestOverLimit, kNewsDelay);
    EXPECT_LE(zone->mostOut, 5);
}

// Guards against a zone that is worse off with the policy than without it while no reports arrive.
TEST_F(RotationReplayTest, newsLost_actsByRefusalsAlone)
{
    const auto before = replay(Rule::Refusals, addThreeHotSources);
    const auto after = replay(Rule::PolicyWithoutNews, addThreeHotSources);

    EXPECT_NEAR(after->refused(), before->refused(), before->refused() / 20);
    EXPECT_NEAR(after->leftCount(), before->leftCount(), before->leftCount() / 20);
    EXPECT_EQ(after->leftByFullness(), 0);
}

// Guards against a restarted gateway that no longer leaves, or that stays away from all.
TEST_F(RotationReplayTest, hotGatewayRestarted_leavesAgain)
{
    const auto before = replay(Rule::Refusals, addHotSource);
    const auto after = replay(
        Rule::Policy,
        [](ReplayZone &zone) {
            addHotSource(zone);
            for (int n = 0; n < 3; ++n) {
                zone.run(kSpan / 3);
                zone.gateways[0]->restart();
            }
        },
        kSpan / 10);

    EXPECT_LT(after->refused(), before->refused() / 2);
    EXPECT_GT(after->gateways[0]->leftCount, 9);
}

// Guards against callers of kept connections that go on calling a gateway which has left because it is nearly full.
TEST_F(RotationReplayTest, nearlyFullWithKeptConnections_connectionsMoveBeforeCallsAreRefused)
{
    const auto prepare = [](ReplayZone &zone) {
        zone.keepsConnections = true;
        // With the usual callers of the gateway this is nine tenths of what it can do.
        zone.addSource(0, 65);
    };
    const auto before = replay(Rule::Refusals, prepare, 30s);
    const auto after = replay(Rule::Policy, prepare, 30s);

    EXPECT_EQ(before->connectionsAt(before->sources.back(), 0), 20);
    EXPECT_EQ(before->refused(), 0);
    EXPECT_GT(before->gateways[0]->report(before->now).fullness, 0.85);
    EXPECT_GT(after->leftByFullness(), 0);
    EXPECT_LE(after->connectionsAt(after->sources.back(), 0), 16);
    EXPECT_LT(after->gateways[0]->report(after->now).fullness, 0.85);
    EXPECT_EQ(after->refused(), 0);
}
