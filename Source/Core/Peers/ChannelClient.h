#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "Async/Async.h"
#include "Common/Common.h"
#include "Peers/ChannelConnection.h"
#include "Peers/ChannelFrames.h"

namespace LaburnumChute::Peers {

/// A peer and the address of its channel server.
struct PeerAddress
{
    Common::InstanceId instance;
    /// "ip:port".
    std::string channel;
};

class ChannelClient;

/// The client side of a call. Used by one coroutine on the executor passed to
/// ChannelClient::open().
class OutgoingCall
{
public:
    ~OutgoingCall();
    OutgoingCall(const OutgoingCall &) = delete;
    OutgoingCall &operator=(const OutgoingCall &) = delete;

    /// Returns the next part of the answer, or nullopt at the deadline. AnswerEnd or AnswerFailure
    /// is the last part.
    asio::awaitable<std::optional<AnswerItem>> next(Common::Time deadline = Common::Time::max());
    void cancel();
    /// Asks the peer to end the request unless it has begun. The next part of the answer tells.
    void withdraw();

private:
    friend class ChannelClient;

    struct NumberedItem
    {
        std::uint64_t number = 0;
        AnswerItem item;
    };

    OutgoingCall(std::shared_ptr<ChannelClient> client, CallId id,
                 const asio::any_io_executor &executor);

    std::shared_ptr<ChannelClient> client_;
    CallId id_;
    Async::AsyncQueue<NumberedItem> items_;
    bool ended_ = false;
};

/// Multiplexes calls to one peer over one connection and reconnects when it breaks. A call survives
/// its connection for the resume window: parts not yet received are requested again by number, so
/// that no part of an answer is lost or delivered twice.
class ChannelClient : public std::enable_shared_from_this<ChannelClient>
{
public:
    /// All state is accessed on the context's single thread; open() may be called from any thread.
    ChannelClient(asio::io_context &context, ChannelOptions options, Hello self, PeerAddress peer);

    /// Starts a call whose answer is consumed on the executor.
    std::unique_ptr<OutgoingCall> open(CallRequest request, const asio::any_io_executor &executor);
    /// Sets the address for subsequent connections.
    void setAddress(std::string channel);
    void stop();

private:
    friend class OutgoingCall;

    struct PendingCall
    {
        explicit PendingCall(Async::AsyncQueue<OutgoingCall::NumberedItem> queue)
            : items(std::move(queue))
        {
        }

        Async::AsyncQueue<OutgoingCall::NumberedItem> items;
        std::optional<CallRequest> request;
        std::uint64_t nextItem = 0;
        /// True once bytes of the request may have been sent.
        bool sent = false;
        Common::Time detachedSince;
    };

    void start(CallId id, std::shared_ptr<PendingCall> call);
    void consumed(CallId id, std::uint64_t nextItem);
    void cancel(CallId id);
    void withdraw(CallId id);
    void ensureConnected();
    asio::awaitable<void> connect();
    void startConnection(asio::ip::tcp::socket socket);
    void sendCall(CallId id, PendingCall &call);
    void receive(Frame frame);
    void receiveItem(CallItem item);
    void connectionClosed(const std::string &reason);
    void sendAllCalls();
    void fail(CallId id, PendingCall &call, const std::string &detail);
    /// Fails the calls whose request has not been sent, and those without a connection for longer
    /// than the resume window.
    void failUnresumableCalls(const std::string &reason);

    asio::io_context &context_;
    ChannelOptions options_;
    Hello self_;
    PeerAddress peer_;
    std::shared_ptr<ChannelConnection> connection_;
    std::map<CallId, std::shared_ptr<PendingCall>> calls_;
    bool connecting_ = false;
    /// True once the peer's Hello has arrived on this connection. No request is sent before that:
    /// the connection may have been accepted by a relay whose target is down, and a request sent to
    /// it could no longer be reported as not run.
    bool helloReceived_ = false;
    /// True if the last connection closed before the peer sent its Hello.
    bool closedBeforeHello_ = false;
    bool stopped_ = false;
};

} // namespace LaburnumChute::Peers
