#include "serving/sharedpromptformat.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

constexpr char kPartsField[] = "parts";
constexpr char kPoolField[] = "pool";
constexpr char kOrganisationField[] = "organisation";

}

nlohmann::json writeSharedPrompt(const SharedPrompt &prompt)
{
    nlohmann::json parts = nlohmann::json::array();
    for (const std::uint64_t part : prompt.parts) {
        parts.push_back(partIdText(part));
    }
    return {{kPartsField, parts}, {kPoolField, prompt.pool.value()}, {kOrganisationField, prompt.organisation.value()}};
}

absl::StatusOr<SharedPrompt> readSharedPrompt(const nlohmann::json &json)
{
    SharedPrompt prompt;
    prompt.pool = PoolId(json.at(kPoolField).get<std::string>());
    prompt.organisation = OrganisationId(json.at(kOrganisationField).get<std::string>());
    for (const nlohmann::json &it : json.at(kPartsField)) {
        const auto text = it.get<std::string>();
        const std::optional<std::uint64_t> part = parsePartId(text);
        if (!part) {
            return makeFailure(FailureCode::ObjectMalformed, "invalid part of a prompt: " + text);
        }
        prompt.parts.push_back(*part);
    }
    return prompt;
}

}
