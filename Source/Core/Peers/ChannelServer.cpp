#include "Peers/ChannelServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Async/Async.h"

namespace LaburnumChute::Peers {

namespace {

using asio::ip::tcp;

constexpr Common::milliseconds SweepInterval{500};
constexpr Common::milliseconds DeliveryPollInterval{50};
constexpr Common::milliseconds AcceptRetryDelay{50};
/// Size of the first frame of a peer, which only says who it is.
constexpr std::size_t HelloLimitBytes = 4096;

std::size_t payloadBytes(const AnswerItem &item)
{
    const auto *piece = std::get_if<AnswerPiece>(&item);
    return piece != nullptr ? piece->bytes.size() : 0;
}

} // namespace

IncomingCall::IncomingCall(asio::io_context &context, ChannelOptions options, CallId id,
                           Hello caller, CallRequest request)
    : options_(options)
    , id_(id)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , windowSignal_(context)
{
}

asio::awaitable<bool> IncomingCall::send(AnswerItem item)
{
    while (!gone_ && bufferedBytes_ >= options_.windowBytes) {
        boost::system::error_code ignored;
        windowSignal_.expires_at(Common::Time::max());
        co_await windowSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (gone_) {
        co_return false;
    }
    const auto bytes = payloadBytes(item);
    bufferedBytes_ += bytes;
    ended_ = std::holds_alternative<AnswerEnd>(item) || std::holds_alternative<AnswerFailure>(item);
    bufferedItems_.push_back({nextNumber_, bytes, std::move(item)});
    ++nextNumber_;
    if (connection_) {
        connection_->send(CallItem{id_, bufferedItems_.back().number, bufferedItems_.back().item});
    }
    co_return true;
}

void IncomingCall::attach(std::shared_ptr<ChannelConnection> connection, std::uint64_t nextItem)
{
    connection_ = std::move(connection);
    consumed(nextItem);
    for (const auto &buffered : bufferedItems_) {
        connection_->send(CallItem{id_, buffered.number, buffered.item});
    }
}

void IncomingCall::detach(Common::Time now)
{
    connection_.reset();
    detachedSince_ = now;
}

void IncomingCall::consumed(std::uint64_t nextItem)
{
    while (!bufferedItems_.empty() && bufferedItems_.front().number < nextItem) {
        bufferedBytes_ -= bufferedItems_.front().bytes;
        bufferedItems_.pop_front();
    }
    windowSignal_.cancel();
}

void IncomingCall::markGone()
{
    if (gone_) {
        return;
    }
    gone_ = true;
    bufferedItems_.clear();
    windowSignal_.cancel();
    if (onGone_) {
        onGone_();
    }
}

void IncomingCall::onWithdrawn(std::function<void()> callback)
{
    if (withdrawn_) {
        callback();
    } else {
        onWithdrawn_ = std::move(callback);
    }
}

void IncomingCall::markWithdrawn()
{
    if (std::exchange(withdrawn_, true)) {
        return;
    }
    if (onWithdrawn_) {
        onWithdrawn_();
    }
}

ChannelServer::ChannelServer(asio::io_context &context, ChannelOptions options, Hello self,
                             Handler handler)
    : context_(context)
    , options_(options)
    , self_(std::move(self))
    , handler_(std::move(handler))
    , acceptor_(context)
{
}

Common::Result<std::string> ChannelServer::listen(const std::string &address)
{
    auto bound = Async::listenOn(acceptor_, address);
    if (bound) {
        asio::co_spawn(context_, accept(), asio::detached);
        asio::co_spawn(context_, expireDetachedCalls(), asio::detached);
    }
    return bound;
}

asio::awaitable<void> ChannelServer::accept()
{
    while (acceptor_.is_open()) {
        boost::system::error_code error;
        auto socket =
            co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_await Async::sleepFor(AcceptRetryDelay);
            continue;
        }
        if (unknownPeers_.size() >= options_.unknownPeerLimit) {
            const auto oldest = unknownPeers_.front();
            oldest->close("too many peers have not said who they are");
        }
        startConnection(std::move(socket));
    }
}

void ChannelServer::startConnection(tcp::socket socket)
{
    const auto peer = std::make_shared<Peer>();
    peer->connection = std::make_shared<ChannelConnection>(std::move(socket), options_);
    peer->connection->setFrameLimit(HelloLimitBytes);
    connections_.insert(peer->connection);
    unknownPeers_.push_back(peer->connection);
    ChannelConnection::Handlers handlers;
    handlers.frame = [this, peer](Frame frame) { receive(*peer, std::move(frame)); };
    handlers.closed = [this, peer](const std::string &) { connectionClosed(*peer); };
    peer->connection->start(std::move(handlers));
    peer->connection->send(self_);
}

std::size_t ChannelServer::unsentBytes() const
{
    std::size_t bytes = 0;
    for (const auto &connection : connections_) {
        bytes += connection->unsentBytes();
    }
    return bytes;
}

ChannelServer::CallKey ChannelServer::keyOf(const Peer &peer, CallId call) const
{
    return {peer.hello.instance, peer.hello.incarnation, call};
}

void ChannelServer::receive(Peer &peer, Frame frame)
{
    if (const auto *hello = std::get_if<Hello>(&frame)) {
        peer.hello = *hello;
        peer.helloReceived = true;
        peer.connection->setFrameLimit(FrameLimitBytes);
        std::erase(unknownPeers_, peer.connection);
        return;
    }
    if (!peer.helloReceived) {
        peer.connection->close("the peer did not say who it is");
        return;
    }
    if (auto *open = std::get_if<OpenCall>(&frame)) {
        openCall(peer, std::move(*open));
        return;
    }
    if (const auto *resume = std::get_if<ResumeCall>(&frame)) {
        resumeCall(peer, *resume);
        return;
    }
    if (const auto *cancel = std::get_if<CancelCall>(&frame)) {
        const auto found = calls_.find(keyOf(peer, cancel->call));
        if (found != calls_.end()) {
            found->second->markGone();
        }
        return;
    }
    if (const auto *withdraw = std::get_if<WithdrawCall>(&frame)) {
        const auto found = calls_.find(keyOf(peer, withdraw->call));
        if (found != calls_.end()) {
            found->second->markWithdrawn();
        }
        return;
    }
    if (const auto *progress = std::get_if<Consumed>(&frame)) {
        const auto found = calls_.find(keyOf(peer, progress->call));
        if (found != calls_.end()) {
            found->second->consumed(progress->nextItem);
        }
    }
}

void ChannelServer::openCall(const Peer &peer, OpenCall open)
{
    const auto key = keyOf(peer, open.call);
    if (calls_.count(key) > 0) {
        return;
    }
    if (rejecting_) {
        AnswerFailure failure;
        failure.status = 503;
        failure.code = Common::ErrorCode::Unavailable;
        failure.run = Common::RunState::NotRun;
        failure.detail = "this instance has stopped serving";
        peer.connection->send(CallItem{open.call, 0, failure});
        return;
    }
    const auto call = std::make_shared<IncomingCall>(context_, options_, open.call, peer.hello,
                                                     std::move(open.request));
    call->connection_ = peer.connection;
    calls_[key] = call;
    callCount_ = static_cast<std::int64_t>(calls_.size());
    asio::co_spawn(context_, run(key, call), asio::detached);
}

void ChannelServer::resumeCall(const Peer &peer, const ResumeCall &resume)
{
    const auto found = calls_.find(keyOf(peer, resume.call));
    if (found != calls_.end()) {
        found->second->attach(peer.connection, resume.nextItem);
        return;
    }
    // The call may have run here and been removed, or this may be a later incarnation of the
    // instance.
    AnswerFailure failure;
    failure.status = 503;
    failure.code = Common::ErrorCode::Unavailable;
    failure.run = Common::RunState::Unknown;
    failure.detail = "the call is not known here any more";
    peer.connection->send(CallItem{resume.call, resume.nextItem, failure});
}

asio::awaitable<void> ChannelServer::run(CallKey key, std::shared_ptr<IncomingCall> call)
{
    co_await handler_(call);
    // The last parts may still be on their way, or have to be sent again after a reconnect. A peer
    // that is silent or has no connection is given up by the connection and the sweep.
    while (!call->gone() && !call->finished()) {
        co_await Async::sleepFor(DeliveryPollInterval);
    }
    calls_.erase(key);
    callCount_ = static_cast<std::int64_t>(calls_.size());
}

void ChannelServer::connectionClosed(const Peer &peer)
{
    connections_.erase(peer.connection);
    std::erase(unknownPeers_, peer.connection);
    const auto now = std::chrono::steady_clock::now();
    for (const auto &entry : calls_) {
        if (entry.second->connection_ == peer.connection) {
            entry.second->detach(now);
        }
    }
}

asio::awaitable<void> ChannelServer::expireDetachedCalls()
{
    while (true) {
        co_await Async::sleepFor(SweepInterval);
        const auto now = std::chrono::steady_clock::now();
        const auto calls = calls_;
        for (const auto &entry : calls) {
            auto &call = *entry.second;
            if (!call.connection_ && now - call.detachedSince_ > options_.resumeWindow) {
                call.markGone();
            }
        }
    }
}

} // namespace LaburnumChute::Peers
