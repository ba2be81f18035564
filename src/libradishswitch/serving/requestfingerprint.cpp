#include "serving/requestfingerprint.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>

#include <xxhash.h>

#include <initializer_list>
#include <memory>

namespace RadishSwitch
{

namespace
{

constexpr std::size_t kHalfDigits = 16;

std::optional<std::uint64_t> readHalf(std::string_view digits)
{
    std::uint64_t half = 0;
    const bool isHexadecimal = digits.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    if (!isHexadecimal || !absl::SimpleHexAtoi(std::string(digits), &half)) {
        return std::nullopt;
    }
    return half;
}

}

RequestFingerprint RequestFingerprint::of(std::string_view method, std::string_view target, std::string_view caller,
                                          std::string_view body)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(), &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view part : {method, target, caller, body}) {
        // The length separates the parts: otherwise moving bytes from one part to the next would give the same hash.
        const std::uint64_t length = part.size();
        XXH3_128bits_update(state.get(), &length, sizeof length);
        XXH3_128bits_update(state.get(), part.data(), part.size());
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return {hash.high64, hash.low64};
}

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text)
{
    if (text.size() != 2 * kHalfDigits) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> high = readHalf(text.substr(0, kHalfDigits));
    const std::optional<std::uint64_t> low = readHalf(text.substr(kHalfDigits));
    if (!high || !low) {
        return std::nullopt;
    }
    return RequestFingerprint(*high, *low);
}

std::string RequestFingerprint::toString() const
{
    return absl::StrFormat("%016x%016x", m_high, m_low);
}

}
