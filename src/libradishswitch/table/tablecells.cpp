#include "table/tablecells.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kMaximumNameBytes = 63;
constexpr std::size_t kMaximumModelNameBytes = 128;
constexpr std::size_t kMaximumTextBytes = 500;
constexpr std::size_t kMaximumListItems = 64;
constexpr std::size_t kKeyHashDigits = 64;
constexpr char kKeyHashPrefix[] = "sha256:";
constexpr char kRuleSeparator[] = "; ";

struct PoolKindWord {
    PoolKind kind;
    std::string_view word;
};

struct PolicyWord {
    PoolPolicy policy;
    std::string_view word;
};

constexpr std::array kPoolKindWords{
    PoolKindWord{PoolKind::Chat, "chat"},
    PoolKindWord{PoolKind::Service, "service"},
};

constexpr std::array kPolicyWords{
    PolicyWord{PoolPolicy::Default, "default"},
    PolicyWord{PoolPolicy::RoundRobin, "round_robin"},
    PolicyWord{PoolPolicy::LeastOutstanding, "least_outstanding"},
};

bool isLowerOrDigit(char c)
{
    return absl::ascii_islower(c) || absl::ascii_isdigit(c);
}

bool isNameCharacter(char c)
{
    return isLowerOrDigit(c) || c == '.' || c == '_' || c == '-';
}

bool isModelCharacter(char c)
{
    return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-' || c == '/' || c == ':';
}

/// A spreadsheet that opens a file with "mar-1" or "true" saves "01-Mar" or "TRUE".
bool isTakenForDateOrTruth(const std::string &text)
{
    static constexpr std::array<std::string_view, 12> kMonths{"jan", "feb", "mar", "apr", "may", "jun",
                                                              "jul", "aug", "sep", "oct", "nov", "dec"};
    const std::string lower = absl::AsciiStrToLower(text);
    if (lower == "true" || lower == "false") {
        return true;
    }
    const bool isMonth = std::any_of(kMonths.begin(), kMonths.end(), [&lower](std::string_view month) {
        return lower.starts_with(month);
    });
    const std::size_t firstDigit = lower.find_first_of("0123456789");
    if (!isMonth || firstDigit == std::string::npos || firstDigit > 10) {
        return false;
    }
    return std::all_of(lower.begin() + firstDigit, lower.end(), [](char c) {
        return absl::ascii_isdigit(c) || c == '-' || c == '.';
    });
}

/// "1e5", "2024-01-01", "1/2", "0012": what a spreadsheet reads as a number or a date.
bool isTakenForNumber(const std::string &text)
{
    double number = 0;
    if (absl::SimpleAtod(text, &number)) {
        return true;
    }
    return std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isdigit(c) || c == '-' || c == '/' || c == '.' || c == ':';
    });
}

bool isModelName(const std::string &text)
{
    return !text.empty() && text.size() <= kMaximumModelNameBytes && absl::ascii_isalnum(text.front())
        && std::all_of(text.begin(), text.end(), isModelCharacter) && !isTakenForDateOrTruth(text)
        && !isTakenForNumber(text);
}

bool isKeyHash(const std::string &text)
{
    return text.size() == kKeyHashDigits && std::all_of(text.begin(), text.end(), [](char c) {
               return absl::ascii_isdigit(c) || (c >= 'a' && c <= 'f');
           });
}

bool isMethod(const std::string &text)
{
    return text == "*" || (!text.empty() && text.size() <= 16 && std::all_of(text.begin(), text.end(), [](char c) {
               return absl::ascii_isupper(c);
           }));
}

/// Length of the UTF-8 sequence at `at`, or zero when it is none.
std::size_t sequenceLength(const std::string &text, std::size_t at)
{
    const auto lead = static_cast<unsigned char>(text[at]);
    const std::size_t length = lead < 0x80 ? 1
        : lead >> 5 == 0x6                 ? 2
        : lead >> 4 == 0xe                 ? 3
        : lead >> 3 == 0x1e                ? 4
                                           : 0;
    if (length == 0 || at + length > text.size()) {
        return 0;
    }
    for (std::size_t n = 1; n < length; ++n) {
        if ((static_cast<unsigned char>(text[at + n]) & 0xc0) != 0x80) {
            return 0;
        }
    }
    return length;
}

bool isPlainText(const std::string &text)
{
    if (text.size() > kMaximumTextBytes) {
        return false;
    }
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t length = sequenceLength(text, at);
        const bool isControl = length == 1 && absl::ascii_iscntrl(text[at]) && text[at] != '\n' && text[at] != '\t';
        if (length == 0 || isControl) {
            return false;
        }
        at += length;
    }
    return true;
}

bool fitsText(const std::string &text, CellType type)
{
    switch (type) {
    case CellType::Name:
        return isRowName(text);
    case CellType::NameOrAny:
        return text == kAnyOrganisation || isRowName(text);
    case CellType::ModelName:
        return isModelName(text);
    case CellType::Text:
        return isPlainText(text);
    default:
        return false;
    }
}

template<typename Entry, typename Value>
bool readWord(const std::string &text, const Entry &words, Value &value)
{
    for (const auto &[meaning, word] : words) {
        if (word == text) {
            value = meaning;
            return true;
        }
    }
    return false;
}

std::vector<std::string> wordsOf(const std::string &text)
{
    return absl::StrSplit(text, absl::ByAnyChar(" \t\n\r"), absl::SkipEmpty());
}

}

