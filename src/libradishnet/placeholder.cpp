#include "messagestream.h"
