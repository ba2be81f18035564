#include "responsehead.h"

#include "base/failure.h"

#include <string>

namespace RadishSwitch
{

namespace
{

namespace http = boost::beast::http;

/// RFC 9110, section 15: the classes of status are 1xx to 5xx.
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;

}

absl::Status checkResponseHead(const http::response_header<> &head)
{
    const auto status = static_cast<int>(head.result_int());
    if (status < kFirstStatus || status > kLastStatus || status == kSwitchingProtocols) {
        return makeFailure(FailureCode::MalformedMessage,
                           "the status " + std::to_string(status) + " is that of no answer");
    }
    return absl::OkStatus();
}

}
