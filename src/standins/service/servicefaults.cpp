#include "servicefaults.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

absl::Status change(ServiceFaults &faults, const std::string &name, const nlohmann::json &value)
{
    if (name == "never_answer") {
        faults.isNeverAnswering = value.get<bool>();
    } else if (name == "refuse") {
        faults.isRefusing = value.get<bool>();
    } else if (name == "lose_answer") {
        faults.lostAnswerInterval = value.get<std::int64_t>();
    } else if (name == "delay_ms") {
        faults.delay = std::chrono::milliseconds(value.get<std::int64_t>());
    } else if (name == "die") {
        faults.isDying = value.get<bool>();
    } else if (name != "clear") {
        return makeFailure(FailureCode::InvalidRequest, "no fault of the service: " + name);
    }
    return absl::OkStatus();
}

}

absl::StatusOr<ServiceFaults> changedFaults(ServiceFaults faults, const std::string &document)
{
    try {
        const auto wanted = nlohmann::json::parse(document);
        if (wanted.value("clear", false)) {
            faults = ServiceFaults();
        }
        for (const auto &[name, value] : wanted.items()) {
            const absl::Status status = change(faults, name, value);
            if (!status.ok()) {
                return status;
            }
        }
        return faults;
    } catch (const nlohmann::json::exception &error) {
        return makeFailure(FailureCode::InvalidRequest, error.what());
    }
}

}
