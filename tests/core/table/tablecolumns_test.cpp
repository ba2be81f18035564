#include "table/tablecolumns.h"

#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace RadishSwitch;

namespace
{

std::string rangeOf(const TableColumn &column)
{
    if (column.type == CellType::Integer) {
        return std::to_string(column.minimum) + " to " + std::to_string(column.maximum);
    }
    return column.type == CellType::Word ? expectedOf(column) : "";
}

/// The line of the operators' page for a column.
std::string pageLine(const TableColumn &column)
{
    const std::string preset = cellOf(defaultRow(column.kind, ""), column.name);
    std::ostringstream line;
    line << "| `" << column.name << "` | " << column.unit << " | " << rangeOf(column) << " | "
         << (preset.empty() ? "" : "`" + preset + "`") << " | " << column.help << " |";
    return line.str();
}

}

TEST(TableColumnsTest, operatorsPage_hasALineForEachColumn)
{
    std::ifstream file(TEST_DATA_FOLDER "/../../docs/operators/table.md");
    ASSERT_TRUE(file);
    std::set<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.insert(line);
    }
    std::string missing;
    for (TableKind kind : kTableKinds) {
        for (const TableColumn &column : columnsOf(kind)) {
            missing += lines.contains(pageLine(column)) ? "" : pageLine(column) + "\n";
        }
    }

    EXPECT_EQ(missing, "") << "the page lacks the lines above; they are to be copied into it";
}

TEST(TableColumnsTest, cellOfEachColumn_writtenAndReadBack_staysAsItWas)
{
    for (TableKind kind : kTableKinds) {
        const TableRow row = defaultRow(kind, "name");
        for (const TableColumn &column : columnsOf(kind)) {
            TableRow copy = row;
            EXPECT_TRUE(setCell(copy, column.name, cellOf(row, column.name)).ok()) << column.name;
            EXPECT_EQ(copy, row) << column.name;
            EXPECT_TRUE(setCell(copy, column.name, "").ok()) << column.name;
            EXPECT_EQ(copy, row) << column.name;
        }
    }
}

TEST(TableColumnsTest, cellThatDoesNotFit_isRefusedAndLeavesTheRow)
{
    TableRow row = defaultRow(TableKind::Pool, "name");
    const TableRow before = row;

    for (const char *column : {"serves", "models", "model_version", "policy", "maximum_queue", "non_idempotent"}) {
        EXPECT_FALSE(setCell(row, column, "\x01 not, fit!").ok()) << column;
    }
    EXPECT_FALSE(setCell(row, "unknown", "x").ok());
    EXPECT_EQ(row, before);
}
