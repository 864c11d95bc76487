#include <gtest/gtest.h>

#include "Relay/PeerSync.h"
#include "Sockets.h"

namespace LaburnumChute::Relay {

namespace {

Fleet::Peer makePeer(const std::string &name, const std::string &address, Catalog::Revision known)
{
    Fleet::Peer peer;
    peer.record.id = Common::InstanceId(name);
    peer.record.region = Common::RegionName("home");
    peer.record.peerAddress = address;
    peer.record.knownRevision = known;
    peer.alive = true;
    peer.reachable = true;
    return peer;
}

std::string changesResponse(Catalog::Revision revision)
{
    Catalog::ItemChanges changes;
    changes.upTo = revision;
    const auto body = encodeItems(changes);
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// A peer that stops responding after announcing a revision must not block synchronization.
TEST(PeerSyncTest, AsksAnotherPeerWhenTheFirstDoesNotAnswer)
{
    std::atomic<bool> testDone = false;
    ScriptedServer silent({[&](tcp::socket &) {
        while (!testDone) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }});
    ScriptedServer answering({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, changesResponse(10));
        std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }});
    const std::vector<Fleet::Peer> peers = {makePeer("a", silent.address(), 10),
                                            makePeer("b", answering.address(), 10)};
    asio::io_context context;
    Catalog::Revision known = 1;
    PeerSync sync(std::make_shared<OutboundPool>(context),
                  SyncSource(Common::RegionName("home"), Common::FailureDomainName("home-a"), 1),
                  [&](const Catalog::ItemChanges &changes, const Common::InstanceId &) {
                      known = changes.upTo;
                  });
    const auto start = std::chrono::steady_clock::now();
    const auto elapsed = [start] { return std::chrono::steady_clock::now() - start; };
    while (known < 10 && elapsed() < Common::seconds(4)) {
        sync.tick(peers, known, true, std::chrono::steady_clock::now());
        context.restart();
        context.run_for(Common::milliseconds(10));
    }
    testDone = true;
    EXPECT_EQ(known, 10U);
    EXPECT_LT(elapsed(), Common::milliseconds(1300));
}

// Guards against an instance that keeps what comes without end from the address of another one.
TEST(PeerSyncTest, AnAnswerWithoutEndIsNotKept)
{
    constexpr std::size_t Megabyte = 1024 * 1024;
    std::atomic<std::size_t> sent = 0;
    ScriptedServer endless({[&sent](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\n");
        const std::string block(Megabyte, 'x');
        boost::system::error_code error;
        while (!error && sent < 100 * Megabyte) {
            sent += asio::write(socket, asio::buffer(block), error);
        }
    }});
    asio::io_context context;
    PeerSync sync(std::make_shared<OutboundPool>(context),
                  SyncSource(Common::RegionName("home"), Common::FailureDomainName("home-a"), 1),
                  [](const Catalog::ItemChanges &, const Common::InstanceId &) {});
    const auto end = std::chrono::steady_clock::now() + Common::seconds(1);
    while (std::chrono::steady_clock::now() < end) {
        sync.tick({makePeer("a", endless.address(), 10)}, 0, true,
                  std::chrono::steady_clock::now());
        context.restart();
        context.run_for(Common::milliseconds(10));
    }
    EXPECT_LT(sent, 24 * Megabyte);
}

} // namespace LaburnumChute::Relay
