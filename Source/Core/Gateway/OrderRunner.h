#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "Cluster/Cluster.h"
#include "Common/Common.h"
#include "Gateway/ClusterRunner.h"
#include "Gateway/RoutingTable.h"
#include "Readers/Readers.h"

namespace LaburnumChute::Gateway {

/// Carries out what the OrderCoordinator decides: reads the states of the region's engines and
/// gives them orders, on the one instance that the cluster names. Lives on the control context.
class OrderRunner
{
public:
    /// Without a weight store no loads are given.
    OrderRunner(asio::io_context &control, const std::string &weightStore,
                const ClusterRunner &cluster, const RoutingTableCell &table,
                Common::MetricsRegistry &metrics, const Cluster::OrderOptions &options = {});

    void start();
    nlohmann::json dump() const;

private:
    struct Target
    {
        std::string address;
        Common::ModelName model;
    };

    asio::awaitable<void> loop();
    asio::awaitable<void> limitsLoop();
    asio::awaitable<void> readState(Common::EndpointId endpoint, Target target);
    asio::awaitable<void> give(Cluster::SendOrder order, Target target);
    void updateDesired();
    void carryOut(const Cluster::OrderEffects &effects);
    Target targetOf(const Common::EndpointId &endpoint) const;

    asio::io_context &control_;
    bool hasStore_;
    Readers::WeightStoreReader store_;
    const ClusterRunner &cluster_;
    const RoutingTableCell &table_;
    Cluster::OrderCoordinator coordinator_;
    std::map<Common::EndpointId, Target> targets_;
    std::string desiredText_;
    Common::Gauge &deviating_;
    Common::Counter &ordersGiven_;
    Common::Counter &foreignOrders_;
};

} // namespace LaburnumChute::Gateway
