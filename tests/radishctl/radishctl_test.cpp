#include "radishctlapp.h"

#include "apikeyhash.h"
#include "failure.h"
#include "ledger.h"
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

using namespace RadishSwitch;
using namespace std::chrono_literals;
using testing::HasSubstr;
using testing::Not;

namespace
{

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

TEST_F(RadishctlTest, orgCreate_freshKey_isShownOnceAndKeptHashed)
{
    const nlohmann::json created = runJson({"org", "create", "magnolia", "share=300"});
    const std::string key = created.at("api_key");

    EXPECT_EQ(document().rows.organisations.at(0).keySha256, std::vector<std::string>{apiKeyHash(key)});
    for (const auto &[name, object] : m_store.objects()) {
        EXPECT_THAT(object.value, Not(HasSubstr(key))) << name;
    }
    EXPECT_THAT(runJson({"org", "show", "magnolia"}).dump(), Not(HasSubstr(key)));
    EXPECT_EQ(key.size(), 68u);
}

TEST_F(RadishctlTest, orgKeys_addedAndRemoved_changeTheRow)
{
    run({"org", "create", "magnolia"});
    const std::string second = runJson({"org", "add-key", "magnolia"}).at("api_key");
    ASSERT_EQ(document().rows.organisations.at(0).keySha256.size(), 2u);

    EXPECT_EQ(run({"org", "remove-key", "magnolia", apiKeyHash(second).substr(0, 12)}), ExitCode::Ok);

    EXPECT_EQ(document().rows.organisations.at(0).keySha256.size(), 1u);
    EXPECT_NE(document().rows.organisations.at(0).keySha256.at(0), apiKeyHash(second));
    EXPECT_EQ(run({"org", "remove-key", "magnolia", "ffffffffffff"}), ExitCode::Failed);
}

TEST_F(RadishctlTest, create_sentAgainUnderItsChangeId_showsNoKeyThatIsNotInTheTable)
{
    // The first try took effect, but its answer was lost; the operator sends it again. A fresh key is drawn, but the
    // table keeps the first one's hash, so showing the fresh one would hand out a key that opens nothing.
    const std::string id = "0-00000000000000aa";
    ASSERT_EQ(run({"org", "create", "magnolia", "--change-id", id}), ExitCode::Ok);

    ASSERT_EQ(run({"org", "create", "magnolia", "--change-id", id}), ExitCode::Ok);

    EXPECT_THAT(m_out.str(), Not(HasSubstr("api key")));
    EXPECT_EQ(document().revision, 1u);
}

TEST_F(RadishctlTest, set_onARowThatAnotherChanged_exitsWithConflictAndNamesTheWinner)
{
    run({"org", "create", "magnolia"});
    m_operator = "bob";
    ASSERT_EQ(run({"org", "set", "magnolia", "share=300"}), ExitCode::Ok);
    m_operator = "ann";

    EXPECT_EQ(run({"org", "set", "magnolia", "share=700", "--row-version", "1", "-o", "json"}), ExitCode::Conflict);

    const nlohmann::json conflict = nlohmann::json::parse(m_err.str()).at("error").at("conflict");
    EXPECT_EQ(conflict.at("yours"), "700");
    EXPECT_EQ(conflict.at("theirs"), "300");
    EXPECT_EQ(conflict.at("winner"), "bob");
    EXPECT_EQ(share("magnolia"), 300);
}

TEST_F(RadishctlTest, planAndApply_ofAFolder_areIdempotentWithExitCodesForCi)
{
    write("organisations.json", R"([{"name": "magnolia", "share": 300}, {"name": "tourbillon"}])");
    write("pools.csv", "name,models\ndrape,drape-7b\n");
    write("routes.csv", "name,model,pool\nall-drape,drape-7b,drape\n");
    write("README.md", "not a declaration");

    EXPECT_EQ(run({"table", "plan", m_folder.string()}), ExitCode::PlanHasChanges);
    EXPECT_THAT(m_out.str(), HasSubstr("organisation \"magnolia\" added: share 300"));
    EXPECT_TRUE(m_store.objects().empty());
    EXPECT_EQ(run({"table", "apply", m_folder.string(), "--reason", "first"}), ExitCode::Ok);
    EXPECT_EQ(document().revision, 1u);
    EXPECT_EQ(run({"table", "plan", m_folder.string()}), ExitCode::Ok);
    EXPECT_EQ(run({"table", "apply", m_folder.string()}), ExitCode::Ok);
    EXPECT_EQ(document().revision, 1u);

    write("organisations.json", R"([{"name": "magnolia", "share": 200}])");
    EXPECT_EQ(run({"table", "apply", m_folder.string()}), ExitCode::Ok);
    EXPECT_EQ(document().rows.organisations.size(), 2u);
    EXPECT_EQ(run({"table", "apply", m_folder.string(), "--prune"}), ExitCode::Ok);
    EXPECT_EQ(document().rows.organisations.size(), 1u);
}

TEST_F(RadishctlTest, apply_folderWithAMisspeltFile_isRefusedAsAWhole)
{
    write("organisations.json", R"([{"name": "magnolia"}])");
    write("rout.csv", "name\n");

    EXPECT_EQ(run({"table", "apply", m_folder.string()}), ExitCode::Usage);
    EXPECT_THAT(m_err.str(), HasSubstr("rout.csv"));
    EXPECT_TRUE(m_store.objects().empty());
}

TEST_F(RadishctlTest, apply_fileWithFaults_tellsEachAndChangesNothing)
{
    write("table.csv", "kind,name,share\norganisation,magnolia,ten\norganisation,tourbillon,0\n");

    EXPECT_EQ(run({"table", "apply", path("table.csv"), "-o", "json"}), ExitCode::Failed);

    const nlohmann::json error = nlohmann::json::parse(m_err.str()).at("error");
    EXPECT_EQ(error.at("code"), "table_invalid");
    ASSERT_EQ(error.at("problems").size(), 2u);
    EXPECT_EQ(error.at("problems")[0].at("line"), 2);
    EXPECT_EQ(error.at("problems")[1].at("row"), "tourbillon");
    EXPECT_TRUE(m_store.objects().empty());
}

TEST_F(RadishctlTest, export_editedAndApplied_changesOnlyTheEditedCell)
{
    run({"org", "create", "magnolia", "note=a, \"quoted\" note"});
    run({"org", "create", "tourbillon"});
    run({"table", "export"});
    std::string csv = m_out.str();
    const std::size_t at = csv.find(",100,", csv.find("tourbillon"));
    ASSERT_NE(at, std::string::npos);
    write("table.csv", csv.replace(at, 5, ",250,"));

    ASSERT_EQ(run({"table", "apply", path("table.csv")}), ExitCode::Ok) << m_err.str();

    EXPECT_EQ(share("tourbillon"), 250);
    EXPECT_THAT(m_out.str(), HasSubstr("share 100 -> 250"));
    EXPECT_EQ(document().recent.back().changes.size(), 1u);
}

TEST_F(RadishctlTest, exportFolder_plannedAgain_hasNothingToChange)
{
    run({"org", "create", "magnolia", "share=7"});
    ASSERT_EQ(run({"table", "export", "--folder", m_folder.string()}), ExitCode::Ok) << m_err.str();

    EXPECT_EQ(run({"table", "plan", m_folder.string(), "--prune"}), ExitCode::Ok) << m_out.str();
}

TEST_F(RadishctlTest, historyAndDiff_ofSeveralChanges_tellWhoAndTheNetOutcome)
{
    run({"org", "create", "magnolia"});
    run({"org", "set", "magnolia", "share=200", "--reason", "first try"});
    m_operator = "bob";
    run({"org", "set", "magnolia", "share=300"});

    const nlohmann::json history = runJson({"table", "history", "--row", "organisation/magnolia"});
    ASSERT_EQ(history.size(), 3u);
    EXPECT_EQ(history[0].at("who"), "bob");
    EXPECT_EQ(history[1].at("why"), "first try");
    EXPECT_EQ(run({"table", "diff", "1"}), ExitCode::Ok);
    EXPECT_EQ(m_out.str(), "organisation \"magnolia\": share 100 -> 300\n");
    EXPECT_EQ(run({"table", "diff", "1", "2"}), ExitCode::Ok);
    EXPECT_EQ(m_out.str(), "organisation \"magnolia\": share 100 -> 200\n");
}

TEST_F(RadishctlTest, topup_toldTwiceAndItsAnswerLost_countsOnce)
{
    run({"org", "create", "magnolia"});
    ASSERT_EQ(run({"budget", "create", "magnolia"}), ExitCode::Ok) << m_err.str();
    m_store.loseAnswersOfNextWrites(1);
    ASSERT_EQ(run({"topup", "magnolia", "--tokens", "5000", "--payment-id", "p-1"}), ExitCode::Ok) << m_err.str();
    ASSERT_EQ(run({"topup", "magnolia/main", "--tokens", "5000", "--payment-id", "p-1"}), ExitCode::Ok);

    EXPECT_EQ(runJson({"budget", "show", "magnolia/main"}).at("paid"), 5000);
    EXPECT_EQ(runJson({"budget", "list"}).at(0).at("free"), 5000);
    EXPECT_EQ(run({"topup", "magnolia", "--tokens", "6000", "--payment-id", "p-1"}), ExitCode::Failed);
    EXPECT_EQ(run({"topup", "magnolia", "--tokens", "0", "--payment-id", "p-2"}), ExitCode::Usage);
    EXPECT_EQ(run({"budget", "create", "nobody/main"}), ExitCode::Failed);
    EXPECT_EQ(run({"budget", "show", "magnolia/other"}), ExitCode::Failed);
}

TEST_F(RadishctlTest, topup_storeAwayForLong_endsWithAnUnknownOutcome)
{
    run({"org", "create", "magnolia"});
    run({"budget", "create", "magnolia"});
    m_store.setAway(true);

    EXPECT_EQ(run({"topup", "magnolia", "--tokens", "5000", "--payment-id", "p-1", "-o", "json"}), ExitCode::Failed);

    const nlohmann::json error = nlohmann::json::parse(m_err.str()).at("error");
    EXPECT_EQ(error.at("outcome"), "unknown");
    EXPECT_THAT(error.at("message").get<std::string>(), HasSubstr("counts once"));
}

TEST_F(RadishctlTest, audit_ofOneOrganisation_tellsTableAndBudgetChanges)
{
    m_timers.advance(std::chrono::hours(1000));
    run({"org", "create", "magnolia"});
    run({"org", "create", "tourbillon"});
    run({"budget", "create", "magnolia"});
    run({"topup", "magnolia", "--tokens", "5000", "--payment-id", "p-1"});
    m_timers.advance(std::chrono::hours(3));
    run({"org", "set", "magnolia", "share=300", "--reason", "peak"});

    const nlohmann::json all = runJson({"audit", "--org", "magnolia"});
    ASSERT_EQ(all.size(), 4u);
    EXPECT_EQ(all[0].at("why"), "peak");
    EXPECT_THAT(all[1].at("what").get<std::string>(), HasSubstr("top-up p-1 5000"));
    EXPECT_THAT(m_out.str(), Not(HasSubstr("tourbillon")));
    EXPECT_EQ(runJson({"audit", "--since", "2h"}).size(), 1u);
    EXPECT_EQ(run({"audit", "--since", "yesterday"}), ExitCode::Usage);
}

TEST_F(RadishctlTest, tableWait_noEntryListed_isNoSuccess)
{
    EXPECT_EQ(run({"table", "wait", "1"}), ExitCode::Failed);
}

TEST_F(RadishctlTest, tableWait_untilTheLastEntryHasIt_endsWell)
{
    list("entry-1", "entry", "10.0.0.1:9");
    list("entry-2", "entry", "10.0.0.2:9");
    list("agent-1", "agent", "10.0.0.3:9");
    answer("GET 10.0.0.1:9/status", {{"table_revision", 41}});
    answer("GET 10.0.0.2:9/status", {{"table_revision", 40}});
    m_waiter.onPause = [this] {
        answer("GET 10.0.0.2:9/status", {{"table_revision", 41}});
    };

    EXPECT_EQ(run({"table", "wait", "41"}), ExitCode::Ok) << m_out.str();
    EXPECT_THAT(m_out.str(), HasSubstr("all 2 entries"));
}

TEST_F(RadishctlTest, tableWait_oneBehindAndOneGone_tellsWhichLackIt)
{
    list("entry-1", "entry", "10.0.0.1:9");
    list("entry-2", "entry", "10.0.0.2:9");
    list("entry-3", "entry", "10.0.0.3:9");
    answer("GET 10.0.0.1:9/status", {{"table_revision", 41}});
    answer("GET 10.0.0.2:9/status", {{"table_revision", 40}});

    EXPECT_EQ(run({"table", "wait", "41", "--timeout", "3"}), ExitCode::Failed);

    EXPECT_THAT(m_out.str(), HasSubstr("entry-2: at revision 40"));
    EXPECT_THAT(m_out.str(), HasSubstr("entry-3: 10.0.0.3:9 is gone"));
    EXPECT_THAT(m_out.str(), Not(HasSubstr("entry-1")));
}

TEST_F(RadishctlTest, status_ofAFleet_showsInstancesPoolsAndRefusals)
{
    run({"pool", "create", "drape", "models=drape-7b"});
    list("entry-1", "entry", "10.0.0.1:9");
    list("agent-1", "agent", "10.0.0.3:9");
    list("agent-2", "agent", "10.0.0.4:9");
    answer("GET 10.0.0.1:9/status",
           {{"table_revision", 1},
            {"state", "ready"},
            {"queues", {{"drape", 7}}},
            {"eligible_endpoints", {{"drape", 1}}},
            {"refusals", {{"budget_exhausted", 3}}}});
    answer("GET 10.0.0.3:9/status", {{"state", "leaving"}});

    const nlohmann::json status = runJson({"status"});

    EXPECT_EQ(status.at("table_revision"), 1);
    EXPECT_EQ(status.at("pools").at(0).at("endpoints"), 2);
    EXPECT_EQ(status.at("pools").at(0).at("leaving"), 1);
    EXPECT_EQ(status.at("pools").at(0).at("queued"), 7);
    EXPECT_EQ(status.at("pools").at(0).at("fewest_eligible"), 1);
    EXPECT_EQ(status.at("refusals").at(0).at("count"), 3);
    EXPECT_EQ(status.at("instances").at(1).at("state"), "unreachable, listed as live");
    EXPECT_EQ(runJson({"status", "--budgets"}).at("budgets").at("withheld"), 0);
    EXPECT_EQ(run({"status", "--watch", "--redraws", "3"}), ExitCode::Ok);
    EXPECT_THAT(m_out.str(), HasSubstr("budget_exhausted"));
}

TEST_F(RadishctlTest, drainAndWhy_askTheRightAdminPorts)
{
    list("entry-1", "entry", "10.0.0.1:9");
    list("entry-2", "entry", "10.0.0.2:9");
    answer("POST 10.0.0.2:9/drain", {{"state", "draining"}});
    answer("GET 10.0.0.1:9/requests/req-7", nlohmann::json::object(), 404);
    answer("GET 10.0.0.2:9/requests/req-7",
           {{"result", "budget_exhausted"},
            {"budget", "magnolia/main"},
            {"pool", "drape"},
            {"steps", {{{"at_ms", 1000}, {"text", "refused by the home"}}}}});

    EXPECT_EQ(run({"drain", "entry-2"}), ExitCode::Ok) << m_err.str();
    EXPECT_EQ(run({"drain", "entry-9"}), ExitCode::Failed);
    EXPECT_EQ(runJson({"why", "req-7"}).at(0).at("result"), "budget_exhausted");
    EXPECT_EQ(run({"why", "req-7"}), ExitCode::Ok);
    EXPECT_EQ(m_out.str(),
              "entry-2: budget_exhausted, budget magnolia/main, pool drape\n"
              "  1970-01-01T00:00:01Z  refused by the home\n");
    answer("GET 10.0.0.1:9/requests/req-8", nlohmann::json::object(), 404);
    EXPECT_EQ(run({"why", "req-8"}), ExitCode::Failed);
    EXPECT_THAT(m_err.str(), HasSubstr("entry-2 could not be asked"));
    EXPECT_EQ(run({"why", "../drain"}), ExitCode::Usage);
}

TEST_F(RadishctlTest, storeAway_endsTypedAndChangesNothing)
{
    run({"org", "create", "magnolia"});
    const std::string before = m_store.objects().at(kTableKey).value;
    m_store.setAway(true);

    EXPECT_EQ(run({"org", "create", "other", "-o", "json"}), ExitCode::Failed);

    EXPECT_EQ(nlohmann::json::parse(m_err.str()).at("error").at("code"), "store_unavailable");
    EXPECT_EQ(m_store.objects().at(kTableKey).value, before);
}

TEST_F(RadishctlTest, commandLine_wrongOrAskingForHelp_hasItsExitCode)
{
    EXPECT_EQ(run({}), ExitCode::Usage);
    EXPECT_EQ(run({"tabel"}), ExitCode::Usage);
    EXPECT_EQ(run({"table", "apply"}), ExitCode::Usage);
    EXPECT_EQ(run({"org", "set", "magnolia", "share"}), ExitCode::Usage);
    EXPECT_EQ(run({"org", "list", "--output", "xml"}), ExitCode::Usage);
    EXPECT_EQ(run({"org", "set", "magnolia", "share=1"}), ExitCode::Failed);
    EXPECT_EQ(run({"org", "create", "Magnolia"}), ExitCode::Failed);
    for (const std::vector<std::string> &verb : std::vector<std::vector<std::string>>{{"table", "export"},
                                                                                      {"table", "plan"},
                                                                                      {"table", "apply"},
                                                                                      {"table", "set", "organisation"},
                                                                                      {"table", "history"},
                                                                                      {"table", "diff"},
                                                                                      {"table", "wait"},
                                                                                      {"org", "create"},
                                                                                      {"pool", "list"},
                                                                                      {"route", "set"},
                                                                                      {"group", "remove"},
                                                                                      {"budget", "show"},
                                                                                      {"topup"},
                                                                                      {"release-withheld"},
                                                                                      {"status"},
                                                                                      {"drain"},
                                                                                      {"endpoint", "list"},
                                                                                      {"audit"},
                                                                                      {"why"}}) {
        std::vector<std::string> arguments = verb;
        arguments.push_back("--help");
        EXPECT_EQ(run(arguments), ExitCode::Ok);
        EXPECT_THAT(m_out.str(), HasSubstr("Examples:\n  radishctl " + verb.front())) << verb.front();
    }
}
