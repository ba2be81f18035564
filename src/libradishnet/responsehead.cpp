#include "responsehead.h"

#include "base/failure.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <string>

namespace RadishSwitch
{

namespace
{

namespace http = boost::beast::http;

constexpr int kFirstFinalStatus = 200;
/// RFC 9110, section 15: there are no classes of status behind 5xx.
constexpr int kLastStatus = 599;
/// Beast's number for HTTP/1.1. Before it there were no transfer codings.
constexpr unsigned kHttp11 = 11;

bool isChunkedAlone(const http::response_header<> &head)
{
    const auto value = head[http::field::transfer_encoding];
    const absl::string_view codings = absl::StripAsciiWhitespace({value.data(), value.size()});
    return head.count(http::field::transfer_encoding) == 1 && absl::EqualsIgnoreCase(codings, "chunked");
}

}

bool hasContinuedLine(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

absl::Status checkResponseHead(const http::response_header<> &head)
{
    const auto status = static_cast<int>(head.result_int());
    if (!isInterimStatus(status) && (status < kFirstFinalStatus || status > kLastStatus)) {
        return makeFailure(FailureCode::MalformedMessage,
                           "the status " + std::to_string(status) + " is that of no answer");
    }
    const bool isCoded = head.count(http::field::transfer_encoding) > 0;
    if (isCoded && (head.version() < kHttp11 || !isChunkedAlone(head))) {
        return makeFailure(FailureCode::MalformedMessage, "the transfer coding of the answer is not chunked alone");
    }
    return absl::OkStatus();
}

}
