#pragma once

#include <string>
#include <string_view>

namespace RadishSwitch
{

/// The body with which the stand-in service answers a call. It depends on the method, the last segment of the path and
/// the body alone, so that whoever knows the call can tell whether an answer is whole and its own.
std::string serviceAnswer(std::string_view method, std::string_view target, std::string_view body);

}
