#pragma once

#include "frameformat.h"

#include <optional>
#include <string>
#include <string_view>

namespace RadishSwitch
{

/// Cuts arriving bytes into frames.
class FrameAssembler
{
public:
    explicit FrameAssembler(std::size_t maximumFrameBytes);

    /// Takes bytes off the front of `data`, up to the end of a frame, which it returns; nothing when `data` ended
    /// first, or once a length was above the maximum.
    std::optional<std::string> next(std::string_view &data);

    /// Whether a length was above the maximum. Nothing that follows can be read.
    bool isTooLarge() const;

    /// Whether the bytes so far end with a whole frame.
    bool isAtBoundary() const;

private:
    bool readPrefix(std::string_view &data);
    std::string takeWhole(std::string_view &data);

    const std::size_t m_maximumFrameBytes;
    FramePrefix m_prefix;
    std::size_t m_prefixBytes = 0;
    std::size_t m_length = 0;
    std::string m_partial;
    bool m_isTooLarge = false;
};

}
