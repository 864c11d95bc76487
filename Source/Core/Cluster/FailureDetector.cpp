#include "Cluster/FailureDetector.h"

#include <algorithm>

namespace LaburnumChute::Cluster {

FailureDetector::FailureDetector(const ClusterOptions &options, Common::Time now)
    : options_(options)
    , nextProbe_(now)
{
}

ProbeActions FailureDetector::tick(const std::vector<Common::InstanceId> &peers,
                                   std::mt19937_64 &random, Common::Time now)
{
    ProbeActions actions;
    if (probe_ && now >= probe_->ends) {
        finishProbe(peers, actions);
    }
    if (probe_ && !probe_->answered && !probe_->helpersAsked && now >= probe_->askHelpers) {
        askHelpers(peers, random, actions);
    }
    if (!probe_ && now >= nextProbe_) {
        startProbe(peers, random, now, actions);
    }
    return actions;
}

void FailureDetector::finishProbe(const std::vector<Common::InstanceId> &peers,
                                  ProbeActions &actions)
{
    const bool isPeer = std::binary_search(peers.begin(), peers.end(), probe_->target);
    if (probe_->answered) {
        localHealthScore_ = std::max(0, localHealthScore_ - 1);
    } else if (isPeer) {
        localHealthScore_ = std::min(MaxLocalHealthScore, localHealthScore_ + 1);
        actions.suspects.push_back(probe_->target);
    }
    probe_.reset();
}

void FailureDetector::askHelpers(const std::vector<Common::InstanceId> &peers,
                                 std::mt19937_64 &random, ProbeActions &actions)
{
    probe_->helpersAsked = true;
    std::vector<Common::InstanceId> helpers;
    std::sample(peers.begin(), peers.end(), std::back_inserter(helpers),
                options_.indirectProbes + 1, random);
    std::erase(helpers, probe_->target);
    helpers.resize(std::min(helpers.size(), options_.indirectProbes));
    for (const Common::InstanceId &helper : helpers) {
        actions.pingRequests.push_back({helper, probe_->target, probe_->sequence});
    }
}

void FailureDetector::startProbe(const std::vector<Common::InstanceId> &peers,
                                 std::mt19937_64 &random, Common::Time now, ProbeActions &actions)
{
    if (peers.empty()) {
        return;
    }
    const auto isRemoved = [&peers](const Common::InstanceId &id) {
        return !std::binary_search(peers.begin(), peers.end(), id);
    };
    std::erase_if(probeOrder_, isRemoved);
    if (probeOrder_.empty()) {
        probeOrder_ = peers;
        std::shuffle(probeOrder_.begin(), probeOrder_.end(), random);
    }
    const int timeoutMultiplier = localHealthScore_ + 1;
    Probe probe;
    probe.target = probeOrder_.back();
    probeOrder_.pop_back();
    probe.sequence = nextSequence();
    probe.askHelpers = now + options_.probeTimeout * timeoutMultiplier;
    probe.ends = now + options_.probePeriod * timeoutMultiplier;
    nextProbe_ = now + options_.probePeriod;
    actions.pings.push_back({probe.target, probe.sequence});
    probe_ = std::move(probe);
}

void FailureDetector::acknowledged(std::uint32_t sequence)
{
    if (probe_ && probe_->sequence == sequence) {
        probe_->answered = true;
    }
}

void FailureDetector::selfSuspected()
{
    localHealthScore_ = std::min(MaxLocalHealthScore, localHealthScore_ + 1);
}

void FailureDetector::cancelProbe(Common::Time now)
{
    probe_.reset();
    nextProbe_ = now;
}

void FailureDetector::postpone(Common::Duration gap)
{
    if (probe_) {
        probe_->askHelpers += gap;
        probe_->ends += gap;
    }
}

} // namespace LaburnumChute::Cluster
