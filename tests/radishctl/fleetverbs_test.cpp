#include "radishctlfixture.h"

using namespace RadishctlTesting;
using testing::HasSubstr;
using testing::Not;

namespace
{

class FleetVerbsTest : public RadishctlTest
{
};

}

TEST_F(FleetVerbsTest, topup_toldTwiceAndItsAnswerLost_countsOnce)
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

TEST_F(FleetVerbsTest, topup_storeAwayForLong_endsWithAnUnknownOutcome)
{
    run({"org", "create", "magnolia"});
    run({"budget", "create", "magnolia"});
    m_store.setUnavailable(true);

    EXPECT_EQ(run({"topup", "magnolia", "--tokens", "5000", "--payment-id", "p-1", "-o", "json"}), ExitCode::Failed);

    const nlohmann::json error = nlohmann::json::parse(m_err.str()).at("error");
    EXPECT_EQ(error.at("outcome"), "unknown");
    EXPECT_THAT(error.at("message").get<std::string>(), HasSubstr("counts once"));
}

TEST_F(FleetVerbsTest, audit_ofOneOrganisation_tellsTableAndBudgetChanges)
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

TEST_F(FleetVerbsTest, status_ofAFleet_showsInstancesPoolsAndRefusals)
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

TEST_F(FleetVerbsTest, drainAndWhy_askTheRightAdminPorts)
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

TEST_F(FleetVerbsTest, storeAway_endsTypedAndChangesNothing)
{
    run({"org", "create", "magnolia"});
    const std::string before = m_store.objects().at(kTableKey).value;
    m_store.setUnavailable(true);

    EXPECT_EQ(run({"org", "create", "other", "-o", "json"}), ExitCode::Failed);

    EXPECT_EQ(nlohmann::json::parse(m_err.str()).at("error").at("code"), "store_unavailable");
    EXPECT_EQ(m_store.objects().at(kTableKey).value, before);
}

TEST_F(FleetVerbsTest, commandLine_wrongOrAskingForHelp_hasItsExitCode)
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
