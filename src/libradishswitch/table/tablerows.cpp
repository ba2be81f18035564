#include "table/tablerows.h"

#include <algorithm>

namespace RadishSwitch
{

namespace
{

struct KindName {
    TableKind kind;
    std::string_view name;
};

constexpr std::array kKindNames{
    KindName{TableKind::Organisation, "organisation"},
    KindName{TableKind::Pool, "pool"},
    KindName{TableKind::Route, "route"},
    KindName{TableKind::EndpointGroup, "endpoint_group"},
};

template<typename Tag>
const std::string &textOf(const Identifier<Tag> &name)
{
    return name.value();
}

const std::string &textOf(const std::string &name)
{
    return name;
}

struct NameLess {
    template<typename Row>
    bool operator()(const Row &row, const std::string &name) const
    {
        return textOf(row.name) < name;
    }
};

template<typename Row>
auto placeOf(std::vector<Row> &rows, const std::string &name)
{
    return std::lower_bound(rows.begin(), rows.end(), name, NameLess());
}

template<typename Row>
std::optional<TableRow> findIn(const std::vector<Row> &rows, const std::string &name)
{
    const auto it = std::lower_bound(rows.begin(), rows.end(), name, NameLess());
    if (it == rows.end() || textOf(it->name) != name) {
        return std::nullopt;
    }
    return TableRow(*it);
}

template<typename Row>
void putIn(std::vector<Row> &rows, Row row)
{
    const auto it = placeOf(rows, textOf(row.name));
    if (it != rows.end() && it->name == row.name) {
        *it = std::move(row);
    } else {
        rows.insert(it, std::move(row));
    }
}

template<typename Row>
void eraseFrom(std::vector<Row> &rows, const std::string &name)
{
    const auto it = placeOf(rows, name);
    if (it != rows.end() && textOf(it->name) == name) {
        rows.erase(it);
    }
}

template<typename Row>
void appendTo(std::vector<TableRow> &all, const std::vector<Row> &rows)
{
    all.insert(all.end(), rows.begin(), rows.end());
}

}

std::string_view tableKindName(TableKind kind)
{
    for (const KindName &it : kKindNames) {
        if (it.kind == kind) {
            return it.name;
        }
    }
    return "unknown";
}

std::optional<TableKind> tableKindOfName(std::string_view name)
{
    for (const KindName &it : kKindNames) {
        if (it.name == name) {
            return it.kind;
        }
    }
    return std::nullopt;
}

TableKind kindOf(const TableRow &row)
{
    return kTableKinds[row.index()];
}

std::string nameOf(const TableRow &row)
{
    return std::visit(
        [](const auto &it) {
            return textOf(it.name);
        },
        row);
}

std::uint64_t rowVersionOf(const TableRow &row)
{
    return std::visit(
        [](const auto &it) {
            return it.rowVersion;
        },
        row);
}

TableRow withRowVersion(TableRow row, std::uint64_t version)
{
    std::visit(
        [version](auto &it) {
            it.rowVersion = version;
        },
        row);
    return row;
}

TableRow defaultRow(TableKind kind, const std::string &name)
{
    switch (kind) {
    case TableKind::Organisation:
        return OrganisationRow{.name = OrganisationId(name)};
    case TableKind::Pool:
        return PoolRow{.name = PoolId(name)};
    case TableKind::Route:
        return RouteRow{.name = name};
    case TableKind::EndpointGroup:
        break;
    }
    return EndpointGroupRow{.name = name};
}

std::size_t TableRows::size() const
{
    return organisations.size() + pools.size() + routes.size() + endpointGroups.size();
}

std::vector<TableRow> TableRows::rowsOf(TableKind kind) const
{
    std::vector<TableRow> rows;
    switch (kind) {
    case TableKind::Organisation:
        appendTo(rows, organisations);
        break;
    case TableKind::Pool:
        appendTo(rows, pools);
        break;
    case TableKind::Route:
        appendTo(rows, routes);
        break;
    case TableKind::EndpointGroup:
        appendTo(rows, endpointGroups);
        break;
    }
    return rows;
}

std::vector<TableRow> TableRows::allRows() const
{
    std::vector<TableRow> rows;
    rows.reserve(size());
    appendTo(rows, organisations);
    appendTo(rows, pools);
    appendTo(rows, routes);
    appendTo(rows, endpointGroups);
    return rows;
}

std::optional<TableRow> TableRows::find(TableKind kind, const std::string &name) const
{
    switch (kind) {
    case TableKind::Organisation:
        return findIn(organisations, name);
    case TableKind::Pool:
        return findIn(pools, name);
    case TableKind::Route:
        return findIn(routes, name);
    case TableKind::EndpointGroup:
        return findIn(endpointGroups, name);
    }
    return std::nullopt;
}

void TableRows::remove(TableKind kind, const std::string &name)
{
    switch (kind) {
    case TableKind::Organisation:
        eraseFrom(organisations, name);
        break;
    case TableKind::Pool:
        eraseFrom(pools, name);
        break;
    case TableKind::Route:
        eraseFrom(routes, name);
        break;
    case TableKind::EndpointGroup:
        eraseFrom(endpointGroups, name);
        break;
    }
}

void TableRows::put(TableRow row)
{
    if (auto *organisation = std::get_if<OrganisationRow>(&row)) {
        putIn(organisations, std::move(*organisation));
    } else if (auto *pool = std::get_if<PoolRow>(&row)) {
        putIn(pools, std::move(*pool));
    } else if (auto *route = std::get_if<RouteRow>(&row)) {
        putIn(routes, std::move(*route));
    } else {
        putIn(endpointGroups, std::move(std::get<EndpointGroupRow>(row)));
    }
}

}
