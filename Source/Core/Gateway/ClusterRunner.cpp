#include "Gateway/ClusterRunner.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <random>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;

constexpr Common::LogType LogCategory = Common::LogType::Cluster;
constexpr Common::milliseconds PublishInterval{250};
constexpr Common::milliseconds SuspectNoticeLifetime{600000};
constexpr Common::milliseconds LeavingNoticeLifetime{60000};
constexpr double Percent = 100;

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::uint32_t roundedUp(double value)
{
    constexpr double Highest = std::numeric_limits<std::uint32_t>::max();
    // Rounds up, so that a small remaining capacity is not reported as zero.
    return static_cast<std::uint32_t>(std::ceil(std::clamp(value, 0.0, Highest)));
}

std::string formatDeaths(const D::SuspectNotice &notice)
{
    std::string text;
    for (const auto &endpoint : notice.deaths) {
        text += (text.empty() ? "" : " ") + endpoint.text();
    }
    return text;
}

std::optional<D::SuspectNotice> suspectOf(const Cluster::Notice &notice)
{
    D::SuspectNotice suspect;
    const auto *end = notice.subject.data() + notice.subject.size();
    const auto parsed = std::from_chars(notice.subject.data(), end, suspect.fingerprint, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    std::istringstream names(notice.detail);
    for (std::string name; names >> name;) {
        suspect.deaths.push_back(Common::EndpointId(name));
    }
    suspect.age = std::max(Common::milliseconds(0), SuspectNoticeLifetime - notice.lifetime);
    return suspect;
}

D::Target targetOf(const std::string &serviceName,
                   const Configuration::Configuration &configuration)
{
    if (configuration.service(Common::ServiceName(serviceName)) != nullptr) {
        return D::Target::service(Common::ServiceName(serviceName));
    }
    return D::Target::model(Common::ModelName(serviceName));
}

D::RegionSummary summaryOf(const Cluster::RegionSummary &region, const Cluster::ServiceLoad &load,
                           const Configuration::Configuration &configuration,
                           const Common::RegionName &home)
{
    D::RegionSummary summary;
    summary.region = region.region;
    summary.target = targetOf(load.name, configuration);
    summary.utilisation = load.utilisationPercent / Percent;
    summary.freeTokensPerSecond = load.freeTokensPerSecond;
    summary.prefillTokensPerSecond = load.prefillTokensPerSecond;
    summary.expectedWait = Common::milliseconds(load.expectedWaitMs);
    const auto *link = configuration.link(home, region.region);
    summary.reachable = link != nullptr && region.aliveMembers > 0;
    if (link != nullptr) {
        summary.linkDelay = link->oneWayDelay;
        summary.linkMegabitsPerSecond = link->megabitsPerSecond;
    }
    return summary;
}

} // namespace

ClusterRunner::ClusterRunner(asio::io_context &control, asio::io_context &channels,
                             ClusterRunnerOptions options, const Cluster::MemberInfo &self,
                             std::unique_ptr<Peers::GossipSocket> socket, RoutingTableCell &table,
                             Dispatcher &dispatcher, Common::MetricsRegistry &metrics)
    : control_(control)
    , channels_(channels)
    , options_(std::move(options))
    , node_(options_.cluster, self, randomSeed(), std::chrono::steady_clock::now())
    , socket_(std::move(socket))
    , table_(table)
    , dispatcher_(dispatcher)
    , configurationReader_(options_.configurationService)
    , listReader_(options_.instanceList, self.id)
    , configurationNumberGauge_(metrics.gauge("laburnumchute_configuration_number",
                                              "Number of the configuration in force"))
    , aliveMembers_(
          metrics.gauge("laburnumchute_members_alive", "Members of the region that are alive"))
    , invalidEndpoints_(metrics.gauge("laburnumchute_instance_list_invalid_endpoints",
                                      "Endpoints of the instance list that are left out"))
    , conflicts_(metrics.counter("laburnumchute_configuration_conflicts_total",
                                 "Second contents seen under a known number"))
{
}

