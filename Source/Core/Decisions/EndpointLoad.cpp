#include "Decisions/EndpointLoad.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

/// Bounds memory if an endpoint stops reporting.
constexpr std::size_t MaxEvents = 1024;
constexpr double PrefillSmoothing = 0.05;

void eraseUpTo(std::deque<Time> &events, Time time)
{
    while (!events.empty() && events.front() <= time) {
        events.pop_front();
    }
}

void append(std::deque<Time> &events, Time time)
{
    events.push_back(time);
    if (events.size() > MaxEvents) {
        events.pop_front();
    }
}

} // namespace

EndpointLoad::EndpointLoad(const RoutingOptions &options)
    : options_(&options)
{
}

void EndpointLoad::report(const LoadReport &report, Time now)
{
    const Time measuredAt = now - report.age;
    if (reported_ && measuredAt < measuredAt_) {
        return;
    }
    report_ = report;
    measuredAt_ = measuredAt;
    reported_ = true;
    eraseUpTo(sentSinceReport_, measuredAt_);
    eraseUpTo(endedSinceReport_, measuredAt_);
}

void EndpointLoad::setSharingInstances(double sharingInstances)
{
    peers_ = std::max(0.0, sharingInstances - 1);
}

void EndpointLoad::sent(double prefillTokens, Time now)
{
    ++ownInFlight_;
    ++ownPending_;
    ownPendingTokens_ += prefillTokens;
    meanPrefillTokens_ += PrefillSmoothing * (prefillTokens - meanPrefillTokens_);
    append(sentSinceReport_, now);
}

void EndpointLoad::firstToken(double prefillTokens)
{
    --ownPending_;
    ownPendingTokens_ = std::max(0.0, ownPendingTokens_ - prefillTokens);
}

void EndpointLoad::ended(bool pending, double prefillTokens, Time sentAt, Time now)
{
    --ownInFlight_;
    if (pending) {
        firstToken(prefillTokens);
    }
    if (sentAt <= measuredAt_) {
        append(endedSinceReport_, now);
        return;
    }
    const auto found = std::find(sentSinceReport_.begin(), sentSinceReport_.end(), sentAt);
    if (found != sentSinceReport_.end()) {
        sentSinceReport_.erase(found);
    }
}

bool EndpointLoad::isFresh(Time now) const
{
    return reported_ && now - measuredAt_ <= options_->reportStaleAfter;
}

double EndpointLoad::inFlight(Time now) const
{
    const auto own = static_cast<double>(ownInFlight_);
    if (!isFresh(now)) {
        return own * (1 + peers_);
    }
    const auto reported = static_cast<double>(report_.running + report_.waiting);
    const double sent =
        static_cast<double>(sentSinceReport_.size()) * (1 + options_->peerSendRatio * peers_);
    return std::max(own, reported + sent - static_cast<double>(endedSinceReport_.size()));
}

double EndpointLoad::pendingPrefillTokens(Time now) const
{
    if (!isFresh(now)) {
        return ownPendingTokens_ * (1 + peers_);
    }
    const double peerWaiting =
        std::max<double>(0, static_cast<double>(report_.waiting - ownPending_));
    return ownPendingTokens_ + peerWaiting * meanPrefillTokens_;
}

} // namespace LaburnumChute::Decisions
