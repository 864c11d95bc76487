#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Customers/Customers.h"

namespace LaburnumChute::Customers {

/// The deployment in which usage of one customer is simulated under a virtual clock.
struct SimulatedFleet
{
    int instances = 34;
    int regions = 3;
    /// Tokens per second; the burst is as large as the usage of one second at the limit.
    double limit = 500000;
    /// Fixed amount by which all instances together may exceed the limit in any window.
    double slack = 190000;
    /// Fraction of the reports that are lost.
    double loss = 0;
    std::uint64_t seed = 5;
};

/// Instances that admit requests of one customer and exchange reports as over the network: every
/// 250 ms to at most 16 instances of the region, every 500 ms to 6 instances of other regions.
class UsageSimulation
{
public:
    /// Tokens per second that arrive at an instance.
    using Demand = std::function<double(Duration sinceStart, int instance)>;
    /// Whether messages between two instances arrive.
    using Connected = std::function<bool(Duration sinceStart, int from, int to)>;

    UsageSimulation(SimulatedFleet fleet, Demand demand)
        : fleet_(fleet)
        , demand_(std::move(demand))
        , connected_([](Duration, int, int) { return true; })
        , random_(fleet.seed)
    {
        limit_ = fleet_.limit;
        for (int index = 0; index < fleet_.instances; ++index) {
            names_.push_back(InstanceId("instance-" + std::to_string(index)));
            start(index);
        }
    }

    /// Window in which the limit is enforced.
    static Duration window()
    {
        return Common::seconds(8);
    }
    void setConnected(Connected connected)
    {
        connected_ = std::move(connected);
    }
    /// Limit in force from now on.
    void setLimit(double perSecond)
    {
        limit_ = perSecond;
        for (auto &node : nodes_) {
            node.limiter->setCustomers(customers(), now_);
        }
    }
    /// All instances lose their memory and accept no requests until a second has passed.
    void restartAll()
    {
        for (int index = 0; index < fleet_.instances; ++index) {
            nodes_[static_cast<std::size_t>(index)].downUntil = now_ + milliseconds(1000);
            start(index);
        }
        ownRegionMessages_.clear();
        otherRegionMessages_.clear();
    }
    void run(Duration duration)
    {
        const auto end = now_ + duration;
        while (now_ < end) {
            step();
        }
    }
    Duration elapsed() const
    {
        return now_ - Time();
    }

    /// Highest usage that was admitted in any span of the length, from a time on.
    double highestUsage(Duration from) const
    {
        double highest = 0;
        double sum = 0;
        std::size_t first = 0;
        for (const auto &each : admitted_) {
            if (each.at - Time() < from) {
                ++first;
                continue;
            }
            sum += each.usage;
            while (each.at - admitted_[first].at > window()) {
                sum -= admitted_[first].usage;
                ++first;
            }
            highest = std::max(highest, sum);
        }
        return highest;
    }
    double admittedUsage(Duration from, Duration to) const
    {
        return sumBetween(admitted_, from, to);
    }
    double rejectedFraction(Duration from, Duration to) const
    {
        const double rejected = sumBetween(rejected_, from, to);
        return rejected / std::max(1.0, rejected + admittedUsage(from, to));
    }
    /// The same for one instance that knows all usage.
    double exactlyRejectedFraction(Duration from, Duration to) const
    {
        const double arrived = sumBetween(rejected_, from, to) + admittedUsage(from, to);
        return sumBetween(exactlyRejected_, from, to) / std::max(1.0, arrived);
    }

private:
    struct Usage
    {
        Time at{};
        double usage = 0;
    };
    /// One instance that knows all usage.
    struct ExactWindow
    {
        std::deque<Usage> usages;
        double sum = 0;

        bool admit(double usage, double allowed, Time now)
        {
            while (!usages.empty() && now - usages.front().at > window()) {
                sum -= usages.front().usage;
                usages.pop_front();
            }
            const bool admitted = sum < allowed;
            if (admitted) {
                usages.push_back({now, usage});
                sum += usage;
            }
            return admitted;
        }
    };
    struct Node
    {
        std::unique_ptr<UsageLimiter> limiter;
        Time nextHeartbeat{};
        int round = 0;
        Time downUntil{};
        std::vector<Time> heard;
    };
    struct Message
    {
        Time at{};
        int from = 0;
        int to = 0;
        UsageReport report;
    };

    const InstanceId &name(int index) const
    {
        return names_[static_cast<std::size_t>(index)];
    }
    int regionOf(int index) const
    {
        return index % fleet_.regions;
    }
    RegionName regionName(int index) const
    {
        return RegionName("region-" + std::to_string(regionOf(index)));
    }
    std::vector<Customer> customers() const
    {
        Customer customer;
        customer.name = CustomerName("customer");
        customer.unit = UsageUnit::Tokens;
        customer.limit = UsageLimit{limit_, limit_};
        return {customer};
    }
    static double sumBetween(const std::vector<Usage> &usages, Duration from, Duration to)
    {
        double sum = 0;
        for (const auto &each : usages) {
            const auto at = each.at - Time();
            sum += at >= from && at < to ? each.usage : 0;
        }
        return sum;
    }

    void start(int index)
    {
        nodes_.resize(static_cast<std::size_t>(fleet_.instances));
        auto &node = nodes_[static_cast<std::size_t>(index)];
        const auto startsAt = std::max(now_, node.downUntil);
        node.limiter = std::make_unique<UsageLimiter>(UsageLimiterOptions(), random_());
        node.limiter->setBounds(window(), fleet_.slack);
        node.limiter->setCustomers(customers(), startsAt);
        std::uniform_int_distribution<int> phase(0, 250);
        node.nextHeartbeat = startsAt + milliseconds(phase(random_));
        node.heard.assign(static_cast<std::size_t>(fleet_.instances), Time());
    }

