#pragma once

// Public header of the library Cluster: who is alive, which version of the configuration is in
// force and who gives orders to the engines. State machines without sockets, threads or clocks.

#include "Cluster/ClusterNode.h"
#include "Cluster/Codec.h"
#include "Cluster/Effects.h"
#include "Cluster/EngineOrder.h"
#include "Cluster/Messages.h"
#include "Cluster/Options.h"
#include "Cluster/OrderCoordinator.h"
#include "Cluster/Types.h"
