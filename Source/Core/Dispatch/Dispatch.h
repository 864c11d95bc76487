#pragma once

// Public header of the library Dispatch: how relayed requests wait, are placed on endpoints or in
// other regions, and are turned away. Pure decisions: time is passed in, nothing is sent from here.

#include "Dispatch/Facts.h"
#include "Dispatch/OptionOverrides.h"
#include "Dispatch/Options.h"
#include "Dispatch/Scheduler.h"
#include "Dispatch/Shares.h"
