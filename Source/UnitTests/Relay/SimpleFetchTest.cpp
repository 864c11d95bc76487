#include <gtest/gtest.h>

#include "Relay/SimpleFetch.h"
#include "Relay/SteadyNow.h"
#include "Sockets.h"

namespace LaburnumChute::Relay {

// Guards against answers without an id on connections that carry requests of callers: one side's
// second answer passes for the other's answer.
TEST(SimpleFetchTest, EachCallHasAConnectionOfItsOwn)
{
    asio::io_context context;
    const auto pool = std::make_shared<OutboundPool>(context);
    SimpleFetch fetch(pool);
    const auto answer = [](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    };
    ScriptedServer server({answer, answer});
    for (int count = 1; count <= 2; ++count) {
        std::optional<unsigned> status;
        fetch.get(
            server.address(), "/list", Common::seconds(2), 100,
            [&](unsigned result, const std::string &) { status = result; }, steadyNow());
        const auto end = steadyNow() + Common::seconds(3);
        while (!status && steadyNow() < end) {
            context.restart();
            context.run_for(Common::milliseconds(5));
            fetch.tick(steadyNow());
        }
        EXPECT_EQ(status, 200U);
        EXPECT_EQ(server.acceptedCount(), count);
        EXPECT_EQ(pool->idleCount(), 0U);
    }
}

} // namespace LaburnumChute::Relay
