#include "table/tablecolumns.h"

#include "table/tablecells.h"
#include "table/tableproblem.h"

#include <array>
#include <functional>

namespace RadishSwitch
{

namespace
{

constexpr std::int64_t kLargestRate = 1'000'000'000;

/// A column with the member of the row that it stands for.
template<typename Row>
struct BoundColumn {
    TableColumn column;
    std::function<std::string(const Row &, const TableColumn &)> read;
    std::function<bool(Row &, const std::string &, const TableColumn &)> write;
};

template<typename Row, typename Member>
BoundColumn<Row> bind(Member Row::*member, TableColumn column)
{
    return {column,
            [member](const Row &row, const TableColumn &of) {
                return cellText(row.*member, of);
            },
            [member](Row &row, const std::string &text, const TableColumn &to) {
                if (text.empty()) {
                    row.*member = Row{}.*member;
                    return true;
                }
                return readCell(text, to, row.*member);
            }};
}

TableColumn text(TableKind kind, std::string_view name, CellType type, std::string_view help)
{
    return {kind, name, type, "", 0, 0, "", help};
}

TableColumn integer(TableKind kind, std::string_view name, std::string_view unit, std::int64_t minimum,
                    std::int64_t maximum, std::string_view help)
{
    return {kind, name, CellType::Integer, unit, minimum, maximum, "", help};
}

TableColumn word(TableKind kind, std::string_view name, std::string_view words, std::string_view help)
{
    return {kind, name, CellType::Word, "", 0, 0, words, help};
}

constexpr std::string_view kNoteHelp = "For people; the fleet does not read it.";

std::vector<BoundColumn<OrganisationRow>> organisationColumns()
{
    using Row = OrganisationRow;
    constexpr TableKind kind = TableKind::Organisation;
    return {
        bind(&Row::isEnabled,
             text(kind, "enabled", CellType::Boolean, "\"no\" makes the organisation's keys unknown.")),
        bind(&Row::keySha256,
             text(kind, "keys", CellType::KeyHashes, "Hashes of the API keys. Change them by `radishctl org` verbs.")),
        bind(&Row::defaultBudget,
             text(kind, "default_budget", CellType::Name, "The budget that a request draws on when it names none.")),
        bind(&Row::share,
             integer(kind, "share", "relative", 1, 10'000,
                     "Weight against the other organisations that wait at the same pool: 300 gets three times 100.")),
        bind(&Row::ceilingRequestsPerSecond,
             integer(kind, "ceiling_requests_per_second", "requests/s", 0, kLargestRate,
                     "Over the whole fleet; 0 is none.")),
        bind(&Row::ceilingTokensPerSecond,
             integer(kind, "ceiling_tokens_per_second", "tokens/s", 0, kLargestRate,
                     "Over the whole fleet; 0 is none.")),
        bind(&Row::ceilingConcurrent,
             integer(kind, "ceiling_concurrent", "requests", 0, 1'000'000,
                     "Requests in progress at one time over the whole fleet; 0 is none.")),
        bind(&Row::priority, integer(kind, "priority", "rank", 0, 9, "Higher goes first, also inside the engines.")),
        bind(&Row::note, text(kind, "note", CellType::Text, kNoteHelp)),
    };
}

std::vector<BoundColumn<PoolRow>> poolColumns()
{
    using Row = PoolRow;
    constexpr TableKind kind = TableKind::Pool;
    return {
        bind(&Row::kind,
             word(kind, "serves", "chat|service", "Model engines behind the chat API, or a plain service.")),
        bind(&Row::models, text(kind, "models", CellType::ModelNames, "The models served here; for chat pools alone.")),
        bind(&Row::modelVersion,
             text(kind, "model_version", CellType::ModelName,
                  "The version wanted on the endpoints; empty accepts any.")),
        bind(&Row::adapters,
             text(kind, "adapters", CellType::ModelNames,
                  "The adapters wanted on the endpoints; for chat pools alone.")),
        bind(&Row::policy,
             word(kind, "policy", "default|round_robin|least_outstanding", "How an endpoint is chosen for a request.")),
        bind(&Row::maximumQueue,
             integer(kind, "maximum_queue", "requests", 0, 1'000'000, "How many may wait for the pool at one entry.")),
        bind(&Row::queueDeadlineMs,
             integer(kind, "queue_deadline_ms", "ms", 1, 600'000, "How long a request may wait for an endpoint.")),
        bind(&Row::nonIdempotent,
             text(kind, "non_idempotent", CellType::CallRules,
                  "Calls that run at most once, by method and beginning of the path; for service pools alone.")),
        bind(&Row::tokensPerCall,
             integer(kind, "tokens_per_call", "tokens", 0, 1'000'000'000,
                     "Price of one call, for service pools alone; 0 is free.")),
        bind(&Row::note, text(kind, "note", CellType::Text, kNoteHelp)),
    };
}

std::vector<BoundColumn<RouteRow>> routeColumns()
{
    using Row = RouteRow;
    constexpr TableKind kind = TableKind::Route;
    return {
        bind(&Row::organisation,
             text(kind, "organisation", CellType::NameOrAny,
                  "Whose requests; \"*\" is every organisation without routes of its own for the same model.")),
        bind(
            &Row::model,
            text(kind, "model", CellType::ModelName, "The model asked for, or NAME of /services/NAME/ for a service.")),
        bind(&Row::pool, text(kind, "pool", CellType::Name, "Where the requests go.")),
        bind(&Row::weight,
             integer(kind, "weight", "relative", 0, 10'000,
                     "Against the other routes of the same organisation and model; 0 takes no requests.")),
        bind(&Row::note, text(kind, "note", CellType::Text, kNoteHelp)),
    };
}

std::vector<BoundColumn<EndpointGroupRow>> endpointGroupColumns()
{
    using Row = EndpointGroupRow;
    constexpr TableKind kind = TableKind::EndpointGroup;
    return {
        bind(&Row::pool, text(kind, "pool", CellType::Name, "The pool whose endpoints are meant.")),
        bind(&Row::zone, text(kind, "zone", CellType::Name, "The availability zone whose endpoints are meant.")),
        bind(&Row::weightPercent,
             integer(kind, "weight_percent", "%", 0, 100,
                     "How much work an endpoint of the group takes against one outside it; 0 sends no new work.")),
        bind(&Row::note, text(kind, "note", CellType::Text, kNoteHelp)),
    };
}

template<typename Row>
const std::vector<BoundColumn<Row>> &boundColumns();

template<>
const std::vector<BoundColumn<OrganisationRow>> &boundColumns()
{
    static const auto columns = organisationColumns();
    return columns;
}

template<>
const std::vector<BoundColumn<PoolRow>> &boundColumns()
{
    static const auto columns = poolColumns();
    return columns;
}

template<>
const std::vector<BoundColumn<RouteRow>> &boundColumns()
{
    static const auto columns = routeColumns();
    return columns;
}

template<>
const std::vector<BoundColumn<EndpointGroupRow>> &boundColumns()
{
    static const auto columns = endpointGroupColumns();
    return columns;
}

template<typename Row>
const BoundColumn<Row> *findBound(std::string_view name)
{
    for (const BoundColumn<Row> &it : boundColumns<Row>()) {
        if (it.column.name == name) {
            return &it;
        }
    }
    return nullptr;
}

template<typename Row>
std::span<const TableColumn> plainColumns()
{
    static const std::vector<TableColumn> columns = [] {
        std::vector<TableColumn> plain;
        for (const BoundColumn<Row> &it : boundColumns<Row>()) {
            plain.push_back(it.column);
        }
        return plain;
    }();
    return columns;
}

std::string columnNames(TableKind kind)
{
    std::string names;
    for (const TableColumn &it : columnsOf(kind)) {
        names += (names.empty() ? "" : ", ") + std::string(it.name);
    }
    return names;
}

}

std::span<const TableColumn> columnsOf(TableKind kind)
{
    switch (kind) {
    case TableKind::Organisation:
        return plainColumns<OrganisationRow>();
    case TableKind::Pool:
        return plainColumns<PoolRow>();
    case TableKind::Route:
        return plainColumns<RouteRow>();
    case TableKind::EndpointGroup:
        break;
    }
    return plainColumns<EndpointGroupRow>();
}

const TableColumn *findColumn(TableKind kind, std::string_view name)
{
    for (const TableColumn &it : columnsOf(kind)) {
        if (it.name == name) {
            return &it;
        }
    }
    return nullptr;
}

std::string cellOf(const TableRow &row, std::string_view column)
{
    return std::visit(
        [column](const auto &it) {
            const auto *bound = findBound<std::decay_t<decltype(it)>>(column);
            return bound ? bound->read(it, bound->column) : std::string();
        },
        row);
}

absl::Status setCell(TableRow &row, std::string_view column, const std::string &text)
{
    TableProblem problem;
    problem.kind = kindOf(row);
    problem.row = nameOf(row);
    problem.column = std::string(column);
    problem.value = text;
    return std::visit(
        [&](auto &it) {
            const auto *bound = findBound<std::decay_t<decltype(it)>>(column);
            if (!bound) {
                problem.value = std::string(column);
                problem.expected = "one of the columns " + columnNames(*problem.kind);
                return tableInvalid({problem});
            }
            if (!bound->write(it, text, bound->column)) {
                problem.expected = expectedOf(bound->column);
                return tableInvalid({problem});
            }
            return absl::OkStatus();
        },
        row);
}

}
