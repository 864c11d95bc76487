#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "Relay/InboundServer.h"
#include "Sockets.h"

namespace LaburnumChute::Relay {

namespace {

/// Leaves the process without a free descriptor.
class DescriptorShortage
{
public:
    DescriptorShortage()
    {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowestFree = ::fcntl(0, F_DUPFD, 0);
        ::close(lowestFree);
        auto limit = before_;
        limit.rlim_cur = static_cast<rlim_t>(lowestFree);
        ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~DescriptorShortage()
    {
        ::setrlimit(RLIMIT_NOFILE, &before_);
    }
    DescriptorShortage(const DescriptorShortage &) = delete;
    DescriptorShortage &operator=(const DescriptorShortage &) = delete;

private:
    rlimit before_{};
};

} // namespace

// Guards against a process that uses a whole core while it has no descriptor for a new connection.
TEST(InboundServerTest, WaitsForADescriptor)
{
    asio::io_context context;
    InboundServer server(
        context, 10, [] { return Catalog::CallerLimits(); },
        [](const std::shared_ptr<InboundConnection> &, const InboundRequest &) {});
    const auto address = *server.listen("127.0.0.1:0");
    const auto port = std::stoi(address.substr(address.find(':') + 1));
    asio::io_context callerContext;
    tcp::socket caller(callerContext, tcp::v4());
    std::size_t handlers = 0;
    {
        const DescriptorShortage shortage;
        caller.connect(
            tcp::endpoint(asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port)));
        handlers = context.run_for(Common::milliseconds(50));
    }
    EXPECT_LE(handlers, 2U);
    EXPECT_EQ(server.connections(), 0U);
    server.tick(std::chrono::steady_clock::now());
    context.restart();
    context.run_for(Common::milliseconds(50));
    EXPECT_EQ(server.connections(), 1U);
}

} // namespace LaburnumChute::Relay