    void step()
    {
        constexpr milliseconds Step{5};
        now_ += Step;
        for (auto *messages : {&ownRegionMessages_, &otherRegionMessages_}) {
            while (!messages->empty() && messages->front().at <= now_) {
                deliver(messages->front());
                messages->pop_front();
            }
        }
        for (int index = 0; index < fleet_.instances; ++index) {
            auto &node = nodes_[static_cast<std::size_t>(index)];
            if (now_ < node.downUntil) {
                continue;
            }
            if (now_ >= node.nextHeartbeat) {
                node.nextHeartbeat += milliseconds(250);
                heartbeat(index);
            }
            arrive(index, Common::toSeconds(Step));
        }
    }

    void arrive(int index, double seconds)
    {
        // A twentieth of the requests is 40 times as large as the others.
        constexpr double SmallTokens = 400;
        constexpr double LargeTokens = 17000;
        constexpr double LargeFraction = 0.05;
        const double mean = SmallTokens * (1 - LargeFraction) + LargeTokens * LargeFraction;
        const double tokens = demand_(now_ - Time(), index) * seconds;
        if (tokens <= 0) {
            return;
        }
        std::poisson_distribution<int> count(tokens / mean);
        std::bernoulli_distribution large(LargeFraction);
        for (int left = count(random_); left > 0; --left) {
            const double usage = large(random_) ? LargeTokens : SmallTokens;
            auto &limiter = *nodes_[static_cast<std::size_t>(index)].limiter;
            const auto verdict = limiter.admit(CustomerName("customer"), usage, now_);
            (verdict.admitted ? admitted_ : rejected_).push_back({now_, usage});
            const double allowed = limit_ * Common::toSeconds(window()) + limit_;
            if (!exact_.admit(usage, allowed, now_)) {
                exactlyRejected_.push_back({now_, usage});
            }
        }
    }

    void heartbeat(int index)
    {
        auto &node = nodes_[static_cast<std::size_t>(index)];
        std::set<InstanceId> alive;
        for (int other = 0; other < fleet_.instances; ++other) {
            const bool heard =
                now_ - node.heard[static_cast<std::size_t>(other)] < milliseconds(4000);
            if (other != index && regionOf(other) == regionOf(index) && heard) {
                alive.insert(name(other));
            }
        }
        node.limiter->setInstances(alive, static_cast<std::size_t>(fleet_.instances), now_);
        // Near a limit, the reports reach all instances of the region and not only some.
        const std::size_t receivers = node.limiter->nearLimit(now_) ? names_.size() : 16;
        send(index, true, receivers, milliseconds(2), node.limiter->instanceReport(now_));
        if (node.round++ % 2 == 0) {
            send(index, false, 6, milliseconds(57), node.limiter->regionReport(now_));
        }
    }

    void send(int from, bool ownRegion, std::size_t fanout, Duration delay,
              const UsageReport &report)
    {
        std::vector<int> receivers;
        for (int other = 0; other < fleet_.instances; ++other) {
            if (other != from && (regionOf(other) == regionOf(from)) == ownRegion) {
                receivers.push_back(other);
            }
        }
        std::shuffle(receivers.begin(), receivers.end(), random_);
        receivers.resize(std::min(receivers.size(), fanout));
        std::bernoulli_distribution lost(fleet_.loss);
        for (const int to : receivers) {
            if (connected_(now_ - Time(), from, to) && !lost(random_)) {
                auto &messages = ownRegion ? ownRegionMessages_ : otherRegionMessages_;
                messages.push_back({now_ + delay, from, to, report});
            }
        }
    }

    void reply(int from, int to)
    {
        const auto &limiter = *nodes_[static_cast<std::size_t>(from)].limiter;
        if (regionOf(from) == regionOf(to)) {
            ownRegionMessages_.push_back(
                {now_ + milliseconds(2), from, to, limiter.instanceReport(now_)});
        } else {
            otherRegionMessages_.push_back(
                {now_ + milliseconds(57), from, to, limiter.regionReport(now_)});
        }
    }

    void deliver(const Message &message)
    {
        auto &node = nodes_[static_cast<std::size_t>(message.to)];
        if (now_ < node.downUntil) {
            return;
        }
        auto &heard = node.heard[static_cast<std::size_t>(message.from)];
        if (heard == Time()) {
            // As the roster does, the first heartbeat of an instance is answered.
            reply(message.to, message.from);
        }
        heard = now_;
        if (regionOf(message.from) == regionOf(message.to)) {
            node.limiter->setInstanceReport(name(message.from), message.report, now_);
        } else {
            node.limiter->setRegionReport(regionName(message.from), message.report, now_);
        }
    }

    SimulatedFleet fleet_;
    Demand demand_;
    Connected connected_;
    std::mt19937_64 random_;
    Time now_{};
    double limit_ = 0;
    std::vector<InstanceId> names_;
    std::vector<Node> nodes_;
    std::deque<Message> ownRegionMessages_;
    std::deque<Message> otherRegionMessages_;
    std::vector<Usage> admitted_;
    std::vector<Usage> rejected_;
    ExactWindow exact_;
    std::vector<Usage> exactlyRejected_;
};

} // namespace LaburnumChute::Customers
