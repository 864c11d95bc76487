#pragma once

#include <deque>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// Requests in flight on one endpoint: the last load report, corrected by the requests that this
/// instance sent and saw ending since the report was measured.
///
/// Load pattern: many instances and reports that lag by a second or more. Without the correction
/// every instance sees the same idle endpoint until the next report and all send there (herding):
/// the queue of one endpoint grows while others are idle, and the next report moves all of them to
/// another endpoint. The requests that peers sent are not known; each peer is assumed to have sent
/// a fraction (RoutingOptions::peerSendRatio) of what this instance sent.
class EndpointLoad
{
public:
    explicit EndpointLoad(const RoutingOptions &options);

    void report(const LoadReport &report, Time now);
    /// Sets the number of instances that use the endpoint, including this one.
    void setSharingInstances(double sharingInstances);

    /// @param prefillTokens prompt tokens that are probably not cached on the endpoint
    void sent(double prefillTokens, Time now);
    void firstToken(double prefillTokens);
    /// @param pending whether no first token has arrived
    void ended(bool pending, double prefillTokens, Time sentAt, Time now);

    /// Running and queued requests of all instances on the endpoint.
    double inFlight(Time now) const;
    /// Prompt tokens queued for prefill on the endpoint.
    double pendingPrefillTokens(Time now) const;
    /// Time since the last report was measured; zero before the first.
    Duration age(Time now) const
    {
        return reported_ ? now - measuredAt_ : Duration(0);
    }
    std::int64_t ownInFlight() const
    {
        return ownInFlight_;
    }
    const LoadReport &lastReport() const
    {
        return report_;
    }

private:
    bool isFresh(Time now) const;

    const RoutingOptions *options_;
    LoadReport report_;
    /// When the report was measured.
    Time measuredAt_{};
    bool reported_ = false;
    double peers_ = 0;
    std::int64_t ownInFlight_ = 0;
    std::int64_t ownPending_ = 0;
    double ownPendingTokens_ = 0;
    double meanPrefillTokens_ = 0;
    std::deque<Time> sentSinceReport_;
    /// Ends of requests that the report still includes.
    std::deque<Time> endedSinceReport_;
};

} // namespace LaburnumChute::Decisions
