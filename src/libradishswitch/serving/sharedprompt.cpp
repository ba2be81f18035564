#include "serving/sharedprompt.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iterator>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kMaximumIdDigits = 16;
constexpr std::size_t kMaximumLoggedParts = 16;

bool contains(const std::vector<std::uint64_t> &parts, std::uint64_t part)
{
    return std::ranges::find(parts, part) != parts.end();
}

}

std::string partIdText(std::uint64_t part)
{
    return absl::StrFormat("%x", part);
}

std::optional<std::uint64_t> parsePartId(std::string_view text)
{
    std::uint64_t part = 0;
    const bool isHexadecimal = text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (!isHexadecimal || text.size() > kMaximumIdDigits || !absl::SimpleHexAtoi(std::string(text), &part)) {
        return std::nullopt;
    }
    return part;
}

std::string partIdsText(const std::vector<std::uint64_t> &parts)
{
    std::string text;
    for (std::size_t n = 0; n < std::min(parts.size(), kMaximumLoggedParts); ++n) {
        text += (n == 0 ? "" : ",") + partIdText(parts[n]);
    }
    return parts.size() > kMaximumLoggedParts ? text + ",..." : text;
}

bool matches(const SharedPrompt &pattern, const SharedPrompt &prompt)
{
    if (!pattern.pool.isEmpty() && pattern.pool != prompt.pool) {
        return false;
    }
    if (!pattern.organisation.isEmpty() && pattern.organisation != prompt.organisation) {
        return false;
    }
    return std::ranges::all_of(pattern.parts, [&prompt](std::uint64_t part) {
        return contains(prompt.parts, part);
    });
}

SharedPrompt commonPart(const SharedPrompt &first, const SharedPrompt &second)
{
    SharedPrompt common;
    if (first.pool == second.pool) {
        common.pool = first.pool;
    }
    if (first.organisation == second.organisation) {
        common.organisation = first.organisation;
    }
    std::ranges::copy_if(first.parts, std::back_inserter(common.parts), [&second](std::uint64_t part) {
        return contains(second.parts, part);
    });
    return common;
}

}
