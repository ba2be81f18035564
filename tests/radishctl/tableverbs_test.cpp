#include "radishctlfixture.h"

#include "base/apikeyhash.h"

using namespace RadishctlTesting;
using testing::HasSubstr;
using testing::Not;

namespace
{

class TableVerbsTest : public RadishctlTest
{
};

}

TEST_F(TableVerbsTest, orgCreate_freshKey_isShownOnceAndKeptHashed)
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

TEST_F(TableVerbsTest, orgKeys_addedAndRemoved_changeTheRow)
{
    run({"org", "create", "magnolia"});
    const std::string second = runJson({"org", "add-key", "magnolia"}).at("api_key");
    ASSERT_EQ(document().rows.organisations.at(0).keySha256.size(), 2u);

    EXPECT_EQ(run({"org", "remove-key", "magnolia", apiKeyHash(second).substr(0, 12)}), ExitCode::Ok);

    EXPECT_EQ(document().rows.organisations.at(0).keySha256.size(), 1u);
    EXPECT_NE(document().rows.organisations.at(0).keySha256.at(0), apiKeyHash(second));
    EXPECT_EQ(run({"org", "remove-key", "magnolia", "ffffffffffff"}), ExitCode::Failed);
}

TEST_F(TableVerbsTest, create_sentAgainUnderItsChangeId_showsNoKeyThatIsNotInTheTable)
{
    // The first try took effect, but its answer was lost; the operator sends it again. A fresh key is drawn, but the
    // table keeps the first one's hash, so showing the fresh one would hand out a key that opens nothing.
    const std::string id = "0-00000000000000aa";
    ASSERT_EQ(run({"org", "create", "magnolia", "--change-id", id}), ExitCode::Ok);

    ASSERT_EQ(run({"org", "create", "magnolia", "--change-id", id}), ExitCode::Ok);

    EXPECT_THAT(m_out.str(), Not(HasSubstr("api key")));
    EXPECT_EQ(document().revision, 1u);
}

TEST_F(TableVerbsTest, set_onARowThatAnotherChanged_exitsWithConflictAndNamesTheWinner)
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

TEST_F(TableVerbsTest, planAndApply_ofAFolder_areIdempotentWithExitCodesForCi)
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

TEST_F(TableVerbsTest, apply_folderWithAMisspeltFile_isRefusedAsAWhole)
{
    write("organisations.json", R"([{"name": "magnolia"}])");
    write("rout.csv", "name\n");

    EXPECT_EQ(run({"table", "apply", m_folder.string()}), ExitCode::Usage);
    EXPECT_THAT(m_err.str(), HasSubstr("rout.csv"));
    EXPECT_TRUE(m_store.objects().empty());
}

TEST_F(TableVerbsTest, apply_fileWithFaults_tellsEachAndChangesNothing)
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

TEST_F(TableVerbsTest, export_editedAndApplied_changesOnlyTheEditedCell)
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

TEST_F(TableVerbsTest, exportFolder_plannedAgain_hasNothingToChange)
{
    run({"org", "create", "magnolia", "share=7"});
    ASSERT_EQ(run({"table", "export", "--folder", m_folder.string()}), ExitCode::Ok) << m_err.str();

    EXPECT_EQ(run({"table", "plan", m_folder.string(), "--prune"}), ExitCode::Ok) << m_out.str();
}

TEST_F(TableVerbsTest, historyAndDiff_ofSeveralChanges_tellWhoAndTheNetOutcome)
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

TEST_F(TableVerbsTest, tableWait_noEntryListed_isNoSuccess)
{
    EXPECT_EQ(run({"table", "wait", "1"}), ExitCode::Failed);
}

TEST_F(TableVerbsTest, tableWait_untilTheLastEntryHasIt_endsWell)
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

TEST_F(TableVerbsTest, tableWait_oneBehindAndOneGone_tellsWhichLackIt)
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
