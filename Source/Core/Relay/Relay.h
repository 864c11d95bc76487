#pragma once

// Public header of the Relay library: an instance that relays requests by host and path to the
// endpoints of its region, or to an instance in another region.

#include "Relay/RelayGateway.h"
#include "Relay/RelayOptions.h"
