#include "frameassembler.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace RadishSwitch
{

namespace
{

/// A length alone doesn't make this side set memory aside for it: a peer could announce 16 MB on each of thousands of
/// streams and send none of it. Past this the frame grows with what has come.
constexpr std::size_t kMaximumReserve = 64 * 1024;

}

FrameAssembler::FrameAssembler(std::size_t maximumFrameBytes)
    : m_maximumFrameBytes(maximumFrameBytes)
{
}

std::optional<std::string> FrameAssembler::next(std::string_view &data)
{
    if (m_isTooLarge || !readPrefix(data)) {
        return std::nullopt;
    }
    if (m_partial.empty() && data.size() >= m_length) {
        return takeWhole(data);
    }
    m_partial.reserve(std::min(m_length, kMaximumReserve));
    const std::size_t n = std::min(data.size(), m_length - m_partial.size());
    m_partial.append(data.substr(0, n));
    data.remove_prefix(n);
    if (m_partial.size() < m_length) {
        return std::nullopt;
    }
    m_prefixBytes = 0;
    return std::exchange(m_partial, {});
}

bool FrameAssembler::isTooLarge() const
{
    return m_isTooLarge;
}

bool FrameAssembler::isAtBoundary() const
{
    return m_prefixBytes == 0;
}

bool FrameAssembler::readPrefix(std::string_view &data)
{
    if (m_prefixBytes == kFramePrefixBytes) {
        return true;
    }
    const std::size_t n = std::min(data.size(), kFramePrefixBytes - m_prefixBytes);
    std::memcpy(m_prefix.data() + m_prefixBytes, data.data(), n);
    data.remove_prefix(n);
    m_prefixBytes += n;
    if (m_prefixBytes < kFramePrefixBytes) {
        return false;
    }
    m_length = frameLength(m_prefix.data());
    m_isTooLarge = m_length > m_maximumFrameBytes;
    return !m_isTooLarge;
}

std::string FrameAssembler::takeWhole(std::string_view &data)
{
    std::string frame(data.substr(0, m_length));
    data.remove_prefix(m_length);
    m_prefixBytes = 0;
    return frame;
}

}
