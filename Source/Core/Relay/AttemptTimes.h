#pragma once

#include <map>

#include "Common/Common.h"

namespace LaburnumChute::Relay {

/// How long attempts take now, from the send to the end of the answer, by service.
class AttemptTimes
{
public:
    void record(const Common::ServiceName &service, Common::Duration took);
    /// The longest time of the recent attempts; zero if there was none.
    Common::Duration longest(const Common::ServiceName &service) const;

private:
    std::map<Common::ServiceName, Common::Duration> longest_;
};

} // namespace LaburnumChute::Relay
