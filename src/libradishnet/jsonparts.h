#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// A member of a JSON object, as it stands in the text.
struct JsonMember {
    /// Without its quotes; escapes are not decoded.
    std::string_view name;
    std::string_view value;

    bool operator==(const JsonMember &) const = default;
};

/// Splits the text of a JSON array into its values; nullopt if the text is no array.
///
/// A JSON parser refuses a whole document for one value, such as a number that is out of range. The values are not
/// parsed here, so that a value that can't be read does not cost the others. Takes time linear in the text and stack
/// space that does not depend on its depth.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// The same for the members of a JSON object; nullopt if the text is no object.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);

/// The number of arrays and objects around the most deeply nested value of a text.
std::size_t jsonDepth(std::string_view text);

}
