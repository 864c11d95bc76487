#include <algorithm>
#include <cstdio>
#include <string>

#include <fmt/format.h>

#include "Cluster/SimulatedCluster.h"
#include "Runs.h"

namespace LaburnumChute::Measure {

using namespace Cluster;
using Cluster::Testing::SimulatedCluster;
using Common::milliseconds;
using Common::seconds;

namespace {

constexpr double Loss = 0.05;
constexpr Common::Duration EventLimit = seconds(60);
constexpr std::size_t ContentBytes = 100'000;
/// With whole lists, 2,900 instances in one process would take gigabytes.
constexpr std::size_t ListedOfOtherRegions = 10;

void print(const std::string &name, std::vector<double> values, const char *unit)
{
    std::sort(values.begin(), values.end());
    if (values.empty()) {
        fmt::print("  {}: not seen within the limit\n", name);
        return;
    }
    fmt::print("  {}: median {:.2f} {}, most {:.2f} {} ({} trials)\n", name,
               values[values.size() / 2], unit, values.back(), unit, values.size());
}

std::string document(int variant)
{
    std::string text = "{\n";
    for (int line = 0; text.size() < ContentBytes; ++line) {
        const int shown = line == 700 ? variant : 0;
        text += fmt::format("\"route-{}\": {{\"model\": \"inscription\", \"weight\": {}}},\n", line,
                            shown);
    }
    return text + "}";
}

class VirtualRun
{
public:
    explicit VirtualRun(const RunSize &size)
        : size_(size)
        , bus_(size.seed)
    {
        bus_.loss = Loss;
        bus_.listedOfOtherRegions = ListedOfOtherRegions;
        bus_.service = {1, document(1)};
        for (std::size_t i = 0; i < size.instances; ++i) {
            bus_.start(fmt::format("region-{}", i % size.regions));
        }
        bus_.publishSeeds();
        bus_.run(seconds(20));
    }

    void quiet();
    void pauses();
    void configurations();
    void deaths();
    void leaves();

private:
    std::size_t victim(int trial) const
    {
        return (static_cast<std::size_t>(trial) * 7 + 3) % size_.instances;
    }
    std::size_t regionPeers(std::size_t index) const;
    std::size_t deathsReported() const;

