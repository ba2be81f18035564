#include "table/csvtext.h"

#include "table/tableproblem.h"

#include <algorithm>
#include <optional>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kMaximumTextBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaximumCells = 200;
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

absl::Status invalidText(std::size_t line, const std::string &value, const std::string &expected)
{
    TableProblem problem;
    problem.line = line;
    problem.value = value;
    problem.expected = expected;
    return tableInvalid({problem});
}

/// Spreadsheets of many countries write ";" and some write tabs; the header line has no cell with either in it.
char delimiterOf(std::string_view text)
{
    const std::string_view header = text.substr(0, text.find_first_of("\r\n"));
    char best = ',';
    for (char candidate : {';', '\t'}) {
        const auto n = std::count(header.begin(), header.end(), candidate);
        if (n > std::count(header.begin(), header.end(), best)) {
            best = candidate;
        }
    }
    return best;
}

/// Reads one record after the other.
class CsvReader
{
public:
    explicit CsvReader(std::string_view text)
        : m_text(text)
        , m_delimiter(delimiterOf(text))
    {
    }

    bool atEnd() const
    {
        return m_at >= m_text.size();
    }

    absl::StatusOr<CsvRecord> readRecord()
    {
        CsvRecord record;
        record.line = m_line;
        while (true) {
            absl::StatusOr<std::string> cell = isNext('"') ? readQuoted() : readPlain();
            if (!cell.ok()) {
                return cell.status();
            }
            record.cells.push_back(*std::move(cell));
            if (record.cells.size() > kMaximumCells) {
                return invalidText(record.line, "", "a record of 200 cells at most");
            }
            if (!isNext(m_delimiter)) {
                break;
            }
            ++m_at;
        }
        if (!atEnd() && !skipLineEnd()) {
            return invalidText(m_line, std::string(1, m_text[m_at]),
                               "a delimiter or the end of the line after a quote");
        }
        return record;
    }

private:
    bool isNext(char c) const
    {
        return !atEnd() && m_text[m_at] == c;
    }

    bool skipLineEnd()
    {
        const std::size_t before = m_at;
        if (isNext('\r')) {
            ++m_at;
        }
        if (isNext('\n')) {
            ++m_at;
        }
        m_line += m_at > before ? 1 : 0;
        return m_at > before;
    }

    absl::StatusOr<std::string> readPlain()
    {
        const char ends[] = {m_delimiter, '\r', '\n', '"'};
        const std::size_t end =
            std::min(m_text.find_first_of(std::string_view(ends, sizeof ends), m_at), m_text.size());
        std::string cell(m_text.substr(m_at, end - m_at));
        m_at = end;
        if (isNext('"')) {
            return invalidText(m_line, cell, "quoted as a whole, with each quote in it doubled");
        }
        return cell;
    }

    absl::StatusOr<std::string> readQuoted()
    {
        const std::size_t firstLine = m_line;
        std::string cell;
        ++m_at;
        while (!atEnd()) {
            if (isNext('"')) {
                ++m_at;
                if (!isNext('"')) {
                    return cell;
                }
            }
            if (isNext('\r') || isNext('\n')) {
                skipLineEnd();
                cell += '\n';
            } else {
                cell += m_text[m_at++];
            }
        }
        return invalidText(firstLine, cell, "closed by a quote; the file may be cut short");
    }

    std::string_view m_text;
    char m_delimiter;
    std::size_t m_at = 0;
    std::size_t m_line = 1;
};

std::optional<absl::Status> refusedAsWhole(std::string_view text)
{
    if (text.size() > kMaximumTextBytes) {
        return invalidText(0, std::to_string(text.size()) + " bytes", "8 MiB at most");
    }
    if (text.starts_with("\xff\xfe") || text.starts_with("\xfe\xff") || text.find('\0') != std::string_view::npos) {
        return invalidText(0, "a file of UTF-16 or with NUL bytes", "saved as CSV in UTF-8");
    }
    return std::nullopt;
}

}

bool CsvRecord::isBlank() const
{
    return std::all_of(cells.begin(), cells.end(), [](const std::string &cell) {
        return cell.find_first_not_of(" \t\n") == std::string::npos;
    });
}

absl::StatusOr<std::vector<CsvRecord>> parseCsv(std::string_view text)
{
    if (const auto refused = refusedAsWhole(text)) {
        return *refused;
    }
    if (text.starts_with(kByteOrderMark)) {
        text.remove_prefix(kByteOrderMark.size());
    }
    std::vector<CsvRecord> records;
    CsvReader reader(text);
    while (!reader.atEnd()) {
        absl::StatusOr<CsvRecord> record = reader.readRecord();
        if (!record.ok()) {
            return record.status();
        }
        if (!record->isBlank()) {
            records.push_back(*std::move(record));
        }
    }
    return records;
}

std::string writeCsvRecord(const std::vector<std::string> &cells)
{
    std::string text;
    for (const std::string &cell : cells) {
        text += text.empty() && &cell == &cells.front() ? "" : ",";
        if (cell.find_first_of(",;\t\"\r\n") == std::string::npos) {
            text += cell;
            continue;
        }
        text += '"';
        for (char c : cell) {
            text += c == '"' ? "\"\"" : std::string(1, c);
        }
        text += '"';
    }
    return text + "\r\n";
}

}
