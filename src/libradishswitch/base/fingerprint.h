#pragma once

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The SHA-256 of `text` in 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view text);

}
