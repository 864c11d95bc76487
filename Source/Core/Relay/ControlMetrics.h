#pragma once

#include <array>
#include <cstddef>

#include "Common/Common.h"
#include "Relay/GossipMessage.h"

namespace LaburnumChute::Relay {

/// Counts what this instance exchanges with others for control, by purpose.
class ControlMetrics
{
public:
    explicit ControlMetrics(Common::MetricsRegistry &registry);

    void countSent(const GossipMessage &message, std::size_t bytes, std::size_t receivers);
    void countReceived(const GossipMessage &message, std::size_t bytes);
    /// Changes of the store that were sent to a peer.
    void countItemsSent(std::size_t bytes);

private:
    struct Traffic
    {
        Common::Counter *messages = nullptr;
        Common::Counter *bytes = nullptr;
    };
    static constexpr std::size_t Purposes = std::variant_size_v<GossipMessage>;

    static Traffic makeTraffic(Common::MetricsRegistry &registry, const std::string &direction,
                               const std::string &purpose);

    /// By index of the type of the message.
    std::array<Traffic, Purposes> sent_;
    std::array<Traffic, Purposes> received_;
    Traffic itemsSent_;
};

} // namespace LaburnumChute::Relay
