#pragma once

#include <array>
#include <string_view>

namespace RadishSwitch
{

/// Why a gateway refuses a call before it has read its body.
enum class RefusalReason {
    /// The process is late to run its own tasks.
    Processor,
    /// New connections are late.
    LinkDelay,
    /// The predicted queue of the link has no room for the bytes of the call.
    LinkBytes,
    /// The link has a queue, and the organisation of the call is over its share.
    Share,
};

inline constexpr std::array kRefusalReasons{RefusalReason::Processor, RefusalReason::LinkDelay,
                                            RefusalReason::LinkBytes, RefusalReason::Share};

/// The stable name of a reason, as in log lines and metrics: "link_bytes".
std::string_view refusalReasonName(RefusalReason reason);

}
