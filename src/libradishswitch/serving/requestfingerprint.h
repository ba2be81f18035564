#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace RadishSwitch
{

/// Identifies a request by its content and its caller, so that all gateways recognise a repeated request. The call's id
/// can't serve for that, since each repeat has a new one.
class RequestFingerprint
{
public:
    /// `caller` is the organisation, or the API key if the organisation is not known.
    static RequestFingerprint of(std::string_view method, std::string_view target, std::string_view caller,
                                 std::string_view body);

    /// Parses the output of `toString`.
    static std::optional<RequestFingerprint> parse(std::string_view text);

    /// 32 hexadecimal digits.
    std::string toString() const;

    auto operator<=>(const RequestFingerprint &) const = default;

    template<typename H>
    friend H AbslHashValue(H h, const RequestFingerprint &it)
    {
        return H::combine(std::move(h), it.m_high, it.m_low);
    }

private:
    RequestFingerprint(std::uint64_t high, std::uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    std::uint64_t m_high = 0;
    std::uint64_t m_low = 0;
};

}
