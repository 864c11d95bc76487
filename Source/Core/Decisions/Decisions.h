#pragma once

// Public header of the Decisions library: admission control, queueing, load balancing, retries,
// quarantine, forwarding between regions and placement. The current time is passed in; there are no
// sockets, threads, sleeps or clocks here, and all randomness is seeded.

#include "Decisions/Facts.h"
#include "Decisions/Options.h"
#include "Decisions/Placement.h"
#include "Decisions/Quarantine.h"
#include "Decisions/Scheduler.h"
