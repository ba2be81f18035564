#pragma once

#include "table/tableproblem.h"
#include "table/tablerows.h"

#include <vector>

namespace RadishSwitch
{

/// Everything wrong with a whole table, in order of rows: names and cells out of range, names that lead nowhere, keys
/// of two organisations, routes that take no request, shares that cannot be met. None means that it may be accepted.
std::vector<TableProblem> checkTable(const TableRows &rows);

}
