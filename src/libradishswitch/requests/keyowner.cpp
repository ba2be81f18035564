#include "requests/keyowner.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

std::string encodeKeyOwner(const KeyOwner &owner)
{
    const nlohmann::json json{{"incarnation", owner.incarnation.value()},
                              {"address", owner.address},
                              {"region", owner.region},
                              {"epoch", owner.epoch}};
    return json.dump();
}

absl::StatusOr<KeyOwner> decodeKeyOwner(const std::string &text)
{
    try {
        const auto json = nlohmann::json::parse(text);
        return KeyOwner{IncarnationId(json.at("incarnation").get<std::string>()), json.at("address").get<std::string>(),
                        json.at("region").get<std::string>(), json.at("epoch").get<std::uint64_t>()};
    } catch (const nlohmann::json::exception &e) {
        return makeFailure(FailureCode::ObjectMalformed, std::string("key owner: ") + e.what());
    }
}

}
