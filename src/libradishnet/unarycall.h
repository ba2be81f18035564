#pragma once

#include "base/timerservice.h"
#include "messagestream.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace RadishSwitch
{

/// Sends one frame and hands the one answering frame to `callback`, exactly once.
///
/// ConnectionSilent when no answer came within `timeout`; what the stream closed with when it ended without one.
void unaryCall(MessageClient &client, TimerService &timers, const std::string &path, std::string frame,
               Duration timeout, std::function<void(absl::StatusOr<std::string>)> callback);

}
