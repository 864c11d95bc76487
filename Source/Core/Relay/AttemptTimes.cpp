#include "Relay/AttemptTimes.h"

#include <algorithm>

namespace LaburnumChute::Relay {

void AttemptTimes::record(const Common::ServiceName &service, Common::Duration took)
{
    // Each later attempt takes a tenth off a longer one before it.
    constexpr int Numerator = 9;
    constexpr int Denominator = 10;
    auto &longest = longest_[service];
    longest = std::max(took, longest * Numerator / Denominator);
}

Common::Duration AttemptTimes::longest(const Common::ServiceName &service) const
{
    const auto found = longest_.find(service);
    return found == longest_.end() ? Common::Duration(0) : found->second;
}

} // namespace LaburnumChute::Relay
