#pragma once

// Public header of the Cluster library: membership, distribution of the configuration, and
// coordination of orders to the engines. The classes are state machines without sockets, threads or
// clocks.

#include "Cluster/ClusterNode.h"
#include "Cluster/Codec.h"
#include "Cluster/Effects.h"
#include "Cluster/EngineOrder.h"
#include "Cluster/Messages.h"
#include "Cluster/Options.h"
#include "Cluster/OrderCoordinator.h"
#include "Cluster/Types.h"
