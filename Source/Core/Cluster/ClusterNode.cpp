#include "Cluster/ClusterNode.h"

#include <algorithm>
#include <map>

#include "Cluster/Codec.h"
#include "Common/Hash.h"

namespace LaburnumChute::Cluster {

namespace {

constexpr Common::milliseconds SilenceUntilDead{4000};

} // namespace

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    }
    return "dead";
}

/// For the present a plain heartbeat: every member of the region is pinged once a second.
class ClusterNode::Parts
{
public:
    struct Member
    {
        MemberView view;
        Common::Time heard;
    };

    ClusterOptions options;
    MemberInfo self;
    bool leaving = false;
    std::map<Common::InstanceId, Seed> seeds;
    std::map<Common::InstanceId, Member> members;
    ConfigurationVersion configuration;
    ConfigurationVersion candidate;
    bool reading = false;
    Common::Time nextRound;
    Common::Time nextRead;
    ControlTraffic traffic;

    void send(const Address &to, GossipBody body, Effects &effects)
    {
        GossipMessage message;
        message.sender = self.id;
        message.incarnation = self.incarnation;
        message.region = self.region;
        MemberClaim claim{self.id, self.incarnation, 0, Health::Alive, leaving, self};
        message.claims.push_back(claim);
        message.body = std::move(body);
        ++traffic.messagesSent;
        traffic.bytesSent += encode(message).size();
        effects.push_back(SendGossip{to, std::move(message)});
    }

    MemberView selfView() const
    {
        return {self, leaving ? MemberState::Leaving : MemberState::Alive};
    }
};

ClusterNode::ClusterNode(const ClusterOptions &options, MemberInfo self, std::uint64_t,
                         Common::Time now)
    : parts_(std::make_unique<Parts>())
{
    parts_->options = options;
    parts_->self = std::move(self);
    parts_->nextRound = now;
    parts_->nextRead = now;
}

ClusterNode::~ClusterNode() = default;
ClusterNode::ClusterNode(ClusterNode &&) noexcept = default;
ClusterNode &ClusterNode::operator=(ClusterNode &&) noexcept = default;

Effects ClusterNode::receive(const Address &from, const GossipMessage &message, Common::Time now)
{
    Effects effects;
    ++parts_->traffic.messagesReceived;
    for (const MemberClaim &claim : message.claims) {
        if (!claim.info || claim.id == parts_->self.id
            || claim.info->region != parts_->self.region) {
            continue;
        }
        const auto state = claim.leaving ? MemberState::Leaving : MemberState::Alive;
        auto [it, added] = parts_->members.try_emplace(claim.id);
        const bool changed = added || it->second.view.state != state;
        it->second = {{*claim.info, state}, now};
        if (changed) {
            effects.push_back(MemberChanged{it->second.view});
        }
    }
    if (const auto *ping = std::get_if<Ping>(&message.body)) {
        parts_->send(from, Ack{ping->sequence}, effects);
    }
    return effects;
}

Effects ClusterNode::tick(Common::Time now, Common::WallTime)
{
    Effects effects;
    if (now >= parts_->nextRead && !parts_->reading) {
        parts_->reading = true;
        effects.push_back(
            ReadConfiguration{parts_->configuration.number, parts_->options.watchWait});
    }
    if (now < parts_->nextRound) {
        return effects;
    }
    parts_->nextRound = now + Common::seconds(1);
    for (const auto &[id, seed] : parts_->seeds) {
        if (id != parts_->self.id && seed.region == parts_->self.region) {
            parts_->send(seed.gossipAddress, Ping{}, effects);
        }
    }
    for (auto &[id, member] : parts_->members) {
        const bool silent = now - member.heard > SilenceUntilDead;
        if (silent && member.view.state != MemberState::Dead) {
            member.view.state = MemberState::Dead;
            effects.push_back(MemberChanged{member.view});
        }
    }
    return effects;
}

Effects ClusterNode::updateSeeds(const std::vector<Seed> &seeds, Common::Time)
{
    parts_->seeds.clear();
    for (const Seed &seed : seeds) {
        parts_->seeds.emplace(seed.id, seed);
    }
    return {};
}

Effects ClusterNode::configurationRead(const ConfigurationVersion &version, Common::Time)
{
    parts_->reading = false;
    if (version.number <= parts_->configuration.number) {
        return {};
    }
    parts_->candidate = version;
    return {ValidateConfiguration{version.number, version.content}};
}

Effects ClusterNode::configurationUnchanged(Common::Time)
{
    parts_->reading = false;
    return {};
}

Effects ClusterNode::configurationReadFailed(Common::Time now)
{
    parts_->reading = false;
    parts_->nextRead = now + parts_->options.watchRetry;
    return {};
}

Effects ClusterNode::configurationJudged(Common::ConfigurationNumber number,
                                         const Common::Result<void> &verdict, Common::Time)
{
    if (parts_->candidate.number != number) {
        return {};
    }
    if (!verdict) {
        return {ConfigurationRejected{number, verdict.error().message}};
    }
    parts_->configuration = parts_->candidate;
    return {ConfigurationAdopted{number, parts_->configuration.content}};
}

Effects ClusterNode::announceLeaving(Common::Time)
{
    Effects effects;
    parts_->leaving = true;
    for (const auto &[id, member] : parts_->members) {
        parts_->send(member.view.info.gossipAddress, Carrier{}, effects);
    }
    return effects;
}

void ClusterNode::setLocalLoad(const LoadSummary &) { }

Effects ClusterNode::publishNotice(const Notice &, Common::Time)
{
    return {};
}

const MemberInfo &ClusterNode::self() const
{
    return parts_->self;
}

std::vector<MemberView> ClusterNode::members() const
{
    std::vector<MemberView> views{parts_->selfView()};
    for (const auto &[id, member] : parts_->members) {
        views.push_back(member.view);
    }
    return views;
}

std::optional<MemberView> ClusterNode::member(const Common::InstanceId &id) const
{
    if (id == parts_->self.id) {
        return parts_->selfView();
    }
    const auto it = parts_->members.find(id);
    return it == parts_->members.end() ? std::nullopt : std::optional(it->second.view);
}

std::optional<Common::Incarnation>
ClusterNode::newestIncarnation(const Common::InstanceId &id) const
{
    const auto view = member(id);
    return view ? std::optional(view->info.incarnation) : std::nullopt;
}

const ConfigurationVersion &ClusterNode::configuration() const
{
    return parts_->configuration;
}

bool ClusterNode::isWatcher() const
{
    return true;
}

Common::InstanceId ClusterNode::orderer(std::string_view scope) const
{
    Common::InstanceId best = parts_->self.id;
    for (const MemberView &view : members()) {
        const bool higher = Common::rendezvousWeight(scope, view.info.id.text())
                            > Common::rendezvousWeight(scope, best.text());
        if (view.state == MemberState::Alive && higher) {
            best = view.info.id;
        }
    }
    return best;
}

std::vector<RegionSummary> ClusterNode::regions() const
{
    return {};
}

std::vector<Notice> ClusterNode::notices() const
{
    return {};
}

const ControlTraffic &ClusterNode::traffic() const
{
    return parts_->traffic;
}

nlohmann::json ClusterNode::dump() const
{
    nlohmann::json result;
    result["self"] = parts_->self.id.text();
    result["configuration_number"] = parts_->configuration.number;
    for (const MemberView &view : members()) {
        result["members"][view.info.id.text()] = std::string(toString(view.state));
    }
    return result;
}

} // namespace LaburnumChute::Cluster
