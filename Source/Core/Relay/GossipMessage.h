#pragma once

#include <variant>

#include <cereal/types/variant.hpp>

#include "Dispatch/Dispatch.h"
#include "Fleet/Fleet.h"
#include "Peers/ValueCodec.h"

namespace LaburnumChute::Relay {

/// Content of one datagram between two instances.
using GossipMessage = std::variant<Fleet::Heartbeat, Dispatch::PromptNotices>;

} // namespace LaburnumChute::Relay
