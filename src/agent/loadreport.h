#pragma once

#include "routing/endpointreport.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// What an engine tells about itself on `GET /load`.
struct LoadReport {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    std::int64_t queuedTokens = 0;
    double tokensPerSecond = 0;
    std::vector<std::string> models;
    std::vector<std::string> adapters;
    /// Of the weights.
    std::string version;
    std::string softwareVersion;
    std::vector<CacheEvent> cacheEvents;

    bool operator==(const LoadReport &) const = default;
};

/// Reads an engine's report. Fields that are missing count as zero or empty; MalformedMessage when one has another
/// type or a number is out of range.
absl::StatusOr<LoadReport> parseLoadReport(std::string_view json);

}
