#include "table/tablecsv.h"

#include "base/failure.h"
#include "table/csvtext.h"
#include "table/rowconflict.h"
#include "table/tablecheck.h"
#include "table/tablecolumns.h"
#include "table/tableplan.h"
#include "table/tableproblem.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

using namespace RadishSwitch;

namespace
{

constexpr char kKeyHash[] = "00e1234567890123456789012345678901234567890123456789012345678901";

TableRows sampleRows()
{
    TableRows rows;
    OrganisationRow magnolia;
    magnolia.name = OrganisationId("magnolia");
    magnolia.keySha256 = {kKeyHash};
    magnolia.share = 300;
    magnolia.note = "Saturday peak, \"never\" cut;\nask Ann";
    magnolia.rowVersion = 4;
    rows.put(magnolia);
    OrganisationRow tourbillon;
    tourbillon.name = OrganisationId("tourbillon");
    tourbillon.note = "=HYPERLINK(\"http://evil\")";
    tourbillon.rowVersion = 5;
    rows.put(tourbillon);
    PoolRow chat;
    chat.name = PoolId("drape-llm");
    chat.models = {"drape-7b", "Qwen/Qwen2.5-7B"};
    chat.policy = PoolPolicy::LeastOutstanding;
    rows.put(chat);
    PoolRow service;
    service.name = PoolId("shopfront-api");
    service.kind = PoolKind::Service;
    service.nonIdempotent = {{"POST", "/orders"}, {"*", "/payments"}};
    service.tokensPerCall = 3;
    rows.put(service);
    RouteRow route;
    route.name = "all-drape";
    route.model = "drape-7b";
    route.pool = PoolId("drape-llm");
    rows.put(route);
    EndpointGroupRow group;
    group.name = "drape-hall-a";
    group.pool = PoolId("drape-llm");
    group.zone = "hall-a";
    group.weightPercent = 20;
    rows.put(group);
    return rows;
}

TableRows appliedTo(TableRows rows, const TablePlan &plan)
{
    for (const TableChangePointer &change : plan.changes) {
        rows = *change->apply(std::move(rows));
    }
    return rows;
}

struct BadFile {
    const char *name;
    std::string text;
    const char *column;
    const char *expected;
};

std::ostream &operator<<(std::ostream &out, const BadFile &file)
{
    return out << file.name;
}

class BadCsvTest : public testing::TestWithParam<BadFile>
{
};

class TableCsvTest : public testing::Test
{
protected:
    static std::string replaced(std::string text, const std::string &from, const std::string &to)
    {
        const std::size_t at = text.find(from);
        EXPECT_NE(at, std::string::npos) << from;
        return text.replace(at, from.size(), to);
    }

    static TablePlan plan(const TableRows &inForce, const std::string &csv, bool prune = false)
    {
        const absl::StatusOr<TableDeclaration> declaration = readTableCsv(csv, std::nullopt);
        EXPECT_TRUE(declaration.ok()) << declaration.status();
        const absl::StatusOr<TablePlan> plan = planTable(inForce, *declaration, prune);
        EXPECT_TRUE(plan.ok()) << plan.status();
        return plan.value_or(TablePlan());
    }
};

}

TEST_F(TableCsvTest, export_readIntoAnEmptyTable_givesTheSameRows)
{
    const TableRows rows = sampleRows();
    ASSERT_TRUE(checkTable(rows).empty());
    std::string csv = writeTableCsv(rows, std::nullopt);
    absl::StatusOr<TableDeclaration> declaration = readTableCsv(csv, std::nullopt);
    ASSERT_TRUE(declaration.ok()) << declaration.status();
    for (DeclaredRow &row : declaration->rows) {
        row.rowVersion = 0;
        row.fingerprint.clear();
    }

    const absl::StatusOr<TablePlan> fresh = planTable({}, *declaration, false);

    ASSERT_TRUE(fresh.ok()) << fresh.status();
    EXPECT_TRUE(differencesBetween(appliedTo({}, *fresh), rows).empty());
}

TEST_F(TableCsvTest, export_readBackUnchanged_plansNothing)
{
    const TableRows rows = sampleRows();

    EXPECT_TRUE(plan(rows, writeTableCsv(rows, std::nullopt)).isEmpty());
}

TEST_F(TableCsvTest, export_formulaInANote_isNoFormulaInTheFile)
{
    const std::string csv = writeTableCsv(sampleRows(), std::nullopt);

    EXPECT_THAT(csv, testing::HasSubstr("\"'=HYPERLINK"));
    EXPECT_THAT(csv, testing::Not(testing::HasSubstr(",\"=HYPERLINK")));
}

