#pragma once

// Public header of the Dispatch library: queueing, placement, forwarding to other regions and
// rejection of relayed requests. The library only makes decisions: time is passed in, and nothing
// is sent from here.

#include "Dispatch/Facts.h"
#include "Dispatch/LoadReports.h"
#include "Dispatch/OptionOverrides.h"
#include "Dispatch/Options.h"
#include "Dispatch/Scheduler.h"
