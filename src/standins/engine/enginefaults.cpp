#include "enginefaults.h"

#include "base/failure.h"

#include <nlohmann/json.hpp>

namespace RadishSwitch
{

namespace
{

using Json = nlohmann::json;

std::optional<Duration> optionalMilliseconds(const Json &value)
{
    const auto n = value.get<std::int64_t>();
    return n < 0 ? std::nullopt : std::optional<Duration>(std::chrono::milliseconds(n));
}

absl::Status change(EngineFaults &faults, const std::string &name, const Json &value)
{
    if (name == "never_answer") {
        faults.isNeverAnswering = value.get<bool>();
    } else if (name == "refuse") {
        faults.isRefusing = value.get<bool>();
    } else if (name == "slow") {
        faults.slowness = value.get<double>();
    } else if (name == "reset_after_tokens") {
        const auto n = value.get<std::int64_t>();
        faults.resetAfterTokens = n < 0 ? std::nullopt : std::optional(n);
    } else if (name == "load_lag_ms") {
        faults.loadLag = optionalMilliseconds(value);
    } else if (name == "cache_event_delay_ms") {
        faults.cacheEventDelay = optionalMilliseconds(value);
    } else if (name == "cache_event_gap") {
        faults.lostEventInterval = value.get<std::int64_t>();
    } else if (name == "die") {
        faults.isDying = value.get<bool>();
    } else if (name != "clear") {
        return makeFailure(FailureCode::InvalidRequest, "no fault of the engine: " + name);
    }
    return absl::OkStatus();
}

}

absl::StatusOr<EngineFaults> changedFaults(const EngineFaults &faults, const std::string &document)
{
    try {
        const Json wanted = Json::parse(document);
        EngineFaults changed = wanted.value("clear", false) ? EngineFaults() : faults;
        for (const auto &[name, value] : wanted.items()) {
            const absl::Status status = change(changed, name, value);
            if (!status.ok()) {
                return status;
            }
        }
        return changed;
    } catch (const Json::exception &error) {
        return makeFailure(FailureCode::InvalidRequest, error.what());
    }
}

}
