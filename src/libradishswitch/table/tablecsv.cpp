#include "table/tablecsv.h"

#include "table/csvtext.h"
#include "table/tablecolumns.h"
#include "table/tableproblem.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <set>

namespace RadishSwitch
{

namespace
{

constexpr char kKindColumn[] = "kind";
constexpr char kNameColumn[] = "name";
constexpr char kVersionColumn[] = "row_version";
/// A spreadsheet runs what stands in a cell that begins so.
constexpr std::string_view kFormulaBeginnings = "=+-@'\t\r";

std::vector<std::string> columnNamesOf(std::optional<TableKind> kind)
{
    std::vector<std::string> names;
    for (TableKind it : kTableKinds) {
        if (kind && it != *kind) {
            continue;
        }
        for (const TableColumn &column : columnsOf(it)) {
            const std::string name(column.name);
            if (std::find(names.begin(), names.end(), name) == names.end()) {
                names.push_back(name);
            }
        }
    }
    return names;
}

std::string escapedFormula(const std::string &text)
{
    const bool isRisky = !text.empty() && kFormulaBeginnings.find(text.front()) != std::string_view::npos;
    return isRisky ? "'" + text : text;
}

std::string unescapedFormula(const std::string &text)
{
    const bool isEscaped =
        text.size() > 1 && text[0] == '\'' && kFormulaBeginnings.find(text[1]) != std::string_view::npos;
    return isEscaped ? text.substr(1) : text;
}

constexpr std::size_t kFingerprintDigits = 8;

/// "r12x5f3c9a10": version and fingerprint in a form that no spreadsheet takes for a number or a date.
std::string versionToken(const TableRow &row)
{
    return absl::StrCat("r", rowVersionOf(row), "x", fingerprintOf(row));
}

bool readVersionToken(const std::string &text, DeclaredRow &row)
{
    if (absl::SimpleAtoi(text, &row.rowVersion)) {
        return true;
    }
    const std::size_t mark = text.find('x');
    const bool isToken =
        text.starts_with("r") && mark != std::string::npos && text.size() == mark + 1 + kFingerprintDigits;
    if (!isToken || !absl::SimpleAtoi(text.substr(1, mark - 1), &row.rowVersion)) {
        return false;
    }
    row.fingerprint = text.substr(mark + 1);
    return true;
}

/// What a spreadsheet made of a number or a date that it thought it had found.
bool isChangedBySpreadsheet(const std::string &text)
{
    double number = 0;
    const bool isScientific = absl::SimpleAtod(text, &number) && text.find_first_of("eE") != std::string::npos;
    const bool isGrouped = text.find(',') != std::string::npos || text.ends_with(".0") || text.ends_with(".00");
    return isScientific || isGrouped || text.starts_with("#");
}

/// Reads a file's records into rows and notes every problem on the way.
class TableCsvReader
{
public:
    TableCsvReader(const std::vector<CsvRecord> &records, std::optional<TableKind> kind)
        : m_records(records)
        , m_kind(kind)
    {
    }

    absl::StatusOr<TableDeclaration> read()
    {
        if (m_records.empty()) {
            return tableInvalid({problem(1, "", "", "a header line with column names")});
        }
        readHeader();
        if (m_problems.empty()) {
            for (std::size_t n = 1; n < m_records.size(); ++n) {
                readRecord(m_records[n]);
            }
        }
        return checkedDeclaration(std::move(m_declaration), std::move(m_problems));
    }

private:
    static TableProblem problem(std::size_t line, const std::string &column, const std::string &value,
                                const std::string &expected)
    {
        TableProblem it;
        it.line = line;
        it.column = column;
        it.value = value;
        it.expected = expected;
        return it;
    }

    void readHeader()
    {
        const CsvRecord &record = m_records.front();
        std::set<std::string> seen;
        for (const std::string &cell : record.cells) {
            const std::string name(absl::StripAsciiWhitespace(cell));
            m_header.push_back(name);
            checkHeader(record.line, name);
            if (!name.empty() && !seen.insert(name).second) {
                m_problems.push_back(problem(record.line, name, name, "there once"));
            }
        }
        if (!seen.contains(kNameColumn)) {
            m_problems.push_back(problem(record.line, kNameColumn, "", "there: it says which row is meant"));
        }
        if (!seen.contains(kKindColumn) && !m_kind) {
            m_problems.push_back(problem(record.line, kKindColumn, "", "there, or the kind of the file's rows given"));
        }
        if (m_kind) {
            m_declaration.kinds.push_back(*m_kind);
        } else {
            m_declaration.kinds.assign(kTableKinds.begin(), kTableKinds.end());
        }
    }

    void checkHeader(std::size_t line, const std::string &name)
    {
        const std::vector<std::string> known = columnNamesOf(m_kind);
        const bool isCommon = name == kKindColumn || name == kNameColumn || name == kVersionColumn;
        if (name.empty() || isCommon || std::find(known.begin(), known.end(), name) != known.end()) {
            return;
        }
        m_problems.push_back(
            problem(line, name, name,
                    absl::StrCat("one of the columns kind, name, row_version, ", absl::StrJoin(known, ", "))));
    }

