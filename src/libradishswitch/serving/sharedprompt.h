#pragma once

#include "base/identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// What a call has in common with other calls: its pool, its organisation, and the parts of its prompt that are not its
/// own.
struct SharedPrompt {
    PoolId pool;
    OrganisationId organisation;
    /// Ids of all parts but the last, in the order of the prompt.
    std::vector<std::uint64_t> parts;

    bool operator==(const SharedPrompt &) const = default;
};

/// The id of a part in logs and stored objects: up to 16 hexadecimal digits.
std::string partIdText(std::uint64_t part);

/// Parses the output of `partIdText`; nullopt for other texts.
std::optional<std::uint64_t> parsePartId(std::string_view text);

/// The ids of all parts for a log line, separated by commas. Of a long prompt the last ones are left out.
std::string partIdsText(const std::vector<std::uint64_t> &parts);

/// Whether `prompt` has everything that `pattern` has. An empty pool or organisation of the pattern stands for any.
bool matches(const SharedPrompt &pattern, const SharedPrompt &prompt);

/// What two prompts have in common, in the order of `first`. A pool or organisation that differs becomes empty.
SharedPrompt commonPart(const SharedPrompt &first, const SharedPrompt &second);

}
