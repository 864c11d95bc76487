#pragma once

// Public header of the library Peers: what instances say to each other. Gossip goes by UDP,
// requests and whole bodies by a multiplexed TCP channel.

#include "Peers/ChannelClient.h"
#include "Peers/ChannelFrames.h"
#include "Peers/ChannelServer.h"
#include "Peers/GossipSocket.h"
