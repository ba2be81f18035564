#include "requests/claim.h"

#include "base/failure.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr char kClaimed[] = "claimed";
constexpr char kDone[] = "done";
constexpr char kNotRun[] = "not_run";

const char *nameOf(ClaimState state)
{
    switch (state) {
    case ClaimState::Claimed:
        return kClaimed;
    case ClaimState::Done:
        return kDone;
    case ClaimState::NotRun:
        return kNotRun;
    }
    return kClaimed;
}

/// A state that this version does not know is read as Claimed, the only state that never lets a request run again.
ClaimState stateOf(const std::string &name)
{
    if (name == kDone) {
        return ClaimState::Done;
    }
    return name == kNotRun ? ClaimState::NotRun : ClaimState::Claimed;
}

/// A request id contains the bytes of the caller's key, which need not be valid UTF-8 as JSON requires. So it is stored
/// C-escaped.
std::string unescaped(const std::string &text)
{
    std::string value;
    absl::CUnescape(text, &value);
    return value;
}

Claim claimOf(const nlohmann::json &json)
{
    Claim claim;
    claim.request = RequestId(unescaped(json.at("request").get<std::string>()));
    claim.fingerprint = absl::HexStringToBytes(json.at("fingerprint").get<std::string>());
    claim.attempt = AttemptId(json.at("attempt").get<std::string>());
    claim.state = stateOf(json.at("state").get<std::string>());
    claim.wallTime = json.at("time").get<std::int64_t>();
    return claim;
}

}

std::string encodeClaims(const std::vector<Claim> &claims)
{
    auto json = nlohmann::json::array();
    for (const Claim &claim : claims) {
        json.push_back({{"request", absl::CEscape(claim.request.value())},
                        {"fingerprint", absl::BytesToHexString(claim.fingerprint)},
                        {"attempt", claim.attempt.value()},
                        {"state", nameOf(claim.state)},
                        {"time", claim.wallTime}});
    }
    return json.dump();
}

absl::StatusOr<std::vector<Claim>> decodeClaims(const std::string &text)
{
    std::vector<Claim> claims;
    try {
        const auto json = nlohmann::json::parse(text);
        for (const auto &item : json) {
            claims.push_back(claimOf(item));
        }
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, std::string("claims: ") + e.what());
    }
    return claims;
}

}