    std::string cell(const CsvRecord &record, std::size_t n) const
    {
        return n < record.cells.size() ? unescapedFormula(record.cells[n]) : std::string();
    }

    std::string commonCell(const CsvRecord &record, const std::string &column) const
    {
        const auto it = std::find(m_header.begin(), m_header.end(), column);
        const std::string text = it == m_header.end() ? "" : cell(record, it - m_header.begin());
        return std::string(absl::StripAsciiWhitespace(text));
    }

    void readRecord(const CsvRecord &record)
    {
        if (record.cells.size() != m_header.size()) {
            m_problems.push_back(problem(record.line, "", absl::StrCat(record.cells.size(), " cells"),
                                         absl::StrCat(m_header.size(), " cells, as many as the header line has")));
            return;
        }
        DeclaredRow row;
        row.line = record.line;
        if (!readKind(record, row) || !readName(record, row) || !readVersion(record, row)) {
            return;
        }
        for (std::size_t n = 0; n < m_header.size(); ++n) {
            readCell(record, n, row);
        }
        m_declaration.rows.push_back(std::move(row));
    }

    bool readKind(const CsvRecord &record, DeclaredRow &row)
    {
        const std::string text = commonCell(record, kKindColumn);
        const std::optional<TableKind> kind = text.empty() ? m_kind : tableKindOfName(text);
        if (!kind || (m_kind && *kind != *m_kind)) {
            const std::string expected =
                m_kind ? std::string(tableKindName(*m_kind)) : "one of organisation, pool, route, endpoint_group";
            m_problems.push_back(problem(record.line, kKindColumn, text, expected));
            return false;
        }
        row.kind = *kind;
        return true;
    }

    bool readName(const CsvRecord &record, DeclaredRow &row)
    {
        row.name = commonCell(record, kNameColumn);
        if (isRowName(row.name)) {
            return true;
        }
        TableProblem it = problem(record.line, kNameColumn, row.name, std::string(kRowNameExpected));
        it.kind = row.kind;
        it.row = row.name;
        m_problems.push_back(std::move(it));
        return false;
    }

    bool readVersion(const CsvRecord &record, DeclaredRow &row)
    {
        const std::string text = commonCell(record, kVersionColumn);
        if (text.empty() || readVersionToken(text, row)) {
            return true;
        }
        TableProblem it = problem(record.line, kVersionColumn, text, "what the export wrote, or empty");
        it.kind = row.kind;
        it.row = row.name;
        m_problems.push_back(std::move(it));
        return false;
    }

    void readCell(const CsvRecord &record, std::size_t n, DeclaredRow &row)
    {
        const std::string &name = m_header[n];
        if (name.empty() || name == kKindColumn || name == kNameColumn || name == kVersionColumn) {
            return;
        }
        const TableColumn *column = findColumn(row.kind, name);
        std::string text = cell(record, n);
        if (!column || column->type != CellType::Text) {
            text = std::string(absl::StripAsciiWhitespace(text));
        }
        TableRow scratch = defaultRow(row.kind, row.name);
        if (column && setCell(scratch, name, text).ok()) {
            row.cells.push_back({name, text});
            return;
        }
        if (!column && text.empty()) {
            return;
        }
        TableProblem it = problem(record.line, name, text, "");
        it.kind = row.kind;
        it.row = row.name;
        it.expected = column
            ? expectedOf(*column)
            : absl::StrCat("empty: a row of kind ", std::string(tableKindName(row.kind)), " has no such column");
        if (column && isChangedBySpreadsheet(text)) {
            it.expected += "; a spreadsheet seems to have changed the cell, format it as text";
        }
        m_problems.push_back(std::move(it));
    }

    const std::vector<CsvRecord> &m_records;
    std::optional<TableKind> m_kind;
    std::vector<std::string> m_header;
    TableDeclaration m_declaration;
    std::vector<TableProblem> m_problems;
};

}

std::string writeTableCsv(const TableRows &rows, std::optional<TableKind> kind)
{
    const std::vector<std::string> columns = columnNamesOf(kind);
    std::vector<std::string> header{kKindColumn, kNameColumn, kVersionColumn};
    header.insert(header.end(), columns.begin(), columns.end());
    std::string text = writeCsvRecord(header);
    for (const TableRow &row : kind ? rows.rowsOf(*kind) : rows.allRows()) {
        std::vector<std::string> cells{std::string(tableKindName(kindOf(row))), nameOf(row), versionToken(row)};
        for (const std::string &column : columns) {
            cells.push_back(escapedFormula(cellOf(row, column)));
        }
        text += writeCsvRecord(cells);
    }
    return text;
}

absl::StatusOr<TableDeclaration> readTableCsv(std::string_view text, std::optional<TableKind> kind)
{
    const absl::StatusOr<std::vector<CsvRecord>> records = parseCsv(text);
    if (!records.ok()) {
        return records.status();
    }
    return TableCsvReader(*records, kind).read();
}

}
