#pragma once

#include <deque>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// What one endpoint has in flight: the last report, corrected by what this instance sent and saw
/// ending since the moment that the report describes.
///
/// Load pattern: many instances and reports that lag by a second or more. Without the correction
/// every instance sees the same idle endpoint until the next report and all send there (herding):
/// one endpoint's queue grows while its neighbours stand idle, and the next report turns the herd
/// elsewhere. The other instances' sends cannot be seen; each is taken to have sent a share
/// (RoutingOptions::othersSendShare) of what this one sent.
class EndpointLoad
{
public:
    explicit EndpointLoad(const RoutingOptions &options);

    void report(const LoadReport &report, Time now);
    /// Instances that use the endpoint, with this one.
    void setUsers(double users);

    /// @param prefillTokens prompt tokens thought not to be cached there
    void sent(double prefillTokens, Time now);
    void firstToken(double prefillTokens);
    /// @param pending no first token came
    void ended(bool pending, double prefillTokens, Time sentAt, Time now);

    /// Requests of all instances on the endpoint, running and waiting.
    double inFlight(Time now) const;
    /// Prompt tokens waiting for prefill on the endpoint.
    double pendingPrefillTokens(Time now) const;
    /// Age of what the last report describes; zero before the first.
    Duration age(Time now) const
    {
        return reported_ ? now - describes_ : Duration(0);
    }
    std::int64_t ownInFlight() const
    {
        return own_;
    }
    const LoadReport &lastReport() const
    {
        return report_;
    }

private:
    bool fresh(Time now) const;

    const RoutingOptions *options_;
    LoadReport report_;
    /// The moment that the report describes.
    Time describes_{};
    bool reported_ = false;
    double others_ = 0;
    std::int64_t own_ = 0;
    std::int64_t ownPending_ = 0;
    double ownPendingTokens_ = 0;
    double meanPrefill_ = 0;
    std::deque<Time> sentSince_;
    /// Ends of requests that the report still counts.
    std::deque<Time> endedSince_;
};

} // namespace LaburnumChute::Decisions
