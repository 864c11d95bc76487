#include "Decisions/EndpointLoad.h"

#include <algorithm>

namespace LaburnumChute::Decisions {

namespace {

/// Bounds memory when an endpoint stops reporting.
constexpr std::size_t MaxEvents = 1024;
constexpr double MeanWeight = 0.05;

void forgetBefore(std::deque<Time> &events, Time time)
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
    const Time describes = now - report.age;
    if (reported_ && describes < describes_) {
        return;
    }
    report_ = report;
    describes_ = describes;
    reported_ = true;
    forgetBefore(sentSince_, describes_);
    forgetBefore(endedSince_, describes_);
}

void EndpointLoad::setUsers(double users)
{
    others_ = std::max(0.0, users - 1);
}

void EndpointLoad::sent(double prefillTokens, Time now)
{
    ++own_;
    ++ownPending_;
    ownPendingTokens_ += prefillTokens;
    meanPrefill_ += MeanWeight * (prefillTokens - meanPrefill_);
    append(sentSince_, now);
}

void EndpointLoad::firstToken(double prefillTokens)
{
    --ownPending_;
    ownPendingTokens_ = std::max(0.0, ownPendingTokens_ - prefillTokens);
}

void EndpointLoad::ended(bool pending, double prefillTokens, Time sentAt, Time now)
{
    --own_;
    if (pending) {
        firstToken(prefillTokens);
    }
    if (sentAt <= describes_) {
        append(endedSince_, now);
        return;
    }
    const auto found = std::find(sentSince_.begin(), sentSince_.end(), sentAt);
    if (found != sentSince_.end()) {
        sentSince_.erase(found);
    }
}

bool EndpointLoad::fresh(Time now) const
{
    return reported_ && now - describes_ <= options_->reportStaleAfter;
}

double EndpointLoad::inFlight(Time now) const
{
    const auto own = static_cast<double>(own_);
    if (!fresh(now)) {
        return own * (1 + others_);
    }
    const auto reported = static_cast<double>(report_.running + report_.waiting);
    const double sent =
        static_cast<double>(sentSince_.size()) * (1 + options_->othersSendShare * others_);
    return std::max(own, reported + sent - static_cast<double>(endedSince_.size()));
}

double EndpointLoad::pendingPrefillTokens(Time now) const
{
    if (!fresh(now)) {
        return ownPendingTokens_ * (1 + others_);
    }
    const double others = std::max<double>(0, static_cast<double>(report_.waiting - ownPending_));
    return ownPendingTokens_ + others * meanPrefill_;
}

} // namespace LaburnumChute::Decisions
