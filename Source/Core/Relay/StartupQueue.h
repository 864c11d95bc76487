#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "Relay/InboundConnection.h"

namespace LaburnumChute::Relay {

/// A request that was read before the first configuration was known.
struct EarlyRequest
{
    std::shared_ptr<InboundConnection> connection;
    InboundRequest request;
    Common::Time receivedAt{};
};

/// Requests that wait for the first configuration of this process.
///
/// Load pattern: all processes are restarted at once while callers keep sending. A process learns
/// the configuration after a few round trips to the store. Callers that are rejected meanwhile
/// return later and lose their objective, and many return only once.
class StartupQueue
{
public:
    /// Returns false if the queue is full; the request is unchanged then.
    bool add(EarlyRequest &request);
    /// Removes and returns all requests, in the order of their arrival.
    std::vector<EarlyRequest> takeAll();
    /// Removes and returns the requests that have waited for as long as a configuration may take.
    std::vector<EarlyRequest> takeExpired(Common::Time now);
    std::size_t size() const
    {
        return requests_.size();
    }

private:
    std::vector<EarlyRequest> requests_;
    std::size_t bodyBytes_ = 0;
};

} // namespace LaburnumChute::Relay
