#pragma once

#include "fleet.pb.h"

namespace RadishSwitch
{

namespace wire = ::radishswitch::wire;

}
