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

/// Runs the instance's part in the cluster: gossip, reading of the platform, and the routing table
/// made of both. All of it on the control context.
class ClusterRunner
{
public:
    /// Told after each new routing table.
    using TableListener = std::function<void(const RoutingTable &)>;
    /// Told when another process lives under this instance's id.
    using SupersededListener = std::function<void()>;

    ClusterRunner(asio::io_context &control, asio::io_context &channels,
                  ClusterRunnerOptions options, const Cluster::MemberInfo &self,
                  std::unique_ptr<Peers::GossipSocket> socket, RoutingTableCell &table,
                  Dispatcher &dispatcher, Common::MetricsRegistry &metrics);

    void start(TableListener listener, SupersededListener superseded);
    void receive(const Cluster::Address &from, const Cluster::GossipMessage &message);
    /// Tells all others that this instance leaves.
    void announceLeaving();

    /// Only from the control context.
    const Cluster::ClusterNode &node() const
    {
        return node_;
    }
    const std::vector<Readers::ListedEndpoint> &listedEndpoints() const
    {
        return list_.endpoints;
    }
    nlohmann::json dump() const;

private:
    struct Validated
    {
        Common::ConfigurationNumber number = 0;
        std::shared_ptr<const Configuration::Configuration> configuration;
    };

    asio::awaitable<void> tickLoop();
    asio::awaitable<void> listLoop();
    asio::awaitable<void> exchangeLoop();
    asio::awaitable<void> readConfiguration(std::uint64_t generation,
                                            Common::ConfigurationNumber after,
                                            Common::milliseconds wait);

    void carryOut(const Cluster::Effects &effects);
    void carryOut(const Cluster::SendGossip &effect);
    void carryOut(const Cluster::MemberChanged &effect);
    void carryOut(const Cluster::SelfSuperseded &effect);
    void carryOut(const Cluster::ResumedAfterPause &effect);
    void carryOut(const Cluster::ValidateConfiguration &effect);
    void carryOut(const Cluster::ConfigurationAdopted &effect);
    void carryOut(const Cluster::ConfigurationRejected &effect);
    void carryOut(const Cluster::ConfigurationConflict &effect);
    void carryOut(const Cluster::ReadConfiguration &effect);
    void carryOut(const Cluster::StopReadingConfiguration &effect);
    void carryOut(const Cluster::NoticeReceived &effect);
    void carryOut(const Cluster::RegionChanged &effect);

    void takeList(const Readers::InstanceList &list);
    void updateEndpoints();
    void shareLoad();
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
    TableListener listener_;
    SupersededListener superseded_;
    Readers::InstanceList list_;
    std::shared_ptr<const Configuration::Configuration> configuration_;
    Common::ConfigurationNumber number_ = 0;
    Validated validated_;
    std::map<Common::InstanceId, std::shared_ptr<Peers::ChannelClient>> channelClients_;
    std::map<Common::InstanceId, std::string> channelAddresses_;
    std::map<std::uint64_t, std::size_t> publishedDeaths_;
    std::set<Common::EndpointId> leavingEndpoints_;
    std::uint64_t readGeneration_ = 0;
    bool leaving_ = false;
    std::string lastRejection_;
    Common::Gauge &configurationNumber_;
    Common::Gauge &aliveMembers_;
    Common::Counter &conflicts_;
};

} // namespace LaburnumChute::Gateway
