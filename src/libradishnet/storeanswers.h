#pragma once

#include "httpmessages.h"

#include <absl/status/status.h>

#include <cstddef>
#include <string>

namespace RadishSwitch
{

/// A longer answer of an object store is given up. The longest known, a whole configuration, has some hundred kB.
inline constexpr std::size_t kMaximumStoreAnswerBytes = 16 * 1024 * 1024;

/// Whether an answer of an object store is a success.
bool isStoreSuccess(const HttpResponse &response);

/// What the failure of the connection means for a call to an object store: StoreUnavailable when nothing of the call
/// was sent, StoreTimeout otherwise.
absl::Status failureOfStoreCall(const absl::Status &status);

/// What an answer other than a success means for a call about `key`. 404 is ObjectMissing, 409 and 412 VersionConflict,
/// 410 HistoryGone, 413 ObjectTooLarge; 429 and 503 are StoreUnavailable, with the time to come back. Other answers of
/// 500 and above may have come after the effect: StoreTimeout.
absl::Status failureOfStoreAnswer(const HttpResponse &response, const std::string &key);

}
