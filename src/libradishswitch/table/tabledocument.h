#pragma once

#include "table/auditrecord.h"
#include "table/tablerows.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace RadishSwitch
{

/// The object that holds the table. A change and its audit record are one write of it.
inline constexpr char kTableKey[] = "table/current";
/// Beginning of the keys of archived audit records; the revision of an archive's first record follows.
inline constexpr char kAuditPrefix[] = "table/audit/";
/// The platform's bound on a value, with room for what its API puts around it.
inline constexpr std::size_t kMaximumDocumentBytes = 1'000'000;
/// The form of documents that this program writes. A newer one may hold what this program would lose.
inline constexpr int kTableFormat = 1;

/// The whole table with its latest audit records, oldest first: all of them since the newest archive.
struct TableDocument {
    int format = kTableFormat;
    std::uint64_t revision = 0;
    TableRows rows;
    std::vector<AuditRecord> recent;
    /// The first revision of the newest archive of audit records; zero when there is none.
    std::uint64_t newestArchive = 0;

    bool operator==(const TableDocument &) const = default;

    /// The document after the change of a record to its rows, at the next revision.
    TableDocument withChange(TableRows changed, AuditRecord record) const;

    /// The recent record of this change id, or null.
    const AuditRecord *findChange(const std::string &changeId) const;

    std::string encode() const;

    /// ObjectMalformed when the bytes are no table. Columns of a newer form are left out.
    static absl::StatusOr<TableDocument> decode(std::string_view bytes);
};

/// Audit records moved out of the document, oldest first, with a link to the archive before.
struct AuditArchive {
    std::vector<AuditRecord> records;
    /// The first revision of the archive before this one; zero when there is none.
    std::uint64_t previousArchive = 0;

    bool operator==(const AuditArchive &) const = default;

    std::string encode() const;
    static absl::StatusOr<AuditArchive> decode(std::string_view bytes);
};

/// What a peer at `fromRevision` lacks: the records since, and a digest of the rows that they lead to.
struct TableDelta {
    std::uint64_t fromRevision = 0;
    std::uint64_t revision = 0;
    std::vector<AuditRecord> records;
    std::uint64_t newestArchive = 0;
    std::uint64_t rowsDigest = 0;

    bool operator==(const TableDelta &) const = default;

    std::string encode() const;
    static absl::StatusOr<TableDelta> decode(std::string_view bytes);
    /// Whether the bytes are meant as a delta and not as a whole document.
    static bool isDelta(std::string_view bytes);
};

/// Equal for equal rows, row versions included.
std::uint64_t digestOf(const TableRows &rows);

/// The key of the archive whose first record has this revision.
std::string archiveKey(std::uint64_t firstRevision);

}
