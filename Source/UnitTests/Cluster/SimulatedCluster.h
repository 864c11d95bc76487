#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Cluster/Cluster.h"

namespace LaburnumChute::Cluster::Testing {

/// A simulated process: its node, and the effects that the node reported.
struct Process
{
    MemberInfo info;
    std::unique_ptr<ClusterNode> node;
    bool paused = false;
    bool reading = false;
    Common::Time readEnds;
    Common::ConfigurationNumber readAfter = 0;
    /// Datagrams in the socket of a paused process: sender and message.
    std::vector<std::pair<std::size_t, std::shared_ptr<const GossipMessage>>> unreadDatagrams;
    std::vector<Common::ConfigurationNumber> adopted;
    std::vector<Common::ConfigurationNumber> rejected;
    std::vector<Common::ConfigurationNumber> conflicts;
    std::vector<Notice> notices;
    std::vector<MemberChanged> changes;
    std::optional<Common::Incarnation> supersededBy;
    int pauses = 0;
};

/// Simulates nodes on a lossy network with a virtual clock, and a configuration service.
class SimulatedCluster
{
public:
    explicit SimulatedCluster(std::uint64_t seed, const ClusterOptions &options = {})
        : options_(options)
        , random_(seed)
    {
    }

    double loss = 0;
    Common::milliseconds latencyInRegion{1};
    Common::milliseconds latencyBetweenRegions{55};
    /// Returns true if datagrams from the first process to the second are dropped; arguments are
    /// indices of sender and receiver.
    std::function<bool(std::size_t, std::size_t)> isBlocked = [](std::size_t, std::size_t) {
        return false;
    };
    /// Entries of the platform's list for each other region; a lower limit saves memory in large
    /// runs.
    std::size_t listedOfOtherRegions = ~std::size_t{0};
    bool timerFirst = true;
    bool serviceUp = true;
    /// The service returns its version regardless of the requested number.
    bool serviceIgnoresNumber = false;
    ConfigurationVersion service;
    /// The version that the service returns to a process.
    std::function<ConfigurationVersion(std::size_t)> serviceFor = [this](std::size_t) {
        return service;
    };
    std::function<bool(const ConfigurationVersion &)> valid = [](const ConfigurationVersion &) {
        return true;
    };
    std::vector<Process> processes;
    std::size_t largestDatagram = 0;

    Common::Time now() const
    {
        return now_;
    }

    /// Starts a process in the region, or, with an index, a replacement without any state.
    std::size_t start(const std::string &region, std::optional<std::size_t> index = std::nullopt);
    void kill(std::size_t index)
    {
        processes[index].node.reset();
    }
    void pause(std::size_t index)
    {
        processes[index].paused = true;
    }
    void resume(std::size_t index);
    /// Sends the platform's list, with all running processes, to each process.
    void publishSeeds();
    void run(Common::Duration duration);
    /// Runs until the condition holds and returns the elapsed time, or nothing if the limit is
    /// reached.
    std::optional<Common::Duration> runUntil(const std::function<bool()> &condition,
                                             Common::Duration limit);
    /// Carries out the effects returned by a node.
    void applyEffects(std::size_t index, const Effects &effects);

    std::size_t statesSeen(std::size_t subject, MemberState state) const;
    bool allInForce(Common::ConfigurationNumber number) const;

private:
    struct Event
    {
        Common::Time time;
        std::uint64_t order = 0;
        std::size_t to = 0;
        std::size_t from = 0;
        /// Null for a tick.
        std::shared_ptr<const GossipMessage> message;
        const ClusterNode *tickedNode = nullptr;
        bool operator<(const Event &other) const
        {
            return std::tie(time, order) > std::tie(other.time, other.order);
        }
    };

    void handleEvent(const Event &event);
    void completeReads(std::size_t index);
    void applyEffect(std::size_t index, const Effect &effect);
    void transmit(std::size_t from, const SendGossip &send);

