#pragma once

// Public header of the library Customers: API keys, the customers that hold them, and customers'
// usage limits over all instances. Performs no I/O.

#include "Customers/Customer.h"
#include "Customers/CustomerTable.h"
#include "Customers/KeyTable.h"
#include "Customers/UsageLimiter.h"
#include "Customers/UsageReport.h"
