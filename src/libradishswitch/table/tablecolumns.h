#pragma once

#include "table/tablerows.h"

#include <absl/status/status.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace RadishSwitch
{

enum class CellType {
    /// Lower-case letters, digits, ".", "_" and "-", beginning with a letter.
    Name,
    /// As Name, or "*".
    NameOrAny,
    /// A model's, adapter's or version's name, as engines spell it.
    ModelName,
    ModelNames,
    Integer,
    Boolean,
    /// One of a few words.
    Word,
    /// "sha256:" and 64 hexadecimal digits each.
    KeyHashes,
    /// "METHOD /path" each, with ";" between.
    CallRules,
    Text,
};

/// One column of the table: the one source for reading and checking cells, for exports and for the operators' page.
struct TableColumn {
    TableKind kind;
    std::string_view name;
    CellType type;
    /// Unit of an Integer, for people.
    std::string_view unit;
    /// Range of an Integer, both ends in it.
    std::int64_t minimum;
    std::int64_t maximum;
    /// The words of a Word, with "|" between.
    std::string_view words;
    std::string_view help;
};

/// The columns of a kind in the order of exports, without "kind", "name" and "row_version", which every row has.
std::span<const TableColumn> columnsOf(TableKind kind);

/// The column of this name, or null.
const TableColumn *findColumn(TableKind kind, std::string_view name);

/// What a cell of the column must hold, for people: "a whole number from 1 to 10000".
std::string expectedOf(const TableColumn &column);

/// The cell as text; the form that `setCell` reads. Empty when the row's kind has no such column.
std::string cellOf(const TableRow &row, std::string_view column);

/// Writes a cell from its text; an empty text stands for the column's default. TableInvalid, with the problem, when
/// the kind has no such column or the text does not fit it; the row is then as it was.
absl::Status setCell(TableRow &row, std::string_view column, const std::string &text);

/// Whether a text can be the name of a row. What a spreadsheet would turn into a date or a truth value cannot.
bool isRowName(std::string_view text);

inline constexpr std::string_view kRowNameExpected = "a name of lower-case letters, digits, '.', '_' or '-', beginning "
                                                     "with a letter, 63 characters at most, and not one "
                                                     "that a spreadsheet takes for a date or a truth value";

}
