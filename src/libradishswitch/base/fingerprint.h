#pragma once

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// SHA-256 in 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

}
