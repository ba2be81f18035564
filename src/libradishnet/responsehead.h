#pragma once

#include <absl/status/status.h>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <string_view>

namespace RadishSwitch
{

/// Whether a status announces the answer that follows it (RFC 9110, section 15.2). A switch of protocols does not: an
/// answer of another protocol would follow.
constexpr bool isInterimStatus(int status)
{
    constexpr int kSwitchingProtocols = 101;
    return status >= 100 && status < 200 && status != kSwitchingProtocols;
}

/// Whether lines of a head are continued on the next line, which no sender may do any more (RFC 9112, section 5.2). A
/// field whose name begins with a blank looks the same.
bool hasContinuedLine(std::string_view head);

/// Whether a parsed head is that of an answer to a request that asked for no other protocol and no transfer coding.
/// Else MalformedMessage: the status is none, or the body comes in a coding that nobody here undoes.
absl::Status checkResponseHead(const boost::beast::http::response_header<> &head);

}
