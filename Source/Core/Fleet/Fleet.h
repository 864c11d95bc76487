#pragma once

// Public header of the library Fleet: which other instances there are and which of them can be
// reached, learnt from seed addresses alone. A state machine without sockets.

#include "Fleet/Heartbeat.h"
#include "Fleet/Roster.h"
#include "Fleet/StoreWatch.h"
