#include <sys/resource.h>

#include <chrono>
#include <memory>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include "Peers/GossipSocket.h"
#include "Runs.h"

namespace LaburnumChute::Measure {

namespace asio = boost::asio;
using namespace Cluster;

namespace {

constexpr Common::seconds SettleTime{10};

/// An instance with a socket of its own.
class RealInstance
{
public:
    RealInstance(asio::io_context &context, std::size_t index, const std::string &region)
        : socket_(context.get_executor(),
                  [this](const Address &from, const GossipMessage &message) {
                      perform(node_->receive(from, message, std::chrono::steady_clock::now()));
                  })
        , timer_(context)
    {
        const auto opened = socket_.open({asio::ip::address_v4::loopback(), 0});
        if (!opened) {
            fmt::print("{}\n", opened.error().message);
        }
        info_.id = Common::InstanceId(fmt::format("{}-{}", region, index));
        info_.region = Common::RegionName(region);
        info_.incarnation = Common::toUnixMilliseconds(std::chrono::system_clock::now());
        info_.gossipAddress = Address(fmt::format("127.0.0.1:{}", socket_.localEndpoint().port()));
        node_ = std::make_unique<ClusterNode>(ClusterOptions{}, info_, index + 1,
                                              std::chrono::steady_clock::now());
    }

    void start(asio::io_context &context, const std::vector<Seed> &seeds)
    {
        perform(node_->updateSeeds(seeds, std::chrono::steady_clock::now()));
        asio::co_spawn(context, socket_.run(), asio::detached);
        asio::co_spawn(context, tick(), asio::detached);
    }
    Seed seed() const
    {
        return {info_.id, info_.region, {}, {}, info_.gossipAddress, {}, false};
    }
    const ClusterNode &node() const
    {
        return *node_;
    }

private:
    asio::awaitable<void> tick()
    {
        while (true) {
            timer_.expires_after(ClusterOptions{}.tickInterval);
            co_await timer_.async_wait(asio::use_awaitable);
            perform(
                node_->tick(std::chrono::steady_clock::now(), std::chrono::system_clock::now()));
        }
    }
    void perform(const Effects &effects)
    {
        for (const Effect &effect : effects) {
            if (const auto *send = std::get_if<SendGossip>(&effect)) {
                socket_.send(*send);
            }
        }
    }

    MemberInfo info_;
    std::unique_ptr<ClusterNode> node_;
    Peers::GossipSocket socket_;
    asio::steady_timer timer_;
};

double processorSeconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
    const auto micros = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
    return static_cast<double>(seconds) + static_cast<double>(micros) / 1e6;
}

long residentKilobytes()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

} // namespace

void realRun(const RunSize &size)
{
    asio::io_context context(1);
    const long memoryBefore = residentKilobytes();
    std::vector<std::unique_ptr<RealInstance>> instances;
    std::vector<Seed> seeds;
    for (std::size_t i = 0; i < size.instances; ++i) {
        instances.push_back(
            std::make_unique<RealInstance>(context, i, fmt::format("region-{}", i % size.regions)));
        seeds.push_back(instances.back()->seed());
    }
    for (auto &instance : instances) {
        instance->start(context, seeds);
    }
    context.run_for(SettleTime);
    const double cpuBefore = processorSeconds();
    const auto bytes = [&] {
        std::uint64_t sum = 0;
        for (const auto &instance : instances) {
            const ControlTraffic &traffic = instance->node().traffic();
            sum += traffic.bytesSent + traffic.bytesReceived;
        }
        return sum;
    };
    const auto bytesBefore = bytes();
    context.run_for(Common::seconds(size.quietSeconds));
    const double share = static_cast<double>(size.instances) * size.quietSeconds;
    fmt::print("{} instances in {} regions over UDP: {:.2f}% of a core, {:.2f} KB/s sent and "
               "received, {} KB of memory, each\n",
               size.instances, size.regions, 100 * (processorSeconds() - cpuBefore) / share,
               static_cast<double>(bytes() - bytesBefore) / 1000 / share,
               (residentKilobytes() - memoryBefore) / static_cast<long>(size.instances));
}

} // namespace LaburnumChute::Measure