void ClusterRunner::start(TableListener listener, SupersededListener superseded)
{
    tableListener_ = std::move(listener);
    supersededListener_ = std::move(superseded);
    asio::co_spawn(control_, socket_->run(), asio::detached);
    asio::co_spawn(control_, tickLoop(), asio::detached);
    asio::co_spawn(control_, listLoop(), asio::detached);
    asio::co_spawn(control_, publishLoop(), asio::detached);
}

void ClusterRunner::receive(const Cluster::Address &from, const Cluster::GossipMessage &message)
{
    execute(node_.receive(from, message, std::chrono::steady_clock::now()));
}

void ClusterRunner::announceLeaving()
{
    leaving_ = true;
    execute(node_.announceLeaving(std::chrono::steady_clock::now()));
    publishTable();
}

asio::awaitable<void> ClusterRunner::tickLoop()
{
    while (true) {
        execute(node_.tick(std::chrono::steady_clock::now(), std::chrono::system_clock::now()));
        co_await Async::sleepFor(options_.cluster.tickInterval);
    }
}

asio::awaitable<void> ClusterRunner::listLoop()
{
    while (true) {
        const auto list = co_await listReader_.read();
        if (list) {
            applyInstanceList(*list);
        } else {
            Common::log(Common::LogType::Platform, Common::LogLevel::Warning,
                        "cannot read the instance list: {}", list.error().message);
        }
        co_await Async::sleepFor(options_.instanceListInterval);
    }
}

asio::awaitable<void> ClusterRunner::publishLoop()
{
    while (true) {
        co_await Async::sleepFor(PublishInterval);
        publishLoadReport();
        publishSuspects();
    }
}

void ClusterRunner::applyInstanceList(const Readers::InstanceList &list)
{
    if (list.invalidEndpoints != instanceList_.invalidEndpoints) {
        logInvalidEndpoints(list);
    }
    instanceList_ = list;
    std::vector<Cluster::Seed> seeds;
    for (const auto &listed : list.instances) {
        Cluster::Seed seed;
        seed.id = listed.id;
        seed.region = listed.region;
        seed.failureDomain = listed.failureDomain;
        seed.httpAddress = Cluster::Address(listed.http);
        seed.gossipAddress = Cluster::Address(listed.gossip);
        seed.channelAddress = Cluster::Address(listed.channel);
        seed.leaving = listed.leaving;
        seeds.push_back(std::move(seed));
    }
    execute(node_.updateSeeds(seeds, std::chrono::steady_clock::now()));
    for (const auto &endpoint : list.endpoints) {
        if (!endpoint.leaving || !leavingEndpoints_.insert(endpoint.id).second) {
            continue;
        }
        // Each instance sees list updates with a different delay; the notice informs the slow ones.
        Cluster::Notice notice;
        notice.kind = Cluster::NoticeKind::EndpointLeaving;
        notice.subject = endpoint.id.text();
        notice.version = 1;
        notice.lifetime = LeavingNoticeLifetime;
        execute(node_.publishNotice(notice, std::chrono::steady_clock::now()));
    }
    updateEndpoints();
    publishTable();
}

void ClusterRunner::logInvalidEndpoints(const Readers::InstanceList &list)
{
    invalidEndpoints_.set(static_cast<double>(list.invalidEndpoints.size()));
    for (const auto &error : list.invalidEndpoints) {
        Common::log(Common::LogType::Platform, Common::LogLevel::Warning,
                    "an endpoint is left out: {}", error);
    }
    if (list.invalidEndpoints.empty()) {
        Common::log(Common::LogType::Platform, Common::LogLevel::Info,
                    "the instance list has no invalid endpoints any more");
    }
}

