#pragma once

#include "radishctlapp.h"

#include "base/failure.h"
#include "budgets/ledger.h"
#include "manualtaskqueue.h"
#include "memoryobjectstore.h"
#include "seededrandom.h"
#include "virtualtimerservice.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>

/// What the tests of the command layer share: a store in memory, virtual time, admin ports that answer as told.
namespace RadishctlTesting
{

using namespace RadishSwitch;

/// Admin ports that answer what a test wrote for them; others cannot be reached.
class FakeAdmin : public AdminPort
{
public:
    explicit FakeAdmin(TaskQueue &tasks)
        : m_tasks(tasks)
    {
    }

    void ask(const std::string &address, const std::string &method, const std::string &target,
             std::function<void(absl::StatusOr<AdminAnswer>)> callback) override
    {
        const std::string asked = method + " " + address + target;
        calls.push_back(asked);
        const auto it = answers.find(asked);
        const bool isKnown = it != answers.end();
        const absl::StatusOr<AdminAnswer> answer = isKnown
            ? absl::StatusOr<AdminAnswer>(it->second)
            : absl::StatusOr<AdminAnswer>(makeFailure(FailureCode::ConnectionLost, address + " is gone"));
        m_tasks.post([callback = std::move(callback), answer] {
            callback(answer);
        });
    }

    std::map<std::string, AdminAnswer> answers;
    std::vector<std::string> calls;

private:
    TaskQueue &m_tasks;
};

/// Waits by running tasks and letting virtual time pass.
class PumpingWaiter : public Waiter
{
public:
    PumpingWaiter(ManualTaskQueue &tasks, VirtualTimerService &timers)
        : m_tasks(tasks)
        , m_timers(timers)
    {
    }

    void wait(const std::function<void(std::function<void()> done)> &start) override
    {
        const auto isDone = std::make_shared<bool>(false);
        start([isDone] {
            *isDone = true;
        });
        for (int n = 0; n < 1'000'000 && !*isDone; ++n) {
            if (!m_tasks.runOne()) {
                m_timers.fireNext();
            }
        }
        ASSERT_TRUE(*isDone);
    }

    void pause(Duration span) override
    {
        m_timers.advance(span);
        if (onPause) {
            onPause();
        }
    }

    std::function<void()> onPause;

private:
    ManualTaskQueue &m_tasks;
    VirtualTimerService &m_timers;
};

class RadishctlTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_folder = std::filesystem::path(testing::TempDir())
            / (std::string("radishctl-") + testing::UnitTest::GetInstance()->current_test_info()->name());
        std::filesystem::create_directories(m_folder);
    }

    void TearDown() override
    {
        std::filesystem::remove_all(m_folder);
    }

    ExitCode run(std::vector<std::string> arguments)
    {
        m_out.str("");
        m_err.str("");
        GlobalOptions defaults;
        defaults.operatorName = m_operator;
        defaults.fromWhere = "desk";
        LedgerSettings settings;
        settings.shardCount = 4;
        Ledger ledger(m_store, m_timers, m_random, settings);
        LedgerEditor budgets(ledger, m_timers, m_tasks);
        const auto factory = [&](const GlobalOptions &) -> absl::StatusOr<CommandEnvironment> {
            return CommandEnvironment{m_store, m_timers, m_tasks, m_random, budgets, m_admin, m_waiter};
        };
        return RadishctlApp(factory, defaults, m_out, m_err).run(std::move(arguments));
    }

    nlohmann::json runJson(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--output", "json"});
        EXPECT_EQ(run(arguments), ExitCode::Ok) << m_err.str();
        return nlohmann::json::parse(m_out.str(), nullptr, false);
    }

    std::string path(const std::string &name) const
    {
        return (m_folder / name).string();
    }

    void write(const std::string &name, const std::string &content) const
    {
        std::ofstream(path(name), std::ios::binary) << content;
    }

    void list(const std::string &name, const std::string &role, const std::string &admin)
    {
        const nlohmann::json instance{{"name", name},    {"role", role},     {"address", "10.0.0.1:1"},
                                      {"admin", admin},  {"zone", "hall-a"}, {"region", "south-central"},
                                      {"pool", "drape"}, {"state", "live"}};
        m_store.put("instances/" + name, instance.dump(), 0, [](const auto &) {});
        m_tasks.runAll();
    }

    void answer(const std::string &asked, const nlohmann::json &body, int status = 200)
    {
        m_admin.answers[asked] = AdminAnswer{status, body.dump()};
    }

    TableDocument document()
    {
        return *TableDocument::decode(m_store.objects().at(kTableKey).value);
    }

    std::int64_t share(const std::string &organisation)
    {
        return std::get<OrganisationRow>(*document().rows.find(TableKind::Organisation, organisation)).share;
    }

    VirtualTimerService m_timers;
    ManualTaskQueue m_tasks;
    SeededRandom m_random;
    MemoryObjectStore m_store{m_tasks};
    FakeAdmin m_admin{m_tasks};
    PumpingWaiter m_waiter{m_tasks, m_timers};
    std::filesystem::path m_folder;
    std::string m_operator = "ann";
    std::ostringstream m_out;
    std::ostringstream m_err;
};

}
