#pragma once

// Public header of the library Peers: communication between instances. Gossip uses UDP; requests
// and whole bodies use a multiplexed TCP channel.

#include "Peers/ChannelClient.h"
#include "Peers/ChannelFrames.h"
#include "Peers/ChannelServer.h"
#include "Peers/GossipSocket.h"