    RunSize size_;
    SimulatedCluster bus_;
};

std::size_t VirtualRun::regionPeers(std::size_t index) const
{
    const auto &region = bus_.processes[index].info.region;
    return static_cast<std::size_t>(std::count_if(
               bus_.processes.begin(), bus_.processes.end(),
               [&](const auto &process) { return process.node && process.info.region == region; }))
           - (bus_.processes[index].node ? 1 : 0);
}

std::size_t VirtualRun::deathsReported() const
{
    std::size_t deaths = 0;
    for (const auto &process : bus_.processes) {
        deaths += static_cast<std::size_t>(
            std::count_if(process.changes.begin(), process.changes.end(), [](const auto &change) {
                return change.member.state == MemberState::Dead;
            }));
    }
    return deaths;
}

void VirtualRun::quiet()
{
    std::vector<std::uint64_t> before;
    for (const auto &process : bus_.processes) {
        const ControlTraffic &traffic = process.node->traffic();
        before.push_back(traffic.bytesSent + traffic.bytesReceived);
    }
    const auto deathsBefore = deathsReported();
    bus_.run(seconds(size_.quietSeconds));
    std::vector<double> rates;
    for (std::size_t i = 0; i < before.size(); ++i) {
        const ControlTraffic &traffic = bus_.processes[i].node->traffic();
        const auto bytes = traffic.bytesSent + traffic.bytesReceived - before[i];
        rates.push_back(static_cast<double>(bytes) / 1000.0 / size_.quietSeconds);
    }
    print("sent and received, each instance", rates, "KB/s");
    fmt::print("  false deaths in {} s of 5% loss, all observers: {}\n", size_.quietSeconds,
               deathsReported() - deathsBefore);
}

void VirtualRun::pauses()
{
    const auto before = deathsReported();
    const int rounds = size_.quietSeconds / 4;
    for (int i = 0; i < rounds; ++i) {
        const std::size_t index = victim(i);
        bus_.timerFirst = i % 2 == 0;
        bus_.pause(index);
        bus_.run(seconds(2));
        bus_.resume(index);
        bus_.run(seconds(2));
    }
    fmt::print("  false deaths in {} s with a pause of 2 s every 4 s and 5% loss: {}\n", rounds * 4,
               deathsReported() - before);
}

void VirtualRun::configurations()
{
    std::vector<double> times;
    for (int trial = 0; trial < size_.trials; ++trial) {
        bus_.service = {bus_.service.number + 1, document(trial + 2)};
        const auto number = bus_.service.number;
        const auto took = bus_.runUntil([&] { return bus_.allInForce(number); }, EventLimit);
        if (took) {
            times.push_back(Common::toSeconds(*took));
        }
        bus_.run(seconds(3));
    }
    print("version of 100 KB in force everywhere, service up", times, "s");
    times.clear();
    for (int trial = 0; trial < size_.trials; ++trial) {
        const ConfigurationVersion next{bus_.service.number + 1, document(trial + 50)};
        const auto number = next.number;
        // Only one watcher sees it; to the others the service is stale.
        std::size_t holder = 0;
        while (!bus_.processes[holder].reading) {
            ++holder;
        }
        bus_.serviceFor = [this, holder, next](std::size_t index) {
            return index == holder ? next : bus_.service;
        };
        const auto took = bus_.runUntil([&] { return bus_.allInForce(number); }, EventLimit);
        if (took) {
            times.push_back(Common::toSeconds(*took));
        }
        bus_.service = next;
        bus_.serviceFor = [this](std::size_t) { return bus_.service; };
        bus_.run(seconds(3));
    }
    print("the same from one holder, service stale for all others", times, "s");
}

void VirtualRun::deaths()
{
    std::vector<double> first;
    std::vector<double> all;
    for (int trial = 0; trial < size_.trials; ++trial) {
        const std::size_t index = victim(trial);
        const std::string region = bus_.processes[index].info.region.text();
        const Common::Time begin = bus_.now();
        bus_.kill(index);
        const auto one = bus_.runUntil(
            [&] { return bus_.statesSeen(index, MemberState::Dead) > 0; }, EventLimit);
        const auto everyone = bus_.runUntil(
            [&] { return bus_.statesSeen(index, MemberState::Dead) == regionPeers(index); },
            EventLimit);
        if (one && everyone) {
            first.push_back(Common::toSeconds(*one));
            all.push_back(Common::toSeconds(bus_.now() - begin));
        }
        bus_.start(region, index);
        bus_.publishSeeds();
        bus_.run(seconds(10));
    }
    print("death known to the first", first, "s");
    print("death known to all of the region", all, "s");
}

void VirtualRun::leaves()
{
    std::vector<double> region;
    std::vector<double> fleet;
    for (int trial = 0; trial < size_.trials; ++trial) {
        const std::size_t index = victim(trial);
        const std::string name = bus_.processes[index].info.region.text();
        const Common::Time begin = bus_.now();
        for (auto &process : bus_.processes) {
            process.notices.clear();
        }
        bus_.applyEffects(index, bus_.processes[index].node->announceLeaving(bus_.now()));
        const auto near = bus_.runUntil(
            [&] { return bus_.statesSeen(index, MemberState::Leaving) == regionPeers(index); },
            EventLimit);
        const auto knows = [&](const auto &process) { return !process.notices.empty(); };
        const auto everywhere = bus_.runUntil(
            [&] {
                return static_cast<std::size_t>(
                           std::count_if(bus_.processes.begin(), bus_.processes.end(), knows))
                       == size_.instances - 1;
            },
            EventLimit);
        if (near && everywhere) {
            region.push_back(Common::toSeconds(*near));
            fleet.push_back(Common::toSeconds(bus_.now() - begin));
        }
        bus_.kill(index);
        bus_.start(name, index);
        bus_.publishSeeds();
        bus_.run(seconds(10));
    }
    print("leave known to all of the region", region, "s");
    print("leave known to all instances of all regions", fleet, "s");
}

} // namespace

void virtualRun(const RunSize &size)
{
    fmt::print("{} instances in {} regions, virtual clock, 5% loss, seed {}\n", size.instances,
               size.regions, size.seed);
    VirtualRun run(size);
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    run.quiet();
    run.configurations();
    run.deaths();
    run.leaves();
    run.pauses();
    std::fflush(stdout);
}

} // namespace LaburnumChute::Measure
