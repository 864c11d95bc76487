#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Dispatch/Dispatch.h"
#include "Fleet/Fleet.h"

namespace LaburnumChute::Relay {

using Common::Duration;
using Common::milliseconds;
using Common::seconds;
using Common::Time;

/// Instances that learn of each other by gossip and retry failed requests, on a simulated clock and
/// network. Nearly all answers of the endpoints are errors.
class SimulatedInstances
{
public:
    /// Whether a datagram is lost on its way.
    using DropRule = std::function<bool(std::size_t from, std::size_t to)>;

    static constexpr std::size_t Regions = 3;
    static constexpr milliseconds Step{50};
    static constexpr milliseconds MaxLatency{60};

    /// @param requestsPerSecond of all instances together
    SimulatedInstances(std::size_t count, double requestsPerSecond, const Catalog::Bounds &bounds)
        : bounds_(bounds)
        , requestsPerStep_(requestsPerSecond * std::chrono::duration<double>(Step).count()
                           / static_cast<double>(count))
        , nodes_(count)
    {
    }

    void start(std::size_t index)
    {
        auto &node = nodes_[index];
        Fleet::InstanceRecord record;
        record.id = Common::InstanceId(nameOf(index));
        record.incarnation = random_();
        record.region = Common::RegionName(regionOf(index));
        record.failureDomain = Common::FailureDomainName(regionOf(index) + "-a");
        record.gossipAddress = nameOf(index);
        record.ready = true;
        node.roster = std::make_unique<Fleet::Roster>(Fleet::RosterOptions(), record, random_());
        node.roster->setSeeds(seeds());
        std::set<Common::RegionName> regions;
        for (std::size_t each = 0; each < std::min(Regions, nodes_.size()); ++each) {
            regions.insert(Common::RegionName(regionOf(each)));
        }
        node.roster->setRegions(regions);
        node.scheduler = std::make_unique<Dispatch::Scheduler>(
            Dispatch::DispatchOptions(), record.id, record.region, random_(), now_);
        node.scheduler->setBounds(bounds_);
        Catalog::Service service;
        service.name = Service;
        node.scheduler->setServices({{service.name, service}}, now_);
        node.scheduler->setEndpoints(endpoints(), {}, now_);
        updateFleet(index);
        node.nextTick = now_ + milliseconds(index * 7 % 250);
    }

    void restart(std::size_t index)
    {
        start(index);
    }

    void restartAll()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            restart(index);
        }
    }

    void setDropRule(DropRule rule)
    {
        dropRule_ = std::move(rule);
    }

    /// A datagram takes this much longer than usual.
    void setExtraLatency(milliseconds latency)
    {
        extraLatency_ = latency;
    }

    void setFailing(bool failing)
    {
        failing_ = failing;
    }

    void run(milliseconds time)
    {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += Step;
            deliverDue();
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                if (nodes_[index].roster) {
                    tick(index);
                    sendRequests(index);
                }
            }
        }
    }

    /// The largest ratio of retries to the limit, over all windows.
    double fullestWindow() const
    {
        double fullest = 0;
        for (const auto start : retries_) {
            const auto count = [&](const std::vector<Time> &times, Time from) {
                const auto first = std::lower_bound(times.begin(), times.end(), from);
                const auto last =
                    std::upper_bound(times.begin(), times.end(), from + bounds_.retryWindow);
                return static_cast<double>(last - first);
            };
            const auto window = Duration(bounds_.retryWindow);
            const auto requests =
                std::max({count(requests_, start), count(requests_, start - window),
                          count(requests_, start - window / 2)});
            const double limit = bounds_.retryRatio * requests + bounds_.retrySlack;
            fullest = std::max(fullest, count(retries_, start) / limit);
        }
        return fullest;
    }

    std::size_t retries() const
    {
        return retries_.size();
    }

    std::size_t size() const
    {
        return nodes_.size();
    }

    static std::string regionOf(std::size_t index)
    {
        return "region-" + std::to_string(index % Regions);
    }

