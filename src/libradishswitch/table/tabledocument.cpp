#include "table/tabledocument.h"

#include "base/failure.h"
#include "table/tablejson.h"

#include <xxhash.h>

#include <cstdio>

namespace RadishSwitch
{

namespace
{

constexpr char kDeltaMember[] = "from_revision";

nlohmann::json recordsToJson(const std::vector<AuditRecord> &records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const AuditRecord &record : records) {
        list.push_back(recordToJson(record));
    }
    return list;
}

std::vector<AuditRecord> recordsFromJson(const nlohmann::json &list)
{
    std::vector<AuditRecord> records;
    for (const nlohmann::json &it : list) {
        records.push_back(recordFromJson(it));
    }
    return records;
}

nlohmann::json rowsToJson(const TableRows &rows)
{
    nlohmann::json json = nlohmann::json::object();
    for (TableKind kind : kTableKinds) {
        nlohmann::json list = nlohmann::json::array();
        for (const TableRow &row : rows.rowsOf(kind)) {
            list.push_back(rowToJson(row));
        }
        json[std::string(tableKindName(kind))] = std::move(list);
    }
    return json;
}

absl::StatusOr<TableRows> rowsFromJson(const nlohmann::json &json)
{
    TableRows rows;
    for (TableKind kind : kTableKinds) {
        for (const nlohmann::json &it : json.at(std::string(tableKindName(kind)))) {
            absl::StatusOr<TableRow> row = rowFromJson(kind, it);
            if (!row.ok()) {
                return row.status();
            }
            rows.put(*std::move(row));
        }
    }
    return rows;
}

/// Runs `read` on the parsed bytes; every way in which they can be wrong becomes an ObjectMalformed failure.
template<typename T, typename Read>
absl::StatusOr<T> decodeWith(std::string_view bytes, Read read)
{
    try {
        absl::StatusOr<T> decoded = read(nlohmann::json::parse(bytes));
        if (decoded.ok()) {
            return decoded;
        }
        return makeFailure(FailureCode::ObjectMalformed, std::string(decoded.status().message()));
    } catch (const nlohmann::json::exception &exception) {
        return makeFailure(FailureCode::ObjectMalformed, exception.what());
    }
}

}

TableDocument TableDocument::withChange(TableRows changed, AuditRecord record) const
{
    TableDocument next = *this;
    next.format = kTableFormat;
    next.revision = record.revision;
    next.rows = std::move(changed);
    next.recent.push_back(std::move(record));
    return next;
}

const AuditRecord *TableDocument::findChange(const std::string &changeId) const
{
    for (const AuditRecord &record : recent) {
        if (record.changeId == changeId) {
            return &record;
        }
    }
    return nullptr;
}

std::string TableDocument::encode() const
{
    return dumpJson({{"format", format},
                     {"revision", revision},
                     {"rows", rowsToJson(rows)},
                     {"recent", recordsToJson(recent)},
                     {"newest_archive", newestArchive}});
}

absl::StatusOr<TableDocument> TableDocument::decode(std::string_view bytes)
{
    return decodeWith<TableDocument>(bytes, [](const nlohmann::json &json) -> absl::StatusOr<TableDocument> {
        absl::StatusOr<TableRows> rows = rowsFromJson(json.at("rows"));
        if (!rows.ok()) {
            return rows.status();
        }
        TableDocument document;
        document.format = json.at("format");
        document.revision = json.at("revision");
        document.rows = *std::move(rows);
        document.recent = recordsFromJson(json.at("recent"));
        document.newestArchive = json.at("newest_archive");
        return document;
    });
}

std::string AuditArchive::encode() const
{
    return dumpJson({{"records", recordsToJson(records)}, {"previous_archive", previousArchive}});
}

absl::StatusOr<AuditArchive> AuditArchive::decode(std::string_view bytes)
{
    return decodeWith<AuditArchive>(bytes, [](const nlohmann::json &json) -> absl::StatusOr<AuditArchive> {
        return AuditArchive{recordsFromJson(json.at("records")), json.at("previous_archive")};
    });
}

std::string TableDelta::encode() const
{
    return dumpJson({{kDeltaMember, fromRevision},
                     {"revision", revision},
                     {"records", recordsToJson(records)},
                     {"newest_archive", newestArchive},
                     {"rows_digest", rowsDigest}});
}

absl::StatusOr<TableDelta> TableDelta::decode(std::string_view bytes)
{
    return decodeWith<TableDelta>(bytes, [](const nlohmann::json &json) -> absl::StatusOr<TableDelta> {
        return TableDelta{json.at(kDeltaMember), json.at("revision"), recordsFromJson(json.at("records")),
                          json.at("newest_archive"), json.at("rows_digest")};
    });
}

bool TableDelta::isDelta(std::string_view bytes)
{
    // Members are written in order of names, and no member of a whole document goes before this one but "format".
    return bytes.starts_with(std::string("{\"") + kDeltaMember + "\"");
}

std::uint64_t digestOf(const TableRows &rows)
{
    const std::string text = dumpJson(rowsToJson(rows));
    return XXH3_64bits(text.data(), text.size());
}

std::string archiveKey(std::uint64_t firstRevision)
{
    char buf[32];
    std::snprintf(buf, sizeof buf, "%010llu", static_cast<unsigned long long>(firstRevision));
    return std::string(kAuditPrefix) + buf;
}

}
