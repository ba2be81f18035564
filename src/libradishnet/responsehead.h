#pragma once

#include <absl/status/status.h>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace RadishSwitch
{

/// Whether a parsed head is that of an answer to a request that asked for no other protocol. Else MalformedMessage: the
/// status is none.
absl::Status checkResponseHead(const boost::beast::http::response_header<> &head);

}