bool isRowName(std::string_view text)
{
    const std::string name(text);
    return !name.empty() && name.size() <= kMaximumNameBytes && absl::ascii_islower(name.front())
        && std::all_of(name.begin(), name.end(), isNameCharacter) && !isTakenForDateOrTruth(name);
}

std::string expectedOf(const TableColumn &column)
{
    switch (column.type) {
    case CellType::Name:
        return std::string(kRowNameExpected);
    case CellType::NameOrAny:
        return "\"*\" or " + std::string(kRowNameExpected);
    case CellType::ModelName:
        return "a name of letters, digits, '.', '_', '-', '/' or ':', not one that a spreadsheet takes for a number, a "
               "date or a truth value";
    case CellType::ModelNames:
        return "names of letters, digits, '.', '_', '-', '/' or ':', with spaces between, 64 at most";
    case CellType::Integer:
        return "a whole number from " + std::to_string(column.minimum) + " to " + std::to_string(column.maximum)
            + ", digits alone";
    case CellType::Boolean:
        return "yes or no";
    case CellType::Word:
        return "one of " + absl::StrJoin(absl::StrSplit(std::string(column.words), '|'), ", ");
    case CellType::KeyHashes:
        return "\"sha256:\" and 64 lower-case hexadecimal digits for each key, with spaces between, 64 keys at most";
    case CellType::CallRules:
        return "\"METHOD /path\" for each rule, with ';' between, METHOD in capitals or '*', the path without query, "
               "escapes or '/' at its end, 64 rules at most";
    case CellType::Text:
        break;
    }
    return "at most 500 bytes of UTF-8 without control characters";
}

std::string cellText(const std::string &value, const TableColumn &)
{
    return value;
}

std::string cellText(std::int64_t value, const TableColumn &)
{
    return std::to_string(value);
}

std::string cellText(bool value, const TableColumn &)
{
    return value ? "yes" : "no";
}

std::string cellText(PoolKind value, const TableColumn &)
{
    return std::string(value == PoolKind::Chat ? "chat" : "service");
}

std::string cellText(PoolPolicy value, const TableColumn &)
{
    for (const auto &[policy, word] : kPolicyWords) {
        if (policy == value) {
            return std::string(word);
        }
    }
    return "default";
}

std::string cellText(const std::vector<std::string> &values, const TableColumn &column)
{
    const std::string prefix = column.type == CellType::KeyHashes ? kKeyHashPrefix : "";
    return absl::StrJoin(values, " ", [&prefix](std::string *out, const std::string &value) {
        *out += prefix + value;
    });
}

std::string cellText(const std::vector<NonIdempotentRule> &rules, const TableColumn &)
{
    return absl::StrJoin(rules, kRuleSeparator, [](std::string *out, const NonIdempotentRule &rule) {
        *out += rule.method + " " + rule.pathPrefix;
    });
}

bool readCell(const std::string &text, const TableColumn &column, std::string &value)
{
    if (!fitsText(text, column.type)) {
        return false;
    }
    value = text;
    return true;
}

bool readCell(const std::string &text, const TableColumn &column, std::int64_t &value)
{
    std::int64_t n = 0;
    const bool isDigits = std::all_of(text.begin(), text.end(), [](char c) {
        return absl::ascii_isdigit(c);
    });
    if (!isDigits || !absl::SimpleAtoi(text, &n) || n < column.minimum || n > column.maximum) {
        return false;
    }
    value = n;
    return true;
}

bool readCell(const std::string &text, const TableColumn &, bool &value)
{
    // A spreadsheet may have offered to turn yes and no into its own truth values.
    const std::string lower = absl::AsciiStrToLower(text);
    if (lower != "yes" && lower != "no" && lower != "true" && lower != "false") {
        return false;
    }
    value = lower == "yes" || lower == "true";
    return true;
}

bool readCell(const std::string &text, const TableColumn &, PoolKind &value)
{
    return readWord(text, kPoolKindWords, value);
}

bool readCell(const std::string &text, const TableColumn &, PoolPolicy &value)
{
    return readWord(text, kPolicyWords, value);
}

bool readCell(const std::string &text, const TableColumn &column, std::vector<std::string> &values)
{
    std::vector<std::string> read;
    for (const std::string &word : wordsOf(text)) {
        const std::string item(absl::StripPrefix(word, column.type == CellType::KeyHashes ? kKeyHashPrefix : ""));
        if (column.type == CellType::KeyHashes ? !isKeyHash(item) : !isModelName(item)) {
            return false;
        }
        read.push_back(item);
    }
    if (read.size() > kMaximumListItems) {
        return false;
    }
    values = std::move(read);
    return true;
}

bool readCell(const std::string &text, const TableColumn &, std::vector<NonIdempotentRule> &rules)
{
    std::vector<NonIdempotentRule> read;
    for (const std::string &part : std::vector<std::string>(absl::StrSplit(text, ';', absl::SkipWhitespace()))) {
        const std::vector<std::string> words = wordsOf(part);
        if (words.size() != 2 || !isMethod(words[0]) || normalisedPath(words[1]) != words[1]) {
            return false;
        }
        read.push_back({words[0], words[1]});
    }
    if (read.size() > kMaximumListItems) {
        return false;
    }
    rules = std::move(read);
    return true;
}

}