TEST_F(TableCsvTest, file_savedByASpreadsheet_isReadAsWritten)
{
    const std::string mark = "\xef\xbb\xbf";
    const std::string semicolons = mark + "share;name;kind;note\r\n700;magnolia;organisation;\"a;b\"\r\n;;;\r\n";
    const std::string tabs = "share\tname\tkind\tnote\n700\tmagnolia\torganisation\ta;b\n";
    const std::string commas = mark + "\"note\",\"kind\",\"name\",\"share\"\r\"a;b\", organisation ,magnolia, 700 ";

    for (const std::string &csv : {semicolons, tabs, commas}) {
        const TableRows outcome = appliedTo(sampleRows(), plan(sampleRows(), csv));
        const auto row = std::get<OrganisationRow>(*outcome.find(TableKind::Organisation, "magnolia"));
        EXPECT_EQ(row.share, 700) << csv;
        EXPECT_EQ(row.note, "a;b") << csv;
        EXPECT_EQ(row.keySha256, sampleRows().organisations.at(0).keySha256) << csv;
    }
}

TEST_F(TableCsvTest, export_rowsAndColumnsReordered_plansNothing)
{
    std::vector<CsvRecord> records = *parseCsv(writeTableCsv(sampleRows(), std::nullopt));
    std::reverse(records.begin() + 1, records.end());
    std::string csv;
    for (CsvRecord &record : records) {
        std::reverse(record.cells.begin(), record.cells.end());
        csv += writeCsvRecord(record.cells);
    }

    EXPECT_TRUE(plan(sampleRows(), csv).isEmpty());
}

TEST_F(TableCsvTest, oldExport_ofARowThatOnlyAnotherOperatorChanged_leavesItsChange)
{
    // Ann exports the sheet. Bob changes magnolia's share. Ann edits tourbillon in her sheet and applies it. Her sheet
    // still holds magnolia's old share, which she has not touched; setting it would revert Bob's change.
    const std::string csv = replaced(writeTableCsv(sampleRows(), std::nullopt), "main,100,", "main,200,");
    TableRows inForce = sampleRows();
    inForce.organisations[0].share = 900;
    inForce.organisations[0].rowVersion = 9;

    const TablePlan planned = plan(inForce, csv);

    ASSERT_EQ(planned.differences.size(), 1u);
    EXPECT_EQ(planned.differences[0].toString(), "organisation \"tourbillon\": share 100 -> 200");
}

TEST_F(TableCsvTest, oldExport_editedInARowChangedSince_isAConflict)
{
    const std::string csv = replaced(writeTableCsv(sampleRows(), std::nullopt), "main,300,", "main,200,");
    TableRows inForce = sampleRows();
    inForce.organisations[0].share = 900;
    inForce.organisations[0].rowVersion = 9;

    const absl::StatusOr<TablePlan> planned = planTable(inForce, *readTableCsv(csv, std::nullopt), false);

    const std::optional<RowConflict> conflict = rowConflictOf(planned.status());
    ASSERT_TRUE(conflict) << planned.status();
    EXPECT_EQ(conflict->yours, "200");
    EXPECT_EQ(conflict->theirs, "900");
}

TEST_F(TableCsvTest, prune_rowAddedAfterTheExport_isKept)
{
    const std::string csv = writeTableCsv(sampleRows(), std::nullopt);
    TableRows inForce = sampleRows();
    OrganisationRow later;
    later.name = OrganisationId("later");
    later.rowVersion = 12;
    inForce.put(later);

    const TablePlan planned = plan(inForce, csv, true);

    EXPECT_TRUE(planned.isEmpty());
    EXPECT_EQ(planned.undeclared, std::vector<std::string>{"organisation later"});
}

TEST_F(TableCsvTest, prune_rowNotDeclared_isRemoved)
{
    const TablePlan kept = plan(sampleRows(), "kind,name\nroute,all-drape\n", false);
    EXPECT_TRUE(kept.isEmpty());
    EXPECT_EQ(kept.undeclared.size(), 5u);
    const absl::StatusOr<TableDeclaration> one = readTableCsv("name\nmagnolia\n", TableKind::Organisation);

    const absl::StatusOr<TablePlan> pruned = planTable(sampleRows(), *one, true);

    ASSERT_TRUE(pruned.ok()) << pruned.status();
    ASSERT_EQ(pruned->differences.size(), 1u);
    EXPECT_EQ(pruned->differences[0].type, RowChangeType::Removed);
    EXPECT_EQ(pruned->differences[0].name, "tourbillon");
}

