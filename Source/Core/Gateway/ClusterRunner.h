#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Async/Async.h"
#include "Cluster/Cluster.h"
#include "Common/Common.h"
#include "Configuration/Configuration.h"
#include "Gateway/Dispatcher.h"
#include "Gateway/RoutingTable.h"
#include "Peers/Peers.h"
#include "Readers/Readers.h"

namespace LaburnumChute::Gateway {

struct ClusterRunnerOptions
{
    std::string configurationService;
    std::string instanceList;
    Common::milliseconds instanceListInterval{1000};
    Cluster::ClusterOptions cluster;
    Peers::ChannelOptions channel;
};

/// Runs the cluster protocol of the instance: gossip, reading the platform services, and building
/// the routing table from both. Runs on the control context.
class ClusterRunner
{
public:
    /// Called after each update of the routing table.
    using TableListener = std::function<void(const RoutingTable &)>;
    /// Called when another process runs under this instance's id.
    using SupersededListener = std::function<void()>;

    ClusterRunner(asio::io_context &control, asio::io_context &channels,
                  ClusterRunnerOptions options, const Cluster::MemberInfo &self,
                  std::unique_ptr<Peers::GossipSocket> socket, RoutingTableCell &table,
                  Dispatcher &dispatcher, Common::MetricsRegistry &metrics);

    void start(TableListener listener, SupersededListener superseded);
    void receive(const Cluster::Address &from, const Cluster::GossipMessage &message);
    /// Announces to all other instances that this instance is leaving.
    void announceLeaving();

    /// Only from the control context.
    const Cluster::ClusterNode &node() const
    {
        return node_;
    }
    const std::vector<Readers::ListedEndpoint> &listedEndpoints() const
    {
        return instanceList_.endpoints;
    }
    nlohmann::json dump() const;

private:
    struct ValidatedConfiguration
    {
        Common::ConfigurationNumber number = 0;
        std::shared_ptr<const Configuration::Configuration> configuration;
    };

    asio::awaitable<void> tickLoop();
    asio::awaitable<void> listLoop();
    asio::awaitable<void> publishLoop();
    asio::awaitable<void> readConfiguration(std::uint64_t generation,
                                            Common::ConfigurationNumber after,
                                            Common::milliseconds wait);

    void execute(const Cluster::Effects &effects);
    void execute(const Cluster::SendGossip &effect);
    void execute(const Cluster::MemberChanged &effect);
    void execute(const Cluster::SelfSuperseded &effect);
    void execute(const Cluster::ResumedAfterPause &effect);
    void execute(const Cluster::ValidateConfiguration &effect);
    void execute(const Cluster::ConfigurationAdopted &effect);
    void execute(const Cluster::ConfigurationRejected &effect);
    void execute(const Cluster::ConfigurationConflict &effect);
    void execute(const Cluster::ReadConfiguration &effect);
    void execute(const Cluster::StopReadingConfiguration &effect);
    void execute(const Cluster::NoticeReceived &effect);
    void execute(const Cluster::RegionChanged &effect);

    void applyInstanceList(const Readers::InstanceList &list);
    void logInvalidEndpoints(const Readers::InstanceList &list);
    void updateEndpoints();
    void publishLoadReport();
    void publishSuspects();
    void publishTable();
    void addPeer(RoutingTable &table, const Cluster::MemberInfo &info, bool usable);
    std::shared_ptr<Peers::ChannelClient> channelTo(const Common::InstanceId &id,
                                                    const std::string &address);
    void updateLimits();

    asio::io_context &control_;
    asio::io_context &channels_;
    ClusterRunnerOptions options_;
    Cluster::ClusterNode node_;
    std::unique_ptr<Peers::GossipSocket> socket_;
    RoutingTableCell &table_;
    Dispatcher &dispatcher_;
    Readers::ConfigurationReader configurationReader_;
    Readers::InstanceListReader listReader_;
    TableListener tableListener_;
    SupersededListener supersededListener_;
    Readers::InstanceList instanceList_;
    std::shared_ptr<const Configuration::Configuration> configuration_;
    Common::ConfigurationNumber activeConfigurationNumber_ = 0;
    ValidatedConfiguration validated_;
    std::map<Common::InstanceId, std::shared_ptr<Peers::ChannelClient>> channelClients_;
    std::map<Common::InstanceId, std::string> channelAddresses_;
    std::map<std::uint64_t, std::size_t> publishedDeathCounts_;
    std::set<Common::EndpointId> leavingEndpoints_;
    std::uint64_t readGeneration_ = 0;
    bool leaving_ = false;
    std::string lastRejection_;
    Common::Gauge &configurationNumberGauge_;
    Common::Gauge &aliveMembers_;
    Common::Gauge &invalidEndpoints_;
    Common::Counter &conflicts_;
};

} // namespace LaburnumChute::Gateway
