#pragma once

#include "globaloptions.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace RadishSwitch
{

/// Rows of figures and names under column names.
struct Sheet {
    std::vector<std::string> header;
    std::vector<std::vector<nlohmann::json>> rows;
};

/// Prints for people or for programs, as the operator chose.
class Output
{
public:
    Output(std::ostream &out, std::ostream &err, OutputFormat format);

    bool isJson() const;

    /// A list of objects, or aligned columns.
    void print(const Sheet &sheet);

    /// An object, or the text.
    void print(const nlohmann::json &json, const std::string &text);

    /// Text in the table form alone.
    void printHeading(const std::string &text);

    /// A failure, on the error stream, with its problems or its conflict.
    void printFailure(const absl::Status &status);

    /// Text as it is, in both forms: a file's content.
    void printRaw(const std::string &text);

private:
    std::ostream &m_out;
    std::ostream &m_err;
    OutputFormat m_format;
};

/// The rows of a sheet as a list of objects.
nlohmann::json toJson(const Sheet &sheet);

}
