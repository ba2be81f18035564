#pragma once

#include "httpmessages.h"

namespace RadishSwitch
{

/// The headers that go from end to end: without those that concern one connection only, by HTTP's own list and by the
/// message's "Connection" header, and without those that tell the length of the body.
HttpHeaders endToEndHeaders(const HttpHeaders &headers);

}
