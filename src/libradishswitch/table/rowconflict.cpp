#include "table/rowconflict.h"

#include "base/failure.h"
#include "table/auditrecord.h"
#include "table/tablejson.h"

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>

namespace RadishSwitch
{

namespace
{

constexpr char kConflictPayload[] = "radishswitch/row-conflict";

std::string quotedOrNothing(const std::string &value)
{
    return value.empty() ? "(empty)" : absl::StrCat("\"", value, "\"");
}

}

std::string RowConflict::toString() const
{
    std::string text = absl::StrCat(std::string(tableKindName(kind)), " \"", row, "\"");
    if (!column.empty()) {
        absl::StrAppend(&text, ", column ", column);
    }
    absl::StrAppend(&text, ": yours is ", quotedOrNothing(yours), ", in force is ", quotedOrNothing(theirs));
    if (winner.empty()) {
        absl::StrAppend(&text, ", set at revision ", presentVersion);
    } else {
        absl::StrAppend(&text, ", set by ", winner, " from ", fromWhere, " at ", formatWallClock(wallClockMs));
    }
    return text;
}

absl::Status rowConflictFailure(const RowConflict &conflict)
{
    absl::Status status = makeFailure(FailureCode::RowConflict, conflict.toString());
    const nlohmann::json json{{"kind", std::string(tableKindName(conflict.kind))},
                              {"row", conflict.row},
                              {"column", conflict.column},
                              {"yours", conflict.yours},
                              {"theirs", conflict.theirs},
                              {"expected_version", conflict.expectedVersion},
                              {"present_version", conflict.presentVersion},
                              {"winner", conflict.winner},
                              {"from", conflict.fromWhere},
                              {"when_ms", conflict.wallClockMs}};
    status.SetPayload(kConflictPayload, absl::Cord(dumpJson(json)));
    return status;
}

std::optional<RowConflict> rowConflictOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(kConflictPayload);
    if (!payload) {
        return std::nullopt;
    }
    const nlohmann::json json = nlohmann::json::parse(std::string(*payload));
    RowConflict conflict;
    conflict.kind = tableKindOfName(json.at("kind").get<std::string>()).value_or(TableKind::Organisation);
    conflict.row = json.at("row");
    conflict.column = json.at("column");
    conflict.yours = json.at("yours");
    conflict.theirs = json.at("theirs");
    conflict.expectedVersion = json.at("expected_version");
    conflict.presentVersion = json.at("present_version");
    conflict.winner = json.at("winner");
    conflict.fromWhere = json.at("from");
    conflict.wallClockMs = json.at("when_ms");
    return conflict;
}

}
