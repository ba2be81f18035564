#pragma once

#include "serving/endpointincarnation.h"
#include "serving/requestfingerprint.h"
#include "serving/sharedprompt.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace RadishSwitch
{

/// A run that broke off because its endpoint crashed.
struct CrashedRun {
    EndpointIncarnation incarnation;
    RequestFingerprint request;
    /// Number of crashes that counted against the request when this run was sent.
    int crashesBefore = 0;
    /// Empty if the endpoint had been writing the answer for some time, since a prompt that crashes endpoints does so
    /// when they begin to answer it.
    SharedPrompt prompt{};

    bool operator==(const CrashedRun &) const = default;
};

/// A part of prompts that an endpoint has answered since these crashes, so that it did not cause them.
struct ExoneratedPart {
    std::uint64_t part = 0;
    std::vector<EndpointIncarnation> crashes;

    bool operator==(const ExoneratedPart &) const = default;
};

/// The crashes and answers that one gateway has observed.
struct CrashReport {
    std::vector<CrashedRun> crashed;
    /// Requests that an endpoint has completed and that other gateways may still suspect because of earlier crashes.
    std::vector<RequestFingerprint> answered;
    /// Parts that an endpoint has answered and that other gateways may still suspect because of earlier crashes.
    std::vector<ExoneratedPart> exonerated{};

    bool isEmpty() const
    {
        return crashed.empty() && answered.empty() && exonerated.empty();
    }

    bool operator==(const CrashReport &) const = default;
};

}
