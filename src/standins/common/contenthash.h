#pragma once

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The name under which a piece of work is known to callers and stand-ins alike, whatever ids the fleet gave it on its
/// way: 16 hexadecimal digits of XXH3 over the text.
std::string contentHash(std::string_view text);

/// The hash of a call of a plain service: over the last segment of its path, without the query, and its body. Parts of
/// the path in front differ between the fleet's door and the service's own.
std::string serviceCallHash(std::string_view target, std::string_view body);

/// The last segment of a path, without the query.
std::string_view lastPathSegment(std::string_view target);

}
