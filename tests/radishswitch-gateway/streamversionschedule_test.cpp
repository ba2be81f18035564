#include "streamversionfleet.h"

#include <gtest/gtest.h>

using namespace RadishSwitch;

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Schedule {
    int seed = 0;
    int gateways = 4;
    int homes = 5;
};

std::ostream &operator<<(std::ostream &out, const Schedule &schedule)
{
    return out << schedule.seed;
}

constexpr int kEndpointsOfVersion = 3;
constexpr Duration kFirstStart = seconds(5);
constexpr Duration kEnd = seconds(60);
constexpr Duration kStreamInterval = milliseconds(20);
/// Of the streams that are taken up, the rule counts from so many on.
constexpr int kLeastStreams = 12;

}

/// Schedules of joining and leaving software versions beside faults, drawn from a seed, over a fleet in virtual time.
class StreamVersionScheduleTest : public testing::TestWithParam<Schedule>
{
public:
    static std::string nameOf(const testing::TestParamInfo<Schedule> &info)
    {
        return std::to_string(info.param.seed);
    }

    static std::vector<Schedule> seedsBelow(int end)
    {
        std::vector<Schedule> schedules;
        for (int seed = 0; seed < end; ++seed) {
            schedules.push_back({seed});
        }
        return schedules;
    }

    /// Schedules after which the only gateway in touch has started again since the second version joined.
    static std::vector<Schedule> schedulesWithTwoHolders()
    {
        std::vector<Schedule> schedules;
        for (const int seed : {57, 60, 67, 95, 104, 191, 256, 274}) {
            schedules.push_back({seed, 2, 0});
        }
        return schedules;
    }

protected:
    StreamVersionScheduleTest()
        : fleet(static_cast<std::uint64_t>(GetParam().seed), GetParam().gateways, GetParam().homes)
    {
        listVersion("v1");
        for (const std::string &name : fleet.names) {
            fleet.startGateway(name, true);
        }
        fleet.clock.advance(kFirstStart);
        fleet.clock.every(kStreamInterval, [this] {
            const std::string gateway = anyOf(fleet.names);
            fleet.beginStream(gateway, otherThan(gateway), between(milliseconds(200), seconds(9)));
        });
    }

    Duration between(Duration shortest, Duration longest)
    {
        return shortest + Duration(fleet.random.below(static_cast<std::uint64_t>((longest - shortest).count())));
    }

    std::string anyOf(const std::vector<std::string> &names)
    {
        return names[fleet.random.below(names.size())];
    }

    std::string otherThan(const std::string &gateway)
    {
        std::string other = gateway;
        while (other == gateway) {
            other = anyOf(fleet.names);
        }
        return other;
    }

    void at(Duration time, const std::function<void()> &work)
    {
        fleet.clock.after(time, work);
    }

    void listVersion(const std::string &version)
    {
        for (int n = 0; n < kEndpointsOfVersion; ++n) {
            fleet.list(version + "-" + std::to_string(n), version);
        }
    }

    void unlistVersion(const std::string &version)
    {
        for (int n = 0; n < kEndpointsOfVersion; ++n) {
            fleet.unlist(version + "-" + std::to_string(n));
        }
    }

    /// A second version joins, sometimes a third one, and the first leaves and returns in some schedules.
    void scheduleVersions()
    {
        const Duration join = between(seconds(1), seconds(10));
        at(join, [this] {
            listVersion("v2");
        });
        if (fleet.random.below(2) == 0) {
            at(join + between(seconds(0), seconds(15)), [this] {
                listVersion("v3");
            });
        }
        if (fleet.random.below(2) == 0) {
            const Duration leave = join + between(seconds(3), seconds(20));
            at(leave, [this] {
                unlistVersion("v1");
            });
            at(leave + between(seconds(1), seconds(20)), [this] {
                listVersion("v1");
            });
        }
    }

    void scheduleGatewayFault()
    {
        const std::string name = anyOf(fleet.names);
        const Duration begin = between(seconds(0), seconds(25));
        const Duration end = begin + between(milliseconds(500), seconds(8));
        switch (fleet.random.below(3)) {
        case 0:
            at(begin, [this, name] {
                fleet.freeze(name);
            });
            at(end, [this, name] {
                fleet.wake(name);
            });
            break;
        case 1:
            at(begin, [this, name] {
                fleet.kill(name);
            });
            at(end, [this, name] {
                fleet.startGateway(name, false);
            });
            break;
        default:
            at(begin, [this, name] {
                fleet.cutOff({name});
            });
            at(end, [this] {
                fleet.cutOff({});
            });
            break;
        }
    }

    /// Faults that may leave too few records to continue streams: homes that restart, a cut through the fleet, the
    /// store, and all gateways at once.
    void scheduleGraveFault()
    {
        const Duration begin = between(seconds(0), seconds(25));
        const Duration end = begin + between(milliseconds(500), seconds(9));
        switch (fleet.random.below(5)) {
        case 0:
            at(begin, [this] {
                if (!fleet.homeNames.empty()) {
                    fleet.startHome(anyOf(fleet.homeNames));
                }
            });
            break;
        case 1:
            at(begin, [this] {
                fleet.cutOff(someProcesses());
            });
            at(end, [this] {
                fleet.cutOff({});
            });
            break;
        case 2:
            at(begin, [this] {
                fleet.setStoreDown(true);
            });
            at(end, [this] {
                fleet.setStoreDown(false);
            });
            break;
        case 3:
            at(begin, [this] {
                fleet.store.losesAnswers = true;
            });
            at(end, [this] {
                fleet.store.losesAnswers = false;
            });
            break;
        default:
            at(begin, [this] {
                restartAll();
            });
            break;
        }
    }

