#pragma once

// Public header of the library Fleet: membership and reachability of the other instances,
// discovered from seed addresses alone. A state machine that performs no I/O.

#include "Fleet/Heartbeat.h"
#include "Fleet/Population.h"
#include "Fleet/Roster.h"
#include "Fleet/StoreWatch.h"
