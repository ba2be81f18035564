#pragma once

#include "httpserver.h"

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// Brings one answer to its caller in the caller's form.
class AnswerRelay
{
public:
    virtual ~AnswerRelay() = default;

    /// The answer's head; called once, also when a later attempt goes on with the answer.
    virtual void setHead(int status, const std::string &contentType) = 0;

    /// More bytes of the answer. ConnectionLost when the caller is gone.
    virtual boost::asio::awaitable<absl::Status> append(std::string data) = 0;

    /// The answer is whole and on the bill. EndpointFailed when it can't be ended as it began; `fail` must follow then.
    virtual boost::asio::awaitable<absl::Status> finish() = 0;

    /// The request was given up.
    virtual boost::asio::awaitable<void> fail(const absl::Status &status) = 0;

    /// Drops what was collected, so that another answer may come from its first byte. False, and nothing is dropped,
    /// when the caller has received a part and only its rest may follow.
    virtual bool restart() = 0;
};

}
