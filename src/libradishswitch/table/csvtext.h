#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// One record of a CSV text.
struct CsvRecord {
    /// The line on which it begins, from 1.
    std::size_t line = 0;
    std::vector<std::string> cells = {};

    auto operator<=>(const CsvRecord &) const = default;
    bool operator==(const CsvRecord &) const = default;

    /// Spreadsheets pad a sheet with records that hold nothing.
    bool isBlank() const;
};

/// Reads RFC 4180 text with CRLF, LF or CR at the ends of lines and a byte order mark or none. TableInvalid, with the
/// line, for a quote in an open cell, text after a closing quote, a quote that is never closed, a NUL, UTF-16, or a
/// text or record past the limits.
absl::StatusOr<std::vector<CsvRecord>> parseCsv(std::string_view text);

/// One record with CRLF at its end; cells are quoted where they must be.
std::string writeCsvRecord(const std::vector<std::string> &cells);

}