void ClusterRunner::updateEndpoints()
{
    std::vector<D::EndpointFacts> facts;
    for (const auto &listed : instanceList_.endpoints) {
        D::EndpointFacts endpoint;
        endpoint.id = listed.id;
        endpoint.region = listed.region;
        endpoint.failureDomain = listed.failureDomain;
        endpoint.leaving = listed.leaving || leavingEndpoints_.count(listed.id) > 0;
        if (listed.kind == Readers::EndpointKind::Service) {
            endpoint.targets = {D::Target::service(Common::ServiceName(listed.name))};
        } else {
            const Common::ModelName name(listed.name);
            endpoint.targets = {D::Target::model(name)};
            const auto *model = configuration_ ? configuration_->model(name) : nullptr;
            endpoint.adapters =
                model != nullptr ? model->adapters : std::vector<Common::AdapterName>();
        }
        facts.push_back(std::move(endpoint));
    }
    dispatcher_.command([facts = std::move(facts)](D::Scheduler &scheduler, Common::Time now) {
        return scheduler.updateEndpoints(facts, now);
    });
}

void ClusterRunner::publishLoadReport()
{
    const auto now = std::chrono::steady_clock::now();
    Cluster::LoadSummary local;
    for (const auto &summary : dispatcher_.scheduler().regionSummary(now)) {
        Cluster::ServiceLoad load;
        load.name = summary.target.name;
        load.freeTokensPerSecond = roundedUp(summary.freeTokensPerSecond);
        load.expectedWaitMs = roundedUp(Common::toSeconds(summary.expectedWait) * 1000);
        load.prefillTokensPerSecond = roundedUp(summary.prefillTokensPerSecond);
        load.utilisationPercent = roundedUp(summary.utilisation * Percent);
        local.push_back(std::move(load));
    }
    node_.setLocalLoad(local);
    if (!configuration_) {
        return;
    }
    std::vector<D::RegionSummary> regions;
    const auto &home = node_.self().region;
    for (const auto &region : node_.regions()) {
        if (region.region == home) {
            continue;
        }
        for (const auto &load : region.load) {
            regions.push_back(summaryOf(region, load, *configuration_, home));
        }
    }
    dispatcher_.command([regions = std::move(regions)](D::Scheduler &scheduler, Common::Time at) {
        return scheduler.updateRegions(regions, at);
    });
}

void ClusterRunner::publishSuspects()
{
    const auto now = std::chrono::steady_clock::now();
    for (const auto &suspect : dispatcher_.scheduler().suspectNotices(now)) {
        auto &published = publishedDeathCounts_[suspect.fingerprint];
        if (suspect.deaths.size() <= published) {
            continue;
        }
        published = suspect.deaths.size();
        Cluster::Notice notice;
        notice.kind = Cluster::NoticeKind::SuspectedPoison;
        notice.subject = fmt::format("{:016x}", suspect.fingerprint);
        notice.detail = formatDeaths(suspect);
        notice.version = published;
        notice.lifetime = SuspectNoticeLifetime;
        execute(node_.publishNotice(notice, now));
    }
}

