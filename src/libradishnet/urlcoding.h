#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Percent-encodes everything but letters, digits, "-", ".", "_", "~" and "/".
std::string encodeUrlPart(std::string_view text);

/// Undoes percent-encoding. Nothing when an escape is cut short or isn't hexadecimal.
std::optional<std::string> decodeUrlPart(std::string_view text);

/// The target of a request, taken apart and decoded.
class UrlTarget
{
public:
    /// Nothing when an escape is wrong or the target has no path.
    static std::optional<UrlTarget> parse(std::string_view target);

    const std::string &path() const;

    /// The value of a query parameter, empty when it has none; nothing when the parameter is not there.
    std::optional<std::string> parameter(const std::string &name) const;

    bool operator==(const UrlTarget &) const = default;

private:
    std::string m_path;
    std::map<std::string, std::string> m_parameters;
};

}
