#pragma once

// Public header of the library Relay: an instance that relays requests by host and path to the
// endpoints of its region, or to an instance of another one.

#include "Relay/RelayGateway.h"
#include "Relay/RelayOptions.h"
