#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace RadishSwitch
{

/// Header fields in order; names compare without case.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<std::pair<std::string, std::string>> fields)
        : m_fields(fields)
    {
    }

    void add(std::string name, std::string value);
    std::optional<std::string> find(std::string_view name) const;
    const std::vector<std::pair<std::string, std::string>> &fields() const;

    bool operator==(const HttpHeaders &) const = default;

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct HttpRequest {
    std::string method = "GET";
    /// Path and query.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpRequest &) const = default;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    bool operator==(const HttpResponse &) const = default;
};

}
