#include "relayfaults.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

absl::Status read(FaultOrder &order, const std::string &name, const nlohmann::json &value)
{
    if (name == "group") {
        value.get_to(order.group);
    } else if (name == "link") {
        value.get_to(order.link);
    } else if (name == "from") {
        value.get_to(order.from);
    } else if (name == "cut") {
        value.get_to(order.faults.isCut);
    } else if (name == "swallow_new") {
        value.get_to(order.faults.isSwallowingNew);
    } else if (name == "delay_ms") {
        order.faults.delay = std::chrono::milliseconds(value.get<std::int64_t>());
    } else if (name == "swallow" && value == "both") {
        order.swallow = Swallow::Both;
    } else if (name == "swallow" && value == "to_target") {
        order.swallow = Swallow::ToTarget;
    } else if (name == "swallow" && value == "from_target") {
        order.swallow = Swallow::FromTarget;
    } else {
        return makeFailure(FailureCode::InvalidRequest, "no fault of a link: " + name);
    }
    return absl::OkStatus();
}

}

absl::StatusOr<FaultOrder> faultOrderOfJson(const std::string &document)
{
    try {
        FaultOrder order;
        const auto parsed = nlohmann::json::parse(document);
        for (const auto &[name, value] : parsed.items()) {
            const absl::Status status = read(order, name, value);
            if (!status.ok()) {
                return status;
            }
        }
        return order;
    } catch (const nlohmann::json::exception &error) {
        return makeFailure(FailureCode::InvalidRequest, error.what());
    }
}

}
