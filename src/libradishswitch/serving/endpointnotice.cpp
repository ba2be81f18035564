#include "serving/endpointnotice.h"

namespace RadishSwitch
{

std::string_view noticeFieldName(NoticeField field)
{
    switch (field) {
    case NoticeField::Limit:
        return "limit";
    case NoticeField::Backoff:
        return "backoff";
    case NoticeField::Leaving:
        break;
    }
    return "leaving";
}

}
