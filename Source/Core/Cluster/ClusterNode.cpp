#include "Cluster/ClusterNode.h"

#include "Cluster/NodeParts.h"
#include "Cluster/Rendezvous.h"

namespace LaburnumChute::Cluster {

ClusterNode::ClusterNode(const ClusterOptions &options, const MemberInfo &self, std::uint64_t seed,
                         Common::Time now)
    : parts_(std::make_unique<Parts>(options, self, seed, now))
{
}

ClusterNode::~ClusterNode() = default;
ClusterNode::ClusterNode(ClusterNode &&) noexcept = default;
ClusterNode &ClusterNode::operator=(ClusterNode &&) noexcept = default;

Effects ClusterNode::receive(const Address &from, const GossipMessage &message, Common::Time now)
{
    parts_->receive(from, message, now);
    return parts_->takeEffects();
}

Effects ClusterNode::tick(Common::Time now, Common::WallTime wallNow)
{
    parts_->tick(now, wallNow);
    return parts_->takeEffects();
}

Effects ClusterNode::updateSeeds(const std::vector<Seed> &seeds, Common::Time)
{
    parts_->updateSeeds(seeds);
    return parts_->takeEffects();
}

Effects ClusterNode::configurationRead(const ConfigurationVersion &version, Common::Time now)
{
    parts_->configurationRead(version, now);
    return parts_->takeEffects();
}

Effects ClusterNode::configurationUnchanged(Common::Time now)
{
    parts_->configurationUnchanged(now);
    return parts_->takeEffects();
}

Effects ClusterNode::configurationReadFailed(Common::Time now)
{
    parts_->configurationReadFailed(now);
    return parts_->takeEffects();
}

Effects ClusterNode::configurationValidated(Common::ConfigurationNumber number,
                                            const Common::Result<void> &verdict, Common::Time now)
{
    parts_->configurationValidated(number, verdict, now);
    return parts_->takeEffects();
}

Effects ClusterNode::announceLeaving(Common::Time now)
{
    parts_->announceLeaving(now);
    return parts_->takeEffects();
}

void ClusterNode::setLocalLoad(const LoadSummary &load)
{
    parts_->localLoad = load;
}

Effects ClusterNode::publishNotice(const Notice &notice, Common::Time now)
{
    parts_->publishNotice(notice, now);
    return parts_->takeEffects();
}

const MemberInfo &ClusterNode::self() const
{
    return parts_->membership.self();
}

std::vector<MemberView> ClusterNode::members() const
{
    std::vector<MemberView> views = parts_->membership.views();
    for (MemberView &view : views) {
        view = parts_->listed(std::move(view));
    }
    return views;
}

std::optional<MemberView> ClusterNode::member(const Common::InstanceId &id) const
{
    auto view = parts_->membership.view(id);
    return view ? std::optional(parts_->listed(std::move(*view))) : std::nullopt;
}

std::optional<Common::Incarnation>
ClusterNode::newestIncarnation(const Common::InstanceId &id) const
{
    return parts_->newestIncarnation(id);
}

const ConfigurationVersion &ClusterNode::configuration() const
{
    return parts_->store.current();
}

bool ClusterNode::isWatcher() const
{
    return parts_->roles().watcher;
}

Common::InstanceId ClusterNode::orderer(std::string_view scope) const
{
    const auto chosen = chooseByRendezvous(parts_->membership.eligible(), scope, 1);
    return chosen.empty() ? Common::InstanceId() : chosen.front();
}

std::vector<RegionSummary> ClusterNode::regions() const
{
    return parts_->directory.summaries();
}

std::vector<Notice> ClusterNode::notices() const
{
    return parts_->notices.all(parts_->lastInput);
}

const ControlTraffic &ClusterNode::traffic() const
{
    return parts_->traffic;
}

nlohmann::json ClusterNode::dump() const
{
    return parts_->dump();
}

} // namespace LaburnumChute::Cluster
