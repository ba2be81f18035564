#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace RadishSwitch
{

/// The kinds of rows that the table has.
enum class TableKind {
    Organisation,
    Pool,
    Route,
    EndpointGroup,
};

/// All kinds, in the order in which files and pages show them.
inline constexpr std::array kTableKinds{TableKind::Organisation, TableKind::Pool, TableKind::Route,
                                        TableKind::EndpointGroup};

/// The name of a kind in files and on the command line, such as "endpoint_group".
std::string_view tableKindName(TableKind kind);

/// The kind of such a name, or nothing when there is none such.
std::optional<TableKind> tableKindOfName(std::string_view name);

}
