#pragma once

#include "table/auditrecord.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace RadishSwitch
{

// JSON forms of the table's parts. Cells at their defaults are left out; numbers, truth values and lists are typed.

nlohmann::json rowToJson(const TableRow &row);
nlohmann::json recordToJson(const AuditRecord &record);
nlohmann::json rowChangeToJson(const RowChange &change);

/// A cell of a JSON row as the text that `setCell` reads; nothing when the value is an object or a broken number.
std::optional<std::string> cellFromJson(const nlohmann::json &value, std::string_view separator);

/// The separator of a column's list items in its text.
std::string_view listSeparator(TableKind kind, std::string_view column);

/// Reads a row of a document; columns that this program does not know are left out. Throws nlohmann::json::exception
/// when a member is missing or of another type.
absl::StatusOr<TableRow> rowFromJson(TableKind kind, const nlohmann::json &json);

/// Throws nlohmann::json::exception when a member is missing or of another type.
AuditRecord recordFromJson(const nlohmann::json &json);

/// Dumps with whatever is no UTF-8 replaced, so that no text can make the writer fail.
std::string dumpJson(const nlohmann::json &json, int indent = -1);

}
