#pragma once

#include "base/identifier.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

enum class PoolKind {
    /// Model engines behind the chat API.
    Chat,
    /// Plain services.
    Service,
};

/// How a pool's endpoints are chosen between.
enum class PoolPolicy {
    /// Expected time to the first token for model engines, least outstanding for services.
    Default,
    RoundRobin,
    LeastOutstanding,
};

/// Calls of a plain service that may run at most once.
struct NonIdempotentRule {
    /// "*" stands for every method.
    std::string method;
    std::string pathPrefix;

    auto operator<=>(const NonIdempotentRule &) const = default;
    bool operator==(const NonIdempotentRule &) const = default;
};

/// What the table says of one pool of endpoints.
struct PoolRow {
    PoolId name = {};
    PoolKind kind = PoolKind::Chat;
    /// The models that the pool's endpoints serve; a service's pool has none.
    std::vector<std::string> models = {};
    /// The model version wanted on the endpoints; empty accepts any.
    std::string modelVersion = {};
    /// The adapters wanted on the endpoints.
    std::vector<std::string> adapters = {};
    PoolPolicy policy = PoolPolicy::Default;
    /// How many requests may wait for the pool at one entry.
    std::int64_t maximumQueue = 1000;
    /// How long a request may wait, in milliseconds.
    std::int64_t queueDeadlineMs = 10000;
    /// For services alone.
    std::vector<NonIdempotentRule> nonIdempotent = {};
    /// What one call of a service costs; zero is free.
    std::int64_t tokensPerCall = 0;
    std::string note = {};
    /// The revision that last changed the row.
    std::uint64_t rowVersion = 0;

    auto operator<=>(const PoolRow &) const = default;
    bool operator==(const PoolRow &) const = default;

    /// Whether a call may run at most once. `path` is compared after percent-decoding and removal of doubled slashes,
    /// dot segments and the query, so that a caller cannot spell its way around a rule.
    bool isNonIdempotent(std::string_view method, std::string_view path) const;
};

/// The path as the rules compare it: decoded once, without query, doubled slashes and dot segments.
std::string normalisedPath(std::string_view path);

}
