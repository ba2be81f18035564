#pragma once

#include "commandcontext.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace RadishSwitch
{

/// One process of the fleet, from the platform's list.
struct FleetInstance {
    std::string name;
    std::string role;
    std::string address;
    std::string admin;
    std::string zone;
    std::string region;
    std::string pool;
    std::string state;

    bool operator==(const FleetInstance &) const = default;
};

/// What a process told of itself, or why it could not be asked.
struct InstanceStatus {
    FleetInstance instance;
    absl::StatusOr<nlohmann::json> status;
};

/// The processes of the platform's list in order of names; entries alone with `role` "entry". The list lags: it may
/// name what is gone and miss what has just come.
absl::StatusOr<std::vector<FleetInstance>> readFleet(CommandContext &context, const std::string &role);

/// Asks one admin port. NotFound answers become RunUnknown, other ones that are no success MalformedMessage.
absl::StatusOr<nlohmann::json> askAdmin(CommandContext &context, const std::string &address, const std::string &method,
                                        const std::string &target);

/// Asks the instances for their status, several at a time.
std::vector<InstanceStatus> readStatuses(CommandContext &context, const std::vector<FleetInstance> &instances);

}
