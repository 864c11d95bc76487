#include <future>

#include <gtest/gtest.h>

#include "Relay/EndCheck.h"
#include "Relay/HttpText.h"
#include "Relay/SteadyNow.h"
#include "Sockets.h"

namespace LaburnumChute::Relay {

namespace {

constexpr std::string_view Sender = "HTTP/1.1 200 OK\r\nSender: 1\r\nContent-Length: 0\r\n\r\n";
constexpr std::string_view Other = "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n";

void answerWith(tcp::socket &socket, std::string_view answer)
{
    ScriptedServer::readHead(socket);
    asio::write(socket, asio::buffer(answer));
}

} // namespace

class EndCheckTest : public testing::Test
{
protected:
    /// @param answer the call whose answer is checked; its connection stays open
    void begin(const std::string &address, std::shared_ptr<OutboundCall> answer = nullptr)
    {
        OutboundRequest request;
        request.address = address;
        request.head = requestHead("GET", "/health", {{"Host", "h"}});
        request.body = std::make_shared<const std::string>();
        check_ = std::make_shared<EndCheck>(
            pool_, request,
            [](const ResponseHead &head) {
                return Common::findHeader(head.headers, "Sender") != nullptr;
            },
            answer, [this](EndCheckResult result) { result_ = result; });
        check_->start(steadyNow());
    }

    void runFor(Common::milliseconds time)
    {
        context_.restart();
        context_.run_for(time);
    }

    std::optional<EndCheckResult> end(bool stoodStill = false)
    {
        check_->answerEnded(stoodStill, steadyNow());
        const auto until = steadyNow() + Common::seconds(3);
        while (!result_ && steadyNow() < until) {
            runFor(Common::milliseconds(5));
            check_->tick(steadyNow());
        }
        check_.reset();
        return result_;
    }

    asio::io_context context_;
    std::shared_ptr<OutboundPool> pool_ = std::make_shared<OutboundPool>(context_);
    std::shared_ptr<EndCheck> check_;
    std::optional<EndCheckResult> result_;
};

TEST_F(EndCheckTest, AnEndpointThatAnswersAfterTheEndRunsAndItsConnectionIsKept)
{
    ScriptedServer server({[](tcp::socket &socket) {
        answerWith(socket, Sender);
        answerWith(socket, Sender);
        ScriptedServer::readHead(socket);
    }});
    begin(server.address());
    runFor(Common::milliseconds(100));
    EXPECT_EQ(end(), EndCheckResult::Running);
    EXPECT_EQ(pool_->idleCount(), 1U);
    // Closes the connection, which the script of the server waits for.
    pool_.reset();
}

TEST_F(EndCheckTest, AClosedPortMeansThatTheEndpointHasEnded)
{
    std::string address;
    {
        ScriptedServer server({});
        address = server.address();
    }
    begin(address);
    runFor(Common::milliseconds(50));
    EXPECT_EQ(end(), EndCheckResult::Ended);
}

// Guards against taking whatever accepts connections at the address for the sender of the answer.
TEST_F(EndCheckTest, AnotherEndpointAtTheAddressIsFound)
{
    ScriptedServer server({[](tcp::socket &socket) {
                               answerWith(socket, Other);
                               answerWith(socket, Other);
                           },
                           [](tcp::socket &socket) { answerWith(socket, Other); }});
    begin(server.address());
    runFor(Common::milliseconds(50));
    EXPECT_EQ(end(), EndCheckResult::Replaced);
}

// Guards against taking a check that shows nothing for one that shows the end.
TEST_F(EndCheckTest, AnEndpointThatDoesNotAnswerShowsNothing)
{
    ScriptedServer server({[](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::readHead(socket);
    }});
    begin(server.address());
    EXPECT_EQ(end(), EndCheckResult::Unanswered);
    pool_.reset();
}

TEST_F(EndCheckTest, AnAddressThatCannotBeUsedShowsNothing)
{
    begin("not an address");
    EXPECT_EQ(end(), EndCheckResult::Unanswered);
}

// Guards against MIXED: the endpoint resets the connection after it has ended its answer, so the
// answer was broken off.
TEST_F(EndCheckTest, AResetBehindTheEndOfTheAnswerIsFound)
{
    std::promise<void> ended;
    ScriptedServer answering({[&ended](tcp::socket &socket) {
        ScriptedServer::readHead(socket);
        ScriptedServer::write(socket, "HTTP/1.1 200 OK\r\n\r\npart");
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        ended.get_future().wait();
        ScriptedServer::reset(socket);
    }});
    OutboundRequest request;
    request.address = answering.address();
    request.head = requestHead("GET", "/", {{"Host", "h"}});
    request.body = std::make_shared<const std::string>();
    bool whole = false;
    CallEvents events;
    events.head = [](const ResponseHead &) { return true; };
    events.body = [](const std::string &) {};
    events.end = [&whole](ResponseEnd) { whole = true; };
    const auto answer = std::make_shared<OutboundCall>(pool_, request, events);
    answer->start(steadyNow());
    ScriptedServer server({[](tcp::socket &socket) {
        answerWith(socket, Sender);
        answerWith(socket, Sender);
    }});
    begin(server.address(), answer);
    runFor(Common::milliseconds(100));
    EXPECT_TRUE(whole);
    ended.set_value();
    // The reset arrives.
    runFor(Common::milliseconds(50));
    EXPECT_EQ(end(), EndCheckResult::Reset);
    pool_.reset();
}

// Guards against an endpoint that has started under the id of its predecessor while this process
// did not run.
TEST_F(EndCheckTest, AnIdShowsNothingIfTheTimeOfTheEndIsUnknown)
{
    ScriptedServer server({[](tcp::socket &socket) { answerWith(socket, Sender); }});
    begin(server.address());
    EXPECT_EQ(end(true), EndCheckResult::Unanswered);
    pool_.reset();
}

} // namespace LaburnumChute::Relay
