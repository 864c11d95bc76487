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

/// Where a peer is reached, and which life of it is meant.
struct PeerAddress
{
    Common::InstanceId instance;
    /// "ip:port".
    std::string channel;
};

class ChannelClient;

/// The calling end of a call. Belongs to one coroutine on the executor given at its opening.
class OutgoingCall
{
public:
    ~OutgoingCall();
    OutgoingCall(const OutgoingCall &) = delete;
    OutgoingCall &operator=(const OutgoingCall &) = delete;

    /// The next part of the answer; after AnswerEnd or AnswerFailure nothing more comes. At the
    /// deadline: nothing.
    asio::awaitable<std::optional<AnswerItem>> next(Common::Time deadline = Common::Time::max());
    void cancel();

private:
    friend class ChannelClient;

    struct Numbered
    {
        std::uint64_t number = 0;
        AnswerItem item;
    };

    OutgoingCall(std::shared_ptr<ChannelClient> client, CallId id,
                 const asio::any_io_executor &executor);

    std::shared_ptr<ChannelClient> client_;
    CallId id_;
    Async::AsyncQueue<Numbered> items_;
    bool ended_ = false;
};

/// Calls to one peer over one connection, made anew when it breaks. A call outlives its connection
/// for the resume window: what was not yet received is asked for again, by number, so that no part
/// of an answer is lost or given twice.
class ChannelClient : public std::enable_shared_from_this<ChannelClient>
{
public:
    /// All state lives on the context's one thread; open() may be called from any.
    ChannelClient(asio::io_context &context, ChannelOptions options, Hello self, PeerAddress peer);

    /// Starts a call whose answer is read on the executor.
    std::unique_ptr<OutgoingCall> open(CallRequest request, const asio::any_io_executor &executor);
    /// The peer is reached elsewhere from now on.
    void setAddress(std::string channel);
    void stop();

private:
    friend class OutgoingCall;

    struct PendingCall
    {
        explicit PendingCall(Async::AsyncQueue<OutgoingCall::Numbered> queue)
            : items(std::move(queue))
        {
        }

        Async::AsyncQueue<OutgoingCall::Numbered> items;
        std::optional<CallRequest> request;
        std::uint64_t nextItem = 0;
        /// True once bytes of the request may have left.
        bool sent = false;
        Common::Time detachedSince;
    };

    void start(CallId id, std::shared_ptr<PendingCall> call);
    void consumed(CallId id, std::uint64_t nextItem);
    void cancel(CallId id);
    void ensureConnected();
    asio::awaitable<void> connect();
    void adopt(asio::ip::tcp::socket socket);
    void sendCall(CallId id, PendingCall &call);
    void receive(Frame frame);
    void receiveItem(CallItem item);
    void connectionClosed(const std::string &reason);
    void sendAllCalls();
    void fail(CallId id, PendingCall &call, const std::string &detail);
    /// Fails the calls that nothing has been sent of, and those detached for too long.
    void failStranded(const std::string &reason);

    asio::io_context &context_;
    ChannelOptions options_;
    Hello self_;
    PeerAddress peer_;
    std::shared_ptr<ChannelConnection> connection_;
    std::map<CallId, std::shared_ptr<PendingCall>> calls_;
    bool connecting_ = false;
    /// The peer has greeted on this connection. Nothing else is sent before: what accepts a
    /// connection may be a relay whose far side is gone, and a request handed to it could no more
    /// be said not to have run.
    bool greeted_ = false;
    /// The last connection closed without a greeting.
    bool ungreeted_ = false;
    bool stopped_ = false;
};

} // namespace LaburnumChute::Peers
