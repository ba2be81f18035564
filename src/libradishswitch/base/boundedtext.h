#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The beginning of a text whose length others decide, for messages and log lines.
inline std::string boundedText(std::string_view text)
{
    constexpr std::size_t kMaximumBytes = 200;
    if (text.size() <= kMaximumBytes) {
        return std::string(text);
    }
    return std::string(text.substr(0, kMaximumBytes)) + "...";
}

}
