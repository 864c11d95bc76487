#pragma once

// Public header of the library Peers: what instances say to each other. Gossip goes by UDP.

#include "Peers/GossipSocket.h"
