#include "childprocess.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace RadishSwitch;

namespace
{

constexpr char kLoopback[] = "127.0.0.1:0";
/// Nothing listens there: what a program does about signals must not wait for its store.
constexpr char kNoStore[] = "127.0.0.1:1";
constexpr char kFleetKey[] = "a-fleet-key-for-tests-0123456789";

constexpr std::chrono::seconds kPatience{20};
constexpr std::chrono::milliseconds kPause{10};
constexpr int kRepeats = 5;

struct Program {
    std::string name;
    std::vector<std::string> flags;

    friend void PrintTo(const Program &program, std::ostream *out)
    {
        *out << program.name;
    }
};

std::vector<Program> programs()
{
    const std::vector<std::string> place{"--region", "south", "--zone", "a", "--fleet-key", kFleetKey};
    const auto with = [&place](std::vector<std::string> flags) {
        flags.insert(flags.end(), place.begin(), place.end());
        return flags;
    };
    return {
        {"radishswitch-gateway",
         with({"--listen", kLoopback, "--peer-listen", kLoopback, "--admin-listen", kLoopback, "--platform", kNoStore,
               "--drain-timeout", "1s"})},
        {"radishswitch-home",
         with({"--peer-listen", kLoopback, "--admin-listen", kLoopback, "--platform", kNoStore, "--drain-timeout",
               "1s"})},
        {"radishswitch-entry",
         with({"--listen", kLoopback, "--peer-listen", kLoopback, "--admin-listen", kLoopback, "--platform", kNoStore,
               "--drain-notice", "100ms", "--drain-timeout", "1s"})},
        {"radishswitch-agent",
         with({"--listen", kLoopback, "--admin-listen", kLoopback, "--platform", kNoStore, "--endpoint", kNoStore,
               "--pool", "llm", "--drain-timeout", "1s"})},
        {"standin-platform", {"--port", "0"}},
        {"standin-engine", {"--listen", kLoopback}},
        {"standin-service", {"--listen", kLoopback}},
        {"standin-relay", {"--listen", kLoopback, "--forward", std::string(kLoopback) + "=" + kNoStore + ",store"}},
        {"standin-store", {"--listen", kLoopback}},
        {"standin-replica", {"--listen", kLoopback}},
    };
}

}

class ProgramSignalsTest : public testing::TestWithParam<Program>
{
protected:
    ProgramSignalsTest()
        : logFile(testing::TempDir() + "signals-" + GetParam().name + "-" + std::to_string(::getpid()) + ".log")
        , process(command(), logFile)
    {
    }

    ~ProgramSignalsTest() override
    {
        std::filesystem::remove(logFile);
    }

    static std::vector<std::string> command()
    {
        std::vector<std::string> words{std::string(PROGRAMS_FOLDER) + "/" + GetParam().name};
        words.insert(words.end(), GetParam().flags.begin(), GetParam().flags.end());
        return words;
    }

    /// Whether the process has a handler of its own for a signal, by what the kernel says.
    bool catches(int signal) const
    {
        std::ifstream status("/proc/" + std::to_string(process.id()) + "/status");
        const std::string prefix("SigCgt:");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(prefix)) {
                const std::uint64_t mask = std::stoull(line.substr(prefix.size()), nullptr, 16);
                return (mask >> (signal - 1)) & 1;
            }
        }
        return false;
    }

    template<typename Condition>
    static bool waitUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + kPatience;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(kPause);
        }
        return true;
    }

    std::string log() const
    {
        std::ifstream file(logFile);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    const std::string logFile;
    ChildProcess process;
};

TEST_P(ProgramSignalsTest, sighupInSeries_leavesTheProgramRunning_andSigtermEndsIt)
{
    // An operator changes the settings file, and the platform sends SIGHUP to all processes, some of them several
    // times. A program that leaves the signal to its default dies of it: what it held of budgets is lost to callers,
    // and calls are refused for it long after. SIGTERM must end the program as before.
    ASSERT_TRUE(waitUntil([this] {
        return catches(SIGTERM) || !process.isRunning();
    }));
    for (int n = 0; n < kRepeats; ++n) {
        process.signal(SIGHUP);
        std::this_thread::sleep_for(kPause);
    }
    ASSERT_TRUE(process.isRunning()) << log();

    process.signal(SIGTERM);

    EXPECT_TRUE(waitUntil([this] {
        return !process.isRunning();
    })) << log();
}

INSTANTIATE_TEST_SUITE_P(AllPrograms, ProgramSignalsTest, testing::ValuesIn(programs()),
                         [](const testing::TestParamInfo<Program> &info) {
                             std::string name = info.param.name;
                             std::replace(name.begin(), name.end(), '-', '_');
                             return name;
                         });