private:
    struct Node
    {
        /// Null before its first start.
        std::unique_ptr<Fleet::Roster> roster;
        std::unique_ptr<Dispatch::Scheduler> scheduler;
        Time nextTick{};
    };
    struct Datagram
    {
        std::size_t to = 0;
        std::shared_ptr<const Fleet::Message> message;
    };

    static inline const Common::ServiceName Service{"desk"};
    static constexpr std::size_t SeedCount = 3;

    static std::string nameOf(std::size_t index)
    {
        return std::to_string(index);
    }

    std::set<std::string> seeds() const
    {
        std::set<std::string> result;
        for (std::size_t index = 0; index < std::min(SeedCount, nodes_.size()); ++index) {
            result.insert(nameOf(index));
        }
        return result;
    }

    static std::vector<Catalog::ListedEndpoint> endpoints()
    {
        constexpr int Count = 6;
        constexpr int Slots = 1000;
        std::vector<Catalog::ListedEndpoint> result;
        for (int number = 0; number < Count; ++number) {
            Catalog::ListedEndpoint listed;
            listed.record.id = Common::EndpointId("endpoint-" + std::to_string(number));
            listed.record.service = Service;
            listed.record.address = listed.record.id.text() + ":80";
            listed.record.failureDomain = Common::FailureDomainName("a");
            listed.record.slots = Slots;
            result.push_back(std::move(listed));
        }
        return result;
    }

    /// As RelayGateway::fleetChanged() does.
    void updateFleet(std::size_t index)
    {
        auto &node = nodes_[index];
        std::vector<Common::InstanceId> own = {node.roster->self().id};
        for (const auto &peer : node.roster->peers(now_)) {
            if (peer.alive && peer.record.region == node.roster->self().region) {
                own.push_back(peer.record.id);
            }
        }
        node.scheduler->setFleet(own, node.roster->sharers(now_), {});
    }

    void tick(std::size_t index)
    {
        auto &node = nodes_[index];
        if (now_ < node.nextTick) {
            return;
        }
        node.nextTick += Fleet::RosterOptions().interval;
        send(index, node.roster->tick(now_));
        updateFleet(index);
    }

    void send(std::size_t from, const Fleet::Sends &sends)
    {
        std::uniform_int_distribution<std::int64_t> latency(1, MaxLatency.count());
        for (const auto &each : sends) {
            const auto to = static_cast<std::size_t>(std::stoul(each.address));
            if (!dropRule_ || !dropRule_(from, to)) {
                const auto arrival = now_ + milliseconds(latency(random_)) + extraLatency_;
                inFlight_.emplace(arrival, Datagram{to, each.message});
            }
        }
    }

    void deliverDue()
    {
        while (!inFlight_.empty() && inFlight_.begin()->first <= now_) {
            const auto datagram = inFlight_.begin()->second;
            inFlight_.erase(inFlight_.begin());
            auto &node = nodes_[datagram.to];
            if (!node.roster) {
                continue;
            }
            if (const auto *heartbeat = std::get_if<Fleet::Heartbeat>(datagram.message.get())) {
                send(datagram.to, node.roster->receive(*heartbeat, now_));
            } else {
                const auto &digest = std::get<Fleet::RegionDigest>(*datagram.message);
                send(datagram.to, node.roster->receive(digest, now_).sends);
            }
        }
    }

    void sendRequests(std::size_t index)
    {
        std::poisson_distribution<int> count(requestsPerStep_);
        for (int left = count(random_); left > 0; --left) {
            sendRequest(*nodes_[index].scheduler);
        }
    }

    void sendRequest(Dispatch::Scheduler &scheduler)
    {
        Dispatch::CallFacts facts;
        facts.id = nextId_++;
        facts.service = Service;
        facts.repeatable = true;
        facts.arrivedAt = now_;
        facts.objectiveAt = now_ + milliseconds(800);
        facts.deadline = now_ + seconds(4);
        facts.maxRuns = 2;
        facts.fingerprint = facts.id;
        requests_.push_back(now_);
        auto effects = scheduler.submit(facts, now_);
        bool isFirst = true;
        while (!effects.empty() && std::holds_alternative<Dispatch::Send>(effects.front())) {
            if (!isFirst) {
                retries_.push_back(now_);
            }
            isFirst = false;
            const bool fails = failing_ && std::bernoulli_distribution(0.9)(random_);
            effects = scheduler.ended(facts.id,
                                      fails ? Dispatch::AttemptOutcome::Error
                                            : Dispatch::AttemptOutcome::Completed,
                                      true, now_);
        }
    }

    Catalog::Bounds bounds_;
    double requestsPerStep_;
    std::vector<Node> nodes_;
    std::mt19937_64 random_{11};
    Time now_ = Time(seconds(1000));
    DropRule dropRule_;
    milliseconds extraLatency_{0};
    bool failing_ = false;
    std::multimap<Time, Datagram> inFlight_;
    Dispatch::CallId nextId_ = 1;
    /// In order of time.
    std::vector<Time> requests_;
    std::vector<Time> retries_;
};

} // namespace LaburnumChute::Relay
