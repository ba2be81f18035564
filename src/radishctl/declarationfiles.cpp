#include "declarationfiles.h"

#include "base/failure.h"
#include "table/tablecsv.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace RadishSwitch
{

namespace
{

constexpr char kCsvEnding[] = ".csv";
constexpr char kJsonEnding[] = ".json";

absl::Status unusable(const std::string &path, const std::string &expected)
{
    return makeFailure(FailureCode::InvalidSettings, "'" + path + "' should be " + expected);
}

std::optional<TableKind> kindOfFileName(const std::string &stem)
{
    for (TableKind kind : kTableKinds) {
        if (stem == declarationFileName(kind)) {
            return kind;
        }
    }
    return std::nullopt;
}

/// Names the file in front of a reader's problems.
absl::Status inFile(const absl::Status &status, const std::string &path)
{
    absl::Status named(status.code(), path + ": " + std::string(status.message()));
    status.ForEachPayload([&named](auto type, const absl::Cord &payload) {
        named.SetPayload(type, payload);
    });
    return named;
}

absl::StatusOr<TableDeclaration> readOne(const std::filesystem::path &path, std::optional<TableKind> kind)
{
    const absl::StatusOr<std::string> content = readFile(path.string());
    if (!content.ok()) {
        return content.status();
    }
    const bool isJson = path.extension() == kJsonEnding;
    if (isJson && !kind) {
        return unusable(path.string(), "named after a kind of rows, or given with --kind");
    }
    absl::StatusOr<TableDeclaration> declaration =
        isJson ? readTableJson(*content, *kind) : readTableCsv(*content, kind);
    if (!declaration.ok()) {
        return inFile(declaration.status(), path.string());
    }
    return declaration;
}

std::vector<std::filesystem::path> declarationsIn(const std::string &folder)
{
    std::vector<std::filesystem::path> paths;
    std::error_code ec;
    for (const auto &entry : std::filesystem::directory_iterator(folder, ec)) {
        const std::filesystem::path ending = entry.path().extension();
        if (entry.is_regular_file(ec) && (ending == kCsvEnding || ending == kJsonEnding)) {
            paths.push_back(entry.path());
        }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

absl::StatusOr<TableDeclaration> readFolder(const std::string &folder)
{
    TableDeclaration all;
    const std::vector<std::filesystem::path> paths = declarationsIn(folder);
    if (paths.empty()) {
        return unusable(folder, "a folder with organisations.json, pools.csv or the like");
    }
    for (const std::filesystem::path &path : paths) {
        const std::optional<TableKind> kind = kindOfFileName(path.stem().string());
        if (!kind) {
            return unusable(path.string(), "named organisations, pools, routes or endpoint_groups");
        }
        const absl::StatusOr<TableDeclaration> one = readOne(path, kind);
        if (!one.ok()) {
            return one.status();
        }
        absl::StatusOr<TableDeclaration> merged = TableDeclaration::merged(std::move(all), *one);
        if (!merged.ok()) {
            return merged.status();
        }
        all = *std::move(merged);
    }
    return all;
}

}

std::string declarationFileName(TableKind kind)
{
    return std::string(tableKindName(kind)) + "s";
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf())) {
        return unusable(path, "a file that can be read and is not empty");
    }
    return content.str();
}

absl::Status writeFile(const std::string &path, const std::string &content)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << content;
    file.close();
    return file ? absl::OkStatus() : unusable(path, "a file that can be written");
}

absl::StatusOr<TableDeclaration> readDeclaration(const std::string &path, std::optional<TableKind> kind)
{
    std::error_code ec;
    if (std::filesystem::is_directory(path, ec)) {
        return readFolder(path);
    }
    const std::filesystem::path file(path);
    if (!kind && file.extension() == kJsonEnding) {
        kind = kindOfFileName(file.stem().string());
    }
    return readOne(file, kind);
}

}
