#pragma once

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The hash that the configuration table stores for an API key: its SHA-256 in 64 lower-case hexadecimal digits. API
/// keys are long random strings, so a plain hash does not reveal them.
std::string apiKeyHash(std::string_view key);

}
