#pragma once

#include <variant>

#include <cereal/types/variant.hpp>

#include "Customers/Customers.h"
#include "Dispatch/Dispatch.h"
#include "Fleet/Fleet.h"
#include "Peers/ValueCodec.h"

namespace LaburnumChute::Relay {

/// Usage of customers that is close to a limit, for all instances of the region.
struct UsageNotice
{
    Common::InstanceId sender;
    Customers::UsageReport report;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(sender, report);
    }
};

/// Content of one datagram between two instances.
using GossipMessage = std::variant<Fleet::Heartbeat, Dispatch::PromptNotices, UsageNotice,
                                   Fleet::RegionDigest, Dispatch::SuspectNotices>;

} // namespace LaburnumChute::Relay
