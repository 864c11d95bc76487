#include "Relay/RelayGateway.h"

#include <algorithm>

#include "Peers/ValueCodec.h"
#include "Relay/GossipMessage.h"
#include "Relay/Statuses.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

// Customers.

bool RelayGateway::isConfigurationCurrent(Common::Time now) const
{
    const bool peerHasNewer =
        std::any_of(knownPeers_.begin(), knownPeers_.end(), [this](const Fleet::Peer &peer) {
            return peer.reachable && peer.record.configuration > catalog_.version();
        });
    return isCatalogFresh(now) && !peerHasNewer;
}

bool RelayGateway::keysOutdated(Common::Time now) const
{
    const auto &bound = settings_.bounds.keyRemoval;
    if (!bound) {
        return false;
    }
    const auto age = catalogAge(now);
    return !age || *age >= *bound;
}

bool RelayGateway::admitUsage(const Connection &connection, const std::string &requestId,
                              const Customers::Customer &customer, double usage, Common::Time now)
{
    const auto verdict = limiter_.admit(customer.name, usage, now);
    if (verdict.admitted) {
        customerMetrics_.countAdmitted(customer.name);
        return true;
    }
    customerMetrics_.countOverLimit(customer.name);
    const auto rate = [](double perSecond) { return static_cast<std::int64_t>(perSecond); };
    const auto retryAfter = std::chrono::duration_cast<Common::milliseconds>(verdict.retryAfter);
    EventLine line("over-limit");
    line.add("request", requestId)
        .add("customer", customer.name)
        .add("usage", rate(usage))
        .add("limit", rate(verdict.limit))
        .add("remaining", rate(verdict.remaining))
        .add("own_rate", rate(verdict.ownRate))
        .add("others_rate", rate(verdict.othersRate))
        .add("retry_after", verdict.retryAfter);
    log_.write(line, now);
    auto headers = Platform::ownAnswerHeaders(requestId, retryAfter);
    headers.push_back({"Content-Type", "text/plain"});
    connection->respond(TooManyRequests, std::move(headers), "the usage limit is exceeded");
    return false;
}

void RelayGateway::refundUsage(const RelayPlan &plan, Common::Time now)
{
    if (plan.fromPeer || plan.customer.empty()) {
        return;
    }
    limiter_.refund(plan.customer, plan.usage, now);
    customerMetrics_.countRefunded(plan.customer);
}

bool RelayGateway::hasCustomers() const
{
    const auto routes = catalog_.routes();
    return routes && !routes->configuration().customers->empty();
}

void RelayGateway::applyLimits(Common::Time now)
{
    limiter_.setBounds(settings_.bounds.usageWindow, settings_.bounds.usageSlack);
    if (const auto routes = catalog_.routes()) {
        limiter_.setCustomers(routes->configuration().customers->customers(), now);
    }
}

/// Heartbeats reach only a part of a large region in each round. Near a limit, every instance of
/// the region has to know the usage of the others.
void RelayGateway::sendUsageNotices(Common::Time now)
{
    const auto peers =
        std::count_if(knownPeers_.begin(), knownPeers_.end(), [this](const Fleet::Peer &peer) {
            return peer.alive && peer.record.region == settings_.region;
        });
    const bool heartbeatsReachAll = static_cast<std::size_t>(peers) <= options_.roster.fanout;
    if (!heartbeatsReachAll && limiter_.nearLimit(now)) {
        sendToOwnRegion(UsageNotice{settings_.instance, limiter_.instanceReport(now)});
    }
}

void RelayGateway::updateCustomerUsage(Common::Time now)
{
    if (!hasCustomers()) {
        return;
    }
    sendUsageNotices(now);
    customerMetrics_.update(catalog_.routes()->configuration().customers->customers(), limiter_,
                            now);
}

nlohmann::json RelayGateway::dumpCustomers(Common::Time now) const
{
    auto customers = nlohmann::json::array();
    if (!hasCustomers()) {
        return customers;
    }
    for (const auto &customer : catalog_.routes()->configuration().customers->customers()) {
        nlohmann::json entry = {{"name", customer.name.text()}, {"keys", customer.keys.size()}};
        if (const auto status = limiter_.status(customer.name, now)) {
            entry["limit"] = status->limit;
            entry["remaining"] = status->remaining;
            entry["own_rate"] = status->ownRate;
            entry["others_rate"] = status->othersRate;
        }
        customers.push_back(std::move(entry));
    }
    return customers;
}

} // namespace LaburnumChute::Relay