    std::set<std::string> someProcesses()
    {
        std::set<std::string> some;
        for (const std::vector<std::string> &names : {fleet.names, fleet.homeNames}) {
            for (const std::string &name : names) {
                if (fleet.random.below(2) == 0) {
                    some.insert(name);
                }
            }
        }
        return some;
    }

    void restartAll()
    {
        for (const std::string &name : fleet.homeNames) {
            fleet.startHome(name);
        }
        for (const std::string &name : fleet.names) {
            fleet.startGateway(name, false);
        }
    }

    void expectContinuedAsBegun() const
    {
        const StreamVersionFleet::Tally &it = fleet.tally;
        if (it.continued + it.refused < kLeastStreams) {
            return;
        }
        const double continued = static_cast<double>(it.continued) / (it.continued + it.refused);
        const double begun = static_cast<double>(it.begun) / (it.begun + it.notBegun);
        EXPECT_GE(continued, begun / 2) << it.continued << " continued, " << it.refused << " refused, " << it.begun
                                        << " begun, " << it.notBegun << " not begun";
    }

    StreamVersionFleet fleet;
};

// Guards against streams with events of two versions, whatever befalls gateways, homes, network and store.
TEST_P(StreamVersionScheduleTest, faultsOfAllKinds_noStreamIsOfTwoVersions)
{
    scheduleVersions();
    for (int n = 0; n < 4; ++n) {
        scheduleGatewayFault();
        scheduleGraveFault();
    }
    fleet.clock.advance(kEnd);
    EXPECT_EQ(fleet.tally.mixed, 0);
    EXPECT_GT(fleet.tally.begun, 0);
}

// Guards against streams that nobody continues since the gateway that began them is frozen, cut off or dead.
TEST_P(StreamVersionScheduleTest, faultsOfGateways_streamsContinueAsNewOnesBegin)
{
    scheduleVersions();
    for (int n = 0; n < 3; ++n) {
        scheduleGatewayFault();
    }
    fleet.clock.advance(kEnd);
    EXPECT_EQ(fleet.tally.mixed, 0);
    expectContinuedAsBegun();
}

/// Schedules in which endpoints start again under their ids, over the same fleet.
class EndpointRestartScheduleTest : public StreamVersionScheduleTest
{
protected:
    /// Endpoints start again under their ids, with any version, some of them several times.
    void scheduleRestarts()
    {
        constexpr int kRestarts = 8;
        fleet.reportStarts();
        for (int n = 0; n < kRestarts; ++n) {
            const Duration away = between(milliseconds(30), seconds(5));
            const Duration entryDelay = fleet.random.below(2) == 0 ? Duration::zero() : between(seconds(0), seconds(8));
            const std::string version = "v" + std::to_string(1 + fleet.random.below(3));
            at(between(seconds(0), seconds(30)), [this, version, away, entryDelay] {
                fleet.restart(anyOf(fleet.endpointNames()), version, away, entryDelay);
            });
        }
        if (fleet.random.below(2) == 0) {
            const Duration begin = between(seconds(0), seconds(20));
            at(begin, [this] {
                fleet.setStoreDown(true);
            });
            at(begin + between(seconds(1), seconds(9)), [this] {
                fleet.setStoreDown(false);
            });
        }
    }
};

// Guards against streams with events of two versions, and streams that nobody continues, while endpoints start again
// under their ids before the list shows it.
TEST_P(EndpointRestartScheduleTest, endpointsStartAgain_streamsContinueAtTheirVersions)
{
    scheduleRestarts();
    fleet.clock.advance(kEnd);
    EXPECT_EQ(fleet.tally.mixed, 0);
    EXPECT_GT(fleet.tally.begun, 0);
    expectContinuedAsBegun();
}

// Guards against the same beside faults of gateways, homes, network and store.
TEST_P(EndpointRestartScheduleTest, endpointsStartAgainBesideFaults_noStreamIsOfTwoVersions)
{
    scheduleRestarts();
    for (int n = 0; n < 3; ++n) {
        scheduleGatewayFault();
        scheduleGraveFault();
    }
    fleet.clock.advance(kEnd);
    EXPECT_EQ(fleet.tally.mixed, 0);
    EXPECT_GT(fleet.tally.begun, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, StreamVersionScheduleTest, testing::ValuesIn(StreamVersionScheduleTest::seedsBelow(40)),
                         StreamVersionScheduleTest::nameOf);
INSTANTIATE_TEST_SUITE_P(TwoHolders, StreamVersionScheduleTest,
                         testing::ValuesIn(StreamVersionScheduleTest::schedulesWithTwoHolders()),
                         StreamVersionScheduleTest::nameOf);
// Both gateways have started again since the second version joined, so that nobody knows since when records are needed.
INSTANTIATE_TEST_SUITE_P(ThreeHolders, StreamVersionScheduleTest, testing::Values(Schedule{57, 2, 1}),
                         StreamVersionScheduleTest::nameOf);
INSTANTIATE_TEST_SUITE_P(Seeds, EndpointRestartScheduleTest,
                         testing::ValuesIn(StreamVersionScheduleTest::seedsBelow(40)),
                         StreamVersionScheduleTest::nameOf);
