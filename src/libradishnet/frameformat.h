#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace RadishSwitch
{

/// A frame's length comes before it in so many bytes, big-endian.
inline constexpr std::size_t kFramePrefixBytes = 4;

using FramePrefix = std::array<char, kFramePrefixBytes>;

inline FramePrefix framePrefix(std::size_t length)
{
    return {static_cast<char>(length >> 24), static_cast<char>(length >> 16), static_cast<char>(length >> 8),
            static_cast<char>(length)};
}

inline std::size_t frameLength(const char *prefix)
{
    const auto *bytes = reinterpret_cast<const unsigned char *>(prefix);
    return std::size_t(bytes[0]) << 24 | std::size_t(bytes[1]) << 16 | std::size_t(bytes[2]) << 8 | bytes[3];
}

}