asio::awaitable<void> ClusterRunner::readConfiguration(std::uint64_t generation,
                                                       Common::ConfigurationNumber after,
                                                       Common::milliseconds wait)
{
    const auto answer = co_await configurationReader_.read(after, wait);
    if (generation != readGeneration_) {
        co_return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (!answer) {
        Common::log(Common::LogType::Platform, Common::LogLevel::Warning,
                    "cannot read the configuration: {}", answer.error().message);
        execute(node_.configurationReadFailed(now));
    } else if (!*answer) {
        execute(node_.configurationUnchanged(now));
    } else {
        execute(node_.configurationRead({(*answer)->number, (*answer)->content}, now));
    }
}

void ClusterRunner::execute(const Cluster::Effects &effects)
{
    for (const auto &effect : effects) {
        std::visit([this](const auto &each) { execute(each); }, effect);
    }
}

void ClusterRunner::execute(const Cluster::SendGossip &effect)
{
    socket_->send(effect);
}

void ClusterRunner::execute(const Cluster::MemberChanged &effect)
{
    Common::log(LogCategory, Common::LogLevel::Info, "member {} is {}", effect.member.info.id,
                Cluster::toString(effect.member.state));
    publishTable();
}

void ClusterRunner::execute(const Cluster::SelfSuperseded &effect)
{
    Common::log(LogCategory, Common::LogLevel::Error,
                "incarnation {} of this instance's id lives elsewhere; this one leaves", effect.by);
    supersededListener_();
}

void ClusterRunner::execute(const Cluster::ResumedAfterPause &effect)
{
    Common::log(LogCategory, Common::LogLevel::Warning, "this process was paused for {} ms",
                effect.pause.count());
}

void ClusterRunner::execute(const Cluster::ValidateConfiguration &effect)
{
    const auto parsed = Configuration::parse(effect.content);
    const auto now = std::chrono::steady_clock::now();
    if (!parsed) {
        execute(node_.configurationValidated(effect.number, tl::unexpected(parsed.error()), now));
        return;
    }
    validated_ = {effect.number, *parsed};
    execute(node_.configurationValidated(effect.number, {}, now));
}

void ClusterRunner::execute(const Cluster::ConfigurationAdopted &effect)
{
    if (validated_.number != effect.number) {
        const auto parsed = Configuration::parse(effect.content);
        validated_ = {effect.number, parsed ? *parsed : configuration_};
    }
    configuration_ = validated_.configuration;
    activeConfigurationNumber_ = effect.number;
    configurationNumberGauge_.set(static_cast<double>(activeConfigurationNumber_));
    Common::log(Common::LogType::Configuration, Common::LogLevel::Info, "version {} is in force",
                activeConfigurationNumber_);
    updateLimits();
    updateEndpoints();
    publishTable();
}

void ClusterRunner::execute(const Cluster::ConfigurationRejected &effect)
{
    lastRejection_ = fmt::format("version {}: {}", effect.number, effect.reason);
    Common::log(Common::LogType::Configuration, Common::LogLevel::Error,
                "version {} is invalid and was not applied: {}", effect.number, effect.reason);
}

void ClusterRunner::execute(const Cluster::ConfigurationConflict &effect)
{
    conflicts_.add();
    Common::log(Common::LogType::Configuration, Common::LogLevel::Error,
                "two contents under number {}: kept {:016x}, other {:016x} from {}", effect.number,
                effect.keptHash, effect.otherHash,
                effect.holder.empty() ? "the service" : effect.holder.text());
}

void ClusterRunner::execute(const Cluster::ReadConfiguration &effect)
{
    ++readGeneration_;
    asio::co_spawn(control_, readConfiguration(readGeneration_, effect.afterNumber, effect.wait),
                   asio::detached);
}

void ClusterRunner::execute(const Cluster::StopReadingConfiguration &)
{
    ++readGeneration_;
}

void ClusterRunner::execute(const Cluster::NoticeReceived &effect)
{
    const auto &notice = effect.notice;
    if (notice.kind == Cluster::NoticeKind::SuspectedPoison) {
        if (const auto suspect = suspectOf(notice)) {
            auto &published = publishedDeathCounts_[suspect->fingerprint];
            published = std::max(published, suspect->deaths.size());
            dispatcher_.scheduler().mergeSuspects({*suspect}, std::chrono::steady_clock::now());
        }
    } else if (notice.kind == Cluster::NoticeKind::EndpointLeaving && notice.active) {
        if (leavingEndpoints_.insert(Common::EndpointId(notice.subject)).second) {
            updateEndpoints();
        }
    }
}

void ClusterRunner::execute(const Cluster::RegionChanged &)
{
    publishTable();
}

void ClusterRunner::updateLimits()
{
    std::vector<D::CustomerLimit> limits;
    for (const auto &entry : configuration_->tables().customers) {
        const auto &customer = entry.second;
        const auto *priority = configuration_->priority(customer.highestPriority);
        limits.push_back(
            {customer.name, customer.share, priority != nullptr ? priority->level : 0});
    }
    dispatcher_.command([limits = std::move(limits)](D::Scheduler &scheduler, Common::Time now) {
        return scheduler.updateLimits(limits, now);
    });
}

std::shared_ptr<Peers::ChannelClient> ClusterRunner::channelTo(const Common::InstanceId &id,
                                                               const std::string &address)
{
    auto &client = channelClients_[id];
    auto &knownAddress = channelAddresses_[id];
    if (!client) {
        const Peers::Hello self{node_.self().id, node_.self().incarnation};
        client = std::make_shared<Peers::ChannelClient>(channels_, options_.channel, self,
                                                        Peers::PeerAddress{id, address});
    } else if (knownAddress != address) {
        client->setAddress(address);
    }
    knownAddress = address;
    return client;
}

void ClusterRunner::addPeer(RoutingTable &table, const Cluster::MemberInfo &info, bool usable)
{
    PeerEntry peer;
    peer.id = info.id;
    peer.region = info.region;
    peer.incarnation = std::max(info.incarnation, node_.newestIncarnation(info.id).value_or(0));
    peer.httpAddress = info.httpAddress.text();
    peer.usable = usable;
    if (info.id != node_.self().id && !info.channelAddress.empty()) {
        peer.channel = channelTo(info.id, info.channelAddress.text());
    }
    table.peers[info.id] = std::move(peer);
}

void ClusterRunner::publishTable()
{
    auto table = std::make_shared<RoutingTable>();
    table->configurationNumber = activeConfigurationNumber_;
    table->configuration = configuration_;
    for (const auto &listed : instanceList_.endpoints) {
        table->endpoints[listed.id] = {listed.id, listed.region, listed.http};
    }
    for (const auto &region : node_.regions()) {
        for (const auto &contact : region.contacts) {
            addPeer(*table, contact, region.aliveMembers > 0);
        }
    }
    std::size_t alive = 0;
    std::vector<Common::InstanceId> serving;
    for (const auto &member : node_.members()) {
        const bool usable = member.state == Cluster::MemberState::Alive
                            || member.state == Cluster::MemberState::Suspect;
        alive += member.state == Cluster::MemberState::Alive ? 1 : 0;
        const bool self = member.info.id == node_.self().id;
        addPeer(*table, member.info, usable && !(leaving_ && self));
        table->peers[member.info.id].dead = member.state == Cluster::MemberState::Dead;
        if (usable) {
            serving.push_back(member.info.id);
        }
    }
    for (const auto &listed : instanceList_.instances) {
        if (table->peers.count(listed.id) > 0) {
            continue;
        }
        // Listed, but not seen in gossip yet: it may own idempotency keys, but gets no new
        // requests.
        Cluster::MemberInfo info;
        info.id = listed.id;
        info.region = listed.region;
        info.httpAddress = Cluster::Address(listed.http);
        info.channelAddress = Cluster::Address(listed.channel);
        addPeer(*table, info, false);
    }
    aliveMembers_.set(static_cast<double>(alive));
    dispatcher_.command([serving](D::Scheduler &scheduler, Common::Time now) {
        return scheduler.updateInstances(serving, now);
    });
    const std::shared_ptr<const RoutingTable> published = table;
    table_.publish(published);
    if (tableListener_) {
        tableListener_(*published);
    }
}

nlohmann::json ClusterRunner::dump() const
{
    return {{"cluster", node_.dump()},
            {"configuration_number", activeConfigurationNumber_},
            {"last_rejection", lastRejection_},
            {"leaving", leaving_},
            {"instance_list",
             {{"instances", instanceList_.instances.size()},
              {"endpoints", instanceList_.endpoints.size()}}}};
}

} // namespace LaburnumChute::Gateway
