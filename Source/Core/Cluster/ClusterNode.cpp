#include "Cluster/ClusterNode.h"

#include "Cluster/NodeImpl.h"
#include "Cluster/Rendezvous.h"

namespace LaburnumChute::Cluster {

ClusterNode::ClusterNode(const ClusterOptions &options, const MemberInfo &self, std::uint64_t seed,
                         Common::Time now)
    : impl_(std::make_unique<Impl>(options, self, seed, now))
{
}

ClusterNode::~ClusterNode() = default;
ClusterNode::ClusterNode(ClusterNode &&) noexcept = default;
ClusterNode &ClusterNode::operator=(ClusterNode &&) noexcept = default;

Effects ClusterNode::receive(const Address &from, const GossipMessage &message, Common::Time now)
{
    impl_->receive(from, message, now);
    return impl_->takeEffects();
}

Effects ClusterNode::tick(Common::Time now, Common::WallTime wallNow)
{
    impl_->tick(now, wallNow);
    return impl_->takeEffects();
}

Effects ClusterNode::updateSeeds(const std::vector<Seed> &seeds, Common::Time)
{
    impl_->updateSeeds(seeds);
    return impl_->takeEffects();
}

Effects ClusterNode::configurationRead(const ConfigurationVersion &version, Common::Time now)
{
    impl_->configurationRead(version, now);
    return impl_->takeEffects();
}

Effects ClusterNode::configurationUnchanged(Common::Time now)
{
    impl_->configurationUnchanged(now);
    return impl_->takeEffects();
}

Effects ClusterNode::configurationReadFailed(Common::Time now)
{
    impl_->configurationReadFailed(now);
    return impl_->takeEffects();
}

Effects ClusterNode::configurationValidated(Common::ConfigurationNumber number,
                                            const Common::Result<void> &result, Common::Time now)
{
    impl_->configurationValidated(number, result, now);
    return impl_->takeEffects();
}

Effects ClusterNode::announceLeaving(Common::Time now)
{
    impl_->announceLeaving(now);
    return impl_->takeEffects();
}

void ClusterNode::setLocalLoad(const LoadSummary &load)
{
    impl_->localLoad = load;
}

Effects ClusterNode::publishNotice(const Notice &notice, Common::Time now)
{
    impl_->publishNotice(notice, now);
    return impl_->takeEffects();
}

const MemberInfo &ClusterNode::self() const
{
    return impl_->membership.self();
}

std::vector<MemberView> ClusterNode::members() const
{
    std::vector<MemberView> views = impl_->membership.views();
    for (MemberView &view : views) {
        view = impl_->preferListedAddresses(std::move(view));
    }
    return views;
}

std::optional<MemberView> ClusterNode::member(const Common::InstanceId &id) const
{
    auto view = impl_->membership.view(id);
    return view ? std::optional(impl_->preferListedAddresses(std::move(*view))) : std::nullopt;
}

std::optional<Common::Incarnation>
ClusterNode::newestIncarnation(const Common::InstanceId &id) const
{
    return impl_->newestIncarnation(id);
}

const ConfigurationVersion &ClusterNode::configuration() const
{
    return impl_->store.current();
}

bool ClusterNode::isWatcher() const
{
    return impl_->roles().watcher;
}

Common::InstanceId ClusterNode::orderer(std::string_view scope) const
{
    const auto chosen = chooseByRendezvous(impl_->membership.eligible(), scope, 1);
    return chosen.empty() ? Common::InstanceId() : chosen.front();
}

std::vector<RegionSummary> ClusterNode::regions() const
{
    return impl_->directory.summaries();
}

std::vector<Notice> ClusterNode::notices() const
{
    return impl_->notices.all(impl_->lastInput);
}

const ControlTraffic &ClusterNode::traffic() const
{
    return impl_->traffic;
}

nlohmann::json ClusterNode::dump() const
{
    return impl_->dump();
}

} // namespace LaburnumChute::Cluster
