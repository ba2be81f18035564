#include "asyncresult.h"
