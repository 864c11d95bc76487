#pragma once

#include <vector>

#include "Dispatch/Facts.h"

namespace LaburnumChute::Dispatch {

/// A request that the scheduler has taken and that has not ended.
struct Call
{
    CallFacts facts;
    bool queued = false;
    bool withdrawn = false;
    /// Where it is now.
    EndpointId endpoint;
    RegionName region;
    Time sentAt{};
    Duration expected{0};
    std::int64_t prefillTokens = 0;
    bool answering = false;
    /// Events of its answer so far, of all tries.
    int events = 0;
    bool takenBack = false;
    /// The endpoint had a free place as it was sent.
    bool placeFreeAtSend = false;
    /// The engine had nothing else to read as it was sent.
    bool aloneAtSend = false;
    /// Tries after which it may have run.
    int runs = 0;
    /// Tries of any outcome.
    int tries = 0;
    std::vector<EndpointId> tried;
    std::vector<RegionName> triedRegions;
};

} // namespace LaburnumChute::Dispatch
