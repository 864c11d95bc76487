#pragma once

// Public header of the library Common: names, time, errors, logs, metrics, settings and
// read-copy-update cells. All other libraries use it; it performs no network I/O.

#include "Common/Error.h"
#include "Common/Hash.h"
#include "Common/Http.h"
#include "Common/Ids.h"
#include "Common/Log.h"
#include "Common/Metrics.h"
#include "Common/Rcu.h"
#include "Common/Settings.h"
#include "Common/Time.h"
