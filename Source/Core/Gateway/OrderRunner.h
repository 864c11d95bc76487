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

/// Executes the decisions of the OrderCoordinator on the instance that the cluster chooses as the
/// region's orderer: reads the states of the engines and sends them orders. Runs on the control
/// context.
class OrderRunner
{
public:
    /// Without a weight store, no load orders are sent.
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

    asio::awaitable<void> coordinationLoop();
    asio::awaitable<void> limitsLoop();
    asio::awaitable<void> readState(Common::EndpointId endpoint, Target target);
    asio::awaitable<void> sendOrder(Cluster::SendOrder order, Target target);
    void updateDesired();
    void execute(const Cluster::OrderEffects &effects);
    Target targetOf(const Common::EndpointId &endpoint) const;

    asio::io_context &control_;
    bool hasWeightStore_;
    Readers::WeightStoreReader weightStore_;
    const ClusterRunner &cluster_;
    const RoutingTableCell &table_;
    Cluster::OrderCoordinator coordinator_;
    std::map<Common::EndpointId, Target> targets_;
    std::string desiredSignature_;
    Common::Gauge &deviating_;
    Common::Counter &ordersSent_;
    Common::Counter &foreignOrders_;
};

} // namespace LaburnumChute::Gateway
