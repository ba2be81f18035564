#include "limits/refusalreason.h"

namespace RadishSwitch
{

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::Processor:
        return "processor";
    case RefusalReason::LinkDelay:
        return "link_delay";
    case RefusalReason::LinkBytes:
        return "link_bytes";
    case RefusalReason::Share:
        return "share";
    }
    return "processor";
}

}