TEST_F(TableCsvTest, prune_ofAPoolThatARouteLeadsTo_isRefusedAsAWhole)
{
    const absl::StatusOr<TableDeclaration> none = readTableCsv("name\n", TableKind::Pool);

    const absl::StatusOr<TablePlan> planned = planTable(sampleRows(), *none, true);

    EXPECT_EQ(failureCode(planned.status()), FailureCode::TableInvalid);
    EXPECT_EQ(tableProblemsOf(planned.status()).size(), 2u);
}

TEST_P(BadCsvTest, file_withAFault_isRefusedWithPlaceAndRemedy)
{
    absl::Status status;
    const absl::StatusOr<TableDeclaration> declaration = readTableCsv(GetParam().text, std::nullopt);
    if (declaration.ok()) {
        status = planTable(sampleRows(), *declaration, false).status();
    } else {
        status = declaration.status();
    }

    EXPECT_EQ(failureCode(status), FailureCode::TableInvalid);
    const std::vector<TableProblem> problems = tableProblemsOf(status);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems[0].column, GetParam().column);
    EXPECT_THAT(problems[0].toString(), testing::HasSubstr(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
    Files, BadCsvTest,
    testing::Values(
        BadFile{"empty", "", "", "header"}, BadFile{"noName", "kind,share\norganisation,3\n", "name", "there"},
        BadFile{"noKind", "name,share\nmagnolia,3\n", "kind", "there"},
        BadFile{"unknownColumn", "kind,name,shaer\n", "shaer", "share"},
        BadFile{"repeatedColumn", "kind,name,share,share\n", "share", "once"},
        BadFile{"unknownKind", "kind,name\norganization,a\n", "kind", "organisation"},
        BadFile{"badName", "kind,name\norganisation,Magnolia Loom\n", "name", "lower-case"},
        BadFile{"dateName", "kind,name\norganisation,mar-1\n", "name", "date"},
        BadFile{"dateNameAsSaved", "kind,name\norganisation,01-Mar\n", "name", "date"},
        BadFile{"repeatedRow", "kind,name\nroute,all-drape\nroute,all-drape\n", "name", "line 2"},
        BadFile{"negative", "kind,name,share\norganisation,magnolia,-1\n", "share", "from 1 to 10000"},
        BadFile{"tooLarge", "kind,name,share\norganisation,magnolia,99999999999999999999\n", "share", "10000"},
        BadFile{"scientific", "kind,name,ceiling_tokens_per_second\norganisation,magnolia,1E+06\n",
                "ceiling_tokens_per_second", "spreadsheet"},
        BadFile{"grouped", "kind,name,ceiling_tokens_per_second\norganisation,magnolia,\"1,000\"\n",
                "ceiling_tokens_per_second", "spreadsheet"},
        BadFile{"keyAsNumber", "kind,name,keys\norganisation,magnolia,1.23E+63\n", "keys", "sha256:"},
        BadFile{"keyCutShort", "kind,name,keys\norganisation,magnolia,sha256:00e123\n", "keys", "64"},
        BadFile{"boolean", "kind,name,enabled\norganisation,magnolia,maybe\n", "enabled", "yes or no"},
        BadFile{"policy", "kind,name,policy\npool,drape-llm,random\n", "policy", "round_robin"},
        BadFile{"foreignCell", "kind,name,share,models\norganisation,magnolia,3,drape-7b\n", "models", "empty"},
        BadFile{"ruleWithEscape", "kind,name,non_idempotent\npool,shopfront-api,POST /%6frders\n", "non_idempotent",
                "escapes"},
        BadFile{"controlCharacters", "kind,name,note\norganisation,magnolia,a\x07\n", "note", "control"},
        BadFile{"notUtf8", "kind,name,note\norganisation,magnolia,\xc3\x28\n", "note", "UTF-8"},
        BadFile{"overlongNote", "kind,name,note\norganisation,magnolia," + std::string(501, 'x') + "\n", "note", "500"},
        BadFile{"shortRecord", "kind,name,share\norganisation,magnolia\n", "", "3 cells"},
        BadFile{"longRecord", "kind,name,share\norganisation,magnolia,1,2\n", "", "3 cells"},
        BadFile{"openQuote", "kind,name,note\norganisation,magnolia,\"cut sh", "", "closed"},
        BadFile{"quoteInside", "kind,name,note\norganisation,magnolia,a\"b\"\n", "", "quoted"},
        BadFile{"textAfterQuote", "kind,name,note\norganisation,magnolia,\"a\"b\n", "", "after a quote"},
        BadFile{"utf16", std::string("\xff\xfek\0i\0n\0d\0", 10), "", "UTF-8"},
        BadFile{"nul", std::string("kind,name\norganisation,a\0b\n", 27), "", "NUL"},
        BadFile{"oversized", std::string(9 * 1024 * 1024, 'a'), "", "8 MiB"},
        BadFile{"manyCells", std::string(300, ','), "", "200 cells"},
        BadFile{"version", "kind,name,row_version\norganisation,magnolia,01-Dec\n", "row_version", "export"},
        BadFile{"danglingPool", "kind,name,model,pool\nroute,all-drape,drape-7b,nowhere\n", "pool", "drape-llm"},
        BadFile{"modelNotServed", "kind,name,model,pool\nroute,r-new,other,drape-llm\n", "model", "drape-7b"},
        BadFile{"noModel", "kind,name,model,pool\nroute,r-new,,drape-llm\n", "model", "a name"},
        BadFile{"danglingOrganisation", "kind,name,organisation,model,pool\nroute,r-new,nobody,drape-7b,drape-llm\n",
                "organisation", "\"*\""},
        BadFile{"keyOfTwo", std::string("kind,name,keys\norganisation,tourbillon,sha256:") + kKeyHash + "\n", "keys",
                "magnolia"},
        BadFile{"sameRouteTwice", "kind,name,model,pool\nroute,r-new,drape-7b,drape-llm\n", "pool", "all-drape"},
        BadFile{"noWeight", "kind,name,weight\nroute,all-drape,0\n", "weight", "above 0"},
        BadFile{"modelsOfAService", "kind,name,models\npool,shopfront-api,drape-7b\n", "models", "empty"},
        BadFile{"priceOfChat", "kind,name,tokens_per_call\npool,drape-llm,5\n", "tokens_per_call", "0"},
        BadFile{"sameGroupTwice", "kind,name,pool,zone\nendpoint_group,g-new,drape-llm,hall-a\n", "zone", "another"}),
    [](const testing::TestParamInfo<BadFile> &info) {
        return std::string(info.param.name);
    });

TEST(TableJsonFileTest, rowsOfAKind_writtenAndReadBack_planNothing)
{
    for (TableKind kind : kTableKinds) {
        const std::string text = writeTableJson(sampleRows(), kind);
        const absl::StatusOr<TableDeclaration> declaration = readTableJson(text, kind);
        ASSERT_TRUE(declaration.ok()) << declaration.status();
        const absl::StatusOr<TablePlan> planned = planTable(sampleRows(), *declaration, true);
        ASSERT_TRUE(planned.ok()) << planned.status();
        EXPECT_TRUE(planned->isEmpty()) << text;
    }
}

TEST(TableJsonFileTest, badFiles_areRefusedTyped)
{
    for (const char *text :
         {"", "{", "{}", "[1]", "[{}]", "[{\"name\":5}]", "[{\"name\":\"a\",\"share\":1.5}]",
          "[{\"name\":\"a\",\"share\":{}}]", "[{\"name\":\"a\",\"shaer\":1}]", "[{\"name\":\"a\"},{\"name\":\"a\"}]",
          "[{\"name\":\"a\",\"keys\":[1]}]", "[{\"name\":\"a\",\"share\":-1}]", "[{\"name\":\"\xff\"}]"}) {
        const absl::StatusOr<TableDeclaration> declaration = readTableJson(text, TableKind::Organisation);
        EXPECT_EQ(failureCode(declaration.status()), FailureCode::TableInvalid) << text;
        EXPECT_FALSE(tableProblemsOf(declaration.status()).empty()) << text;
    }
}

TEST(TableCheckTest, shareTooSmallForItsPool_cannotBeMet)
{
    TableRows rows = sampleRows();
    for (int n = 0; n < 200; ++n) {
        OrganisationRow row;
        row.name = OrganisationId("big-" + std::to_string(n));
        row.share = 10'000;
        rows.put(row);
    }
    EXPECT_TRUE(checkTable(rows).empty());
    rows.organisations.back().share = 1;

    const std::vector<TableProblem> problems = checkTable(rows);

    ASSERT_EQ(problems.size(), 1u);
    EXPECT_EQ(problems[0].column, "share");
    EXPECT_THAT(problems[0].expected, testing::HasSubstr("at least 21"));
}
