#pragma once

#include "table/tabledeclaration.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace RadishSwitch
{

/// The name of a kind's file in a folder of declarations, without its ending: "organisations".
std::string declarationFileName(TableKind kind);

/// The whole content of a file. InvalidSettings when it cannot be read.
absl::StatusOr<std::string> readFile(const std::string &path);

/// Writes a file as a whole. InvalidSettings when it cannot be written.
absl::Status writeFile(const std::string &path, const std::string &content);

/// Reads a .csv file, a .json file of one kind, or a folder with one file a kind. A .json file outside a folder is of
/// `kind`, or of the kind that its name says. InvalidSettings when there is no such file, or a folder has a .csv or
/// .json file of another name, which would otherwise be passed over in silence; TableInvalid as the readers.
absl::StatusOr<TableDeclaration> readDeclaration(const std::string &path, std::optional<TableKind> kind);

}
