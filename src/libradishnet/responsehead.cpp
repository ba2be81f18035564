#include "responsehead.h"

#include "base/failure.h"

#include <string>

namespace RadishSwitch
{

namespace
{

namespace http = boost::beast::http;

constexpr int kFirstFinalStatus = 200;
/// RFC 9110, section 15: there are no classes of status behind 5xx.
constexpr int kLastStatus = 599;

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
    return absl::OkStatus();
}

}
