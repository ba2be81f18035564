#pragma once

#include "libradishwire/fleet.pb.h"

/// The messages between the processes of a fleet, under this project's namespace.
namespace RadishSwitch
{

namespace wire = ::radishswitch::wire;

}
