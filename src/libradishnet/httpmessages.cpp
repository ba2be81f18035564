#include "httpmessages.h"

#include <absl/strings/match.h>

namespace RadishSwitch
{

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::optional<std::string> HttpHeaders::find(std::string_view name) const
{
    for (const auto &[fieldName, value] : m_fields) {
        if (absl::EqualsIgnoreCase(fieldName, {name.data(), name.size()})) {
            return value;
        }
    }
    return std::nullopt;
}

const std::vector<std::pair<std::string, std::string>> &HttpHeaders::fields() const
{
    return m_fields;
}

}
