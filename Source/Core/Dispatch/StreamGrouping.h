#pragma once

#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Dispatch/EndpointTable.h"

namespace LaburnumChute::Dispatch {

/// Whether the request is a stream of a short prompt.
bool isShortStream(const CallFacts &facts, const DispatchOptions &options);

/// Selects the engines of a service that streams of short prompts are sent to preferably, so that
/// the others run few streams when a long prompt arrives.
///
/// Load pattern: streams of short prompts that would all fit on a part of the region's engines, and
/// long prompts that delay all streams of the engine that prefills them. All instances rank the
/// engines by the same hash, so they agree on the group without messages, apart from its size.
class StreamGrouping
{
public:
    /// A short stream of this instance was sent to an endpoint, or has ended.
    void began(const ServiceName &service);
    void ended(const ServiceName &service);
    int inProgress(const ServiceName &service) const;

    /// Recomputes the size of the service's group.
    /// @param streams short streams in progress in the region
    void resize(const ServiceName &service, double streams, std::size_t engines, int slots,
                Time now);
    /// The engines of the group.
    /// @param engines those of the service that accept requests
    std::vector<const EndpointState *>
    group(const ServiceName &service, const std::vector<EndpointState *> &engines, Time now) const;
    /// Number of engines in the group; the service may have fewer.
    std::size_t size(const ServiceName &service) const;

private:
    struct Group
    {
        int inProgress = 0;
        double streams = 0;
        Time at{};
        std::size_t size = 0;
    };

    std::map<ServiceName, Group> groups_;
};

} // namespace LaburnumChute::Dispatch
