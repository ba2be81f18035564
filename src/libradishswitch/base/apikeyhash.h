#pragma once

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The form in which the table keeps an API key: its SHA-256 in 64 lower-case hexadecimal digits. Keys are long random
/// texts, so that a plain hash gives nothing away.
std::string apiKeyHash(std::string_view key);

}
