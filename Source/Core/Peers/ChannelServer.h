#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Common/Common.h"
#include "Peers/ChannelConnection.h"
#include "Peers/ChannelFrames.h"

namespace LaburnumChute::Peers {

/// The server side of a call. Used on the server's context. Buffers the parts of the answer that
/// the caller has not consumed, so that the call can be resumed.
class IncomingCall
{
public:
    IncomingCall(asio::io_context &context, ChannelOptions options, CallId id, Hello caller,
                 CallRequest request);

    const CallRequest &request() const
    {
        return request_;
    }
    const Hello &caller() const
    {
        return caller_;
    }

    /// Called once, when the caller cancels the call or has no connection for longer than the
    /// resume window.
    void onGone(std::function<void()> callback)
    {
        onGone_ = std::move(callback);
    }
    bool gone() const
    {
        return gone_;
    }
    /// Called once, when the request is not wanted any more unless it has begun; at once if that is
    /// known already.
    void onWithdrawn(std::function<void()> callback);

    /// Sends a part, waiting while the window is full. Returns false if the caller is gone.
    asio::awaitable<bool> send(AnswerItem item);

private:
    friend class ChannelServer;

    struct BufferedItem
    {
        std::uint64_t number = 0;
        std::size_t bytes = 0;
        AnswerItem item;
    };

    void attach(std::shared_ptr<ChannelConnection> connection, std::uint64_t nextItem);
    void detach(Common::Time now);
    void consumed(std::uint64_t nextItem);
    void markGone();
    void markWithdrawn();
    bool finished() const
    {
        return ended_ && bufferedItems_.empty();
    }

    ChannelOptions options_;
    CallId id_;
    Hello caller_;
    CallRequest request_;
    std::shared_ptr<ChannelConnection> connection_;
    std::function<void()> onGone_;
    std::function<void()> onWithdrawn_;
    asio::steady_timer windowSignal_;
    std::deque<BufferedItem> bufferedItems_;
    std::size_t bufferedBytes_ = 0;
    std::uint64_t nextNumber_ = 0;
    Common::Time detachedSince_;
    bool ended_ = false;
    bool gone_ = false;
    bool withdrawn_ = false;
};

/// Accepts connections from peers and passes each call to a handler coroutine. All state is
/// accessed on the context's single thread.
class ChannelServer
{
public:
    using Handler = std::function<asio::awaitable<void>(std::shared_ptr<IncomingCall>)>;

    ChannelServer(asio::io_context &context, ChannelOptions options, Hello self, Handler handler);

    /// Binds "ip:port" (port 0: any free port) and accepts connections. Returns the bound address.
    Common::Result<std::string> listen(const std::string &address);

    /// Number of calls, including those whose answer the caller has not consumed.
    std::int64_t calls() const
    {
        return callCount_;
    }
    /// From now on new calls are answered as not run.
    void rejectCalls()
    {
        rejecting_ = true;
    }
    /// Bytes of frames that the kernel has not taken. Only from the server's context.
    std::size_t unsentBytes() const;

private:
    /// Identifies a call by the caller's incarnation and its call ID.
    struct CallKey
    {
        Common::InstanceId instance;
        Common::Incarnation incarnation = 0;
        CallId call = 0;

        auto operator<=>(const CallKey &) const = default; // NOLINT(modernize-use-nullptr)
    };
    struct Peer
    {
        std::shared_ptr<ChannelConnection> connection;
        Hello hello;
        bool helloReceived = false;
    };

    asio::awaitable<void> accept();
    void startConnection(asio::ip::tcp::socket socket);
    void receive(Peer &peer, Frame frame);
    void openCall(const Peer &peer, OpenCall open);
    void resumeCall(const Peer &peer, const ResumeCall &resume);
    asio::awaitable<void> run(CallKey key, std::shared_ptr<IncomingCall> call);
    void connectionClosed(const Peer &peer);
    asio::awaitable<void> expireDetachedCalls();
    CallKey keyOf(const Peer &peer, CallId call) const;

    asio::io_context &context_;
    ChannelOptions options_;
    Hello self_;
    Handler handler_;
    asio::ip::tcp::acceptor acceptor_;
    std::map<CallKey, std::shared_ptr<IncomingCall>> calls_;
    std::set<std::shared_ptr<ChannelConnection>> connections_;
    /// Those whose peer has not said who it is, from the oldest on.
    std::vector<std::shared_ptr<ChannelConnection>> unknownPeers_;
    std::atomic<std::int64_t> callCount_{0};
    std::atomic<bool> rejecting_{false};
};

} // namespace LaburnumChute::Peers