    ClusterOptions options_;
    std::mt19937_64 random_;
    Common::Time now_{Common::seconds(3600)};
    Common::WallTime wallStart_{Common::seconds(1'790'000'000)};
    std::uint64_t order_ = 0;
    std::map<Address, std::size_t> indexByAddress_;
    std::priority_queue<Event> events_;
};

inline std::size_t SimulatedCluster::start(const std::string &region,
                                           std::optional<std::size_t> index)
{
    const std::size_t at = index.value_or(processes.size());
    if (!index) {
        processes.emplace_back();
    }
    Process &process = processes[at];
    process = Process{};
    const std::string number = std::to_string(at);
    process.info.id = Common::InstanceId(region + "-" + number);
    process.info.region = Common::RegionName(region);
    process.info.failureDomain = Common::FailureDomainName(region + "-a");
    process.info.incarnation = Common::toUnixMilliseconds(wallStart_ + (now_.time_since_epoch()));
    process.info.httpAddress = Address("10.0.0.1:1" + number);
    process.info.gossipAddress = Address("10.0.0.1:2" + number);
    process.info.channelAddress = Address("10.0.0.1:3" + number);
    indexByAddress_[process.info.gossipAddress] = at;
    process.node = std::make_unique<ClusterNode>(options_, process.info, random_(), now_);
    std::uniform_int_distribution<int> phase(0, static_cast<int>(options_.tickInterval.count()));
    const Common::Time first = now_ + Common::milliseconds(phase(random_));
    events_.push({first, ++order_, at, at, nullptr, process.node.get()});
    return at;
}

inline void SimulatedCluster::resume(std::size_t index)
{
    Process &process = processes[index];
    process.paused = false;
    // A resumed process has no control over whether its timer or its socket is handled first.
    if (timerFirst) {
        applyEffects(index, process.node->tick(now_, wallStart_ + now_.time_since_epoch()));
    }
    const auto waiting = std::exchange(process.unreadDatagrams, {});
    for (const auto &[from, message] : waiting) {
        applyEffects(index,
                     process.node->receive(processes[from].info.gossipAddress, *message, now_));
    }
}

inline void SimulatedCluster::publishSeeds()
{
    std::map<Common::RegionName, std::vector<Seed>> byRegion;
    for (const Process &process : processes) {
        if (process.node) {
            const MemberInfo &info = process.info;
            byRegion[info.region].push_back({info.id, info.region, info.failureDomain,
                                             info.httpAddress, info.gossipAddress,
                                             info.channelAddress, false});
        }
    }
    std::map<Common::RegionName, std::vector<Seed>> lists;
    for (const auto &[viewer, ownSeeds] : byRegion) {
        for (const auto &[region, listed] : byRegion) {
            const auto count =
                region == viewer ? listed.size() : std::min(listed.size(), listedOfOtherRegions);
            lists[viewer].insert(lists[viewer].end(), listed.begin(),
                                 listed.begin() + static_cast<std::ptrdiff_t>(count));
        }
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
        if (processes[i].node && !processes[i].paused) {
            const auto &seeds = lists[processes[i].info.region];
            applyEffects(i, processes[i].node->updateSeeds(seeds, now_));
        }
    }
}

inline void SimulatedCluster::run(Common::Duration duration)
{
    runUntil([] { return false; }, duration);
}

inline std::optional<Common::Duration>
SimulatedCluster::runUntil(const std::function<bool()> &condition, Common::Duration limit)
{
    const Common::Time begin = now_;
    Common::Time nextCheck = now_;
    while (!events_.empty() && events_.top().time <= begin + limit) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        handleEvent(event);
        if (now_ >= nextCheck) {
            nextCheck = now_ + Common::milliseconds(10);
            if (condition()) {
                return now_ - begin;
            }
        }
    }
    now_ = begin + limit;
    return std::nullopt;
}

inline void SimulatedCluster::handleEvent(const Event &event)
{
    Process &process = processes[event.to];
    if (!event.message) {
        if (process.node.get() != event.tickedNode) {
            return;
        }
        events_.push({now_ + options_.tickInterval, ++order_, event.to, event.to, nullptr,
                      event.tickedNode});
        if (!process.paused) {
            applyEffects(event.to, process.node->tick(now_, wallStart_ + now_.time_since_epoch()));
            completeReads(event.to);
        }
        return;
    }
    if (!process.node) {
        return;
    }
    if (process.paused) {
        process.unreadDatagrams.emplace_back(event.from, event.message);
        return;
    }
    const Address from = processes[event.from].info.gossipAddress;
    applyEffects(event.to, process.node->receive(from, *event.message, now_));
}

inline void SimulatedCluster::completeReads(std::size_t index)
{
    Process &process = processes[index];
    if (!process.reading) {
        return;
    }
    const ConfigurationVersion version = serviceFor(index);
    if (!serviceUp) {
        process.reading = false;
        applyEffects(index, process.node->configurationReadFailed(now_));
    } else if (version.number > process.readAfter
               || (serviceIgnoresNumber && version.number != 0)) {
        process.reading = false;
        applyEffects(index, process.node->configurationRead(version, now_));
    } else if (now_ >= process.readEnds) {
        process.reading = false;
        applyEffects(index, process.node->configurationUnchanged(now_));
    }
}

inline void SimulatedCluster::applyEffects(std::size_t index, const Effects &effects)
{
    for (const Effect &effect : effects) {
        applyEffect(index, effect);
    }
}

inline void SimulatedCluster::applyEffect(std::size_t index, const Effect &effect)
{
    Process &process = processes[index];
    if (const auto *send = std::get_if<SendGossip>(&effect)) {
        transmit(index, *send);
    } else if (const auto *changed = std::get_if<MemberChanged>(&effect)) {
        process.changes.push_back(*changed);
    } else if (const auto *validate = std::get_if<ValidateConfiguration>(&effect)) {
        const bool isValid = valid({validate->number, validate->content});
        const Common::Result<void> result =
            isValid ? Common::Result<void>()
                    : Common::makeError(Common::ErrorCode::InvalidArgument, "refused");
        applyEffects(index, process.node->configurationValidated(validate->number, result, now_));
    } else if (const auto *adopted = std::get_if<ConfigurationAdopted>(&effect)) {
        process.adopted.push_back(adopted->number);
    } else if (const auto *rejected = std::get_if<ConfigurationRejected>(&effect)) {
        process.rejected.push_back(rejected->number);
    } else if (const auto *conflict = std::get_if<ConfigurationConflict>(&effect)) {
        process.conflicts.push_back(conflict->number);
    } else if (const auto *notice = std::get_if<NoticeReceived>(&effect)) {
        process.notices.push_back(notice->notice);
    } else if (const auto *superseded = std::get_if<SelfSuperseded>(&effect)) {
        process.supersededBy = superseded->by;
    } else if (std::holds_alternative<ResumedAfterPause>(effect)) {
        ++process.pauses;
    } else if (const auto *read = std::get_if<ReadConfiguration>(&effect)) {
        process.reading = true;
        process.readAfter = read->afterNumber;
        process.readEnds = now_ + read->wait;
    } else if (std::holds_alternative<StopReadingConfiguration>(effect)) {
        process.reading = false;
    }
}

inline void SimulatedCluster::transmit(std::size_t from, const SendGossip &send)
{
    largestDatagram = std::max(largestDatagram, encodedSize(send.message));
    const auto to = indexByAddress_.find(send.to);
    const bool lost = std::bernoulli_distribution(loss)(random_);
    if (to == indexByAddress_.end() || lost || isBlocked(from, to->second)) {
        return;
    }
    const bool sameRegion = processes[from].info.region == processes[to->second].info.region;
    const auto latency = sameRegion ? latencyInRegion : latencyBetweenRegions;
    events_.push({now_ + latency, ++order_, to->second, from,
                  std::make_shared<const GossipMessage>(send.message), nullptr});
}

inline std::size_t SimulatedCluster::statesSeen(std::size_t subject, MemberState state) const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < processes.size(); ++i) {
        const bool observes = i != subject && processes[i].node && !processes[i].paused;
        const auto view =
            observes ? processes[i].node->member(processes[subject].info.id) : std::nullopt;
        count += view && view->state == state ? 1 : 0;
    }
    return count;
}

inline bool SimulatedCluster::allInForce(Common::ConfigurationNumber number) const
{
    for (const Process &process : processes) {
        if (process.node && !process.paused && process.node->configuration().number != number) {
            return false;
        }
    }
    return true;
}

} // namespace LaburnumChute::Cluster::Testing
