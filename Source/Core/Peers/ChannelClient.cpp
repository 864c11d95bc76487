#include "Peers/ChannelClient.h"

#include <atomic>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace LaburnumChute::Peers {

namespace {

using asio::ip::tcp;

CallId nextCallId()
{
    static std::atomic<CallId> last{0};
    return ++last;
}

/// Connects, or fails with timed_out after the given time.
asio::awaitable<boost::system::error_code>
connectWithin(tcp::socket &socket, tcp::endpoint endpoint, Common::Duration time)
{
    asio::steady_timer timer(socket.get_executor());
    timer.expires_after(time);
    timer.async_wait([&socket](const boost::system::error_code &error) {
        boost::system::error_code ignored;
        if (!error) {
            socket.close(ignored);
        }
    });
    boost::system::error_code error;
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (timer.cancel() == 0 && !error) {
        // The timer has expired and its pending handler will close the socket; let it run first.
        co_await asio::post(socket.get_executor(), asio::use_awaitable);
        error = asio::error::timed_out;
    }
    co_return error;
}

} // namespace

OutgoingCall::OutgoingCall(std::shared_ptr<ChannelClient> client, CallId id,
                           const asio::any_io_executor &executor)
    : client_(std::move(client))
    , id_(id)
    , items_(executor)
{
}

OutgoingCall::~OutgoingCall()
{
    cancel();
}

asio::awaitable<std::optional<AnswerItem>> OutgoingCall::next(Common::Time deadline)
{
    auto numbered = co_await items_.pop(deadline);
    if (!numbered) {
        co_return std::nullopt;
    }
    ended_ = std::holds_alternative<AnswerEnd>(numbered->item)
             || std::holds_alternative<AnswerFailure>(numbered->item);
    client_->consumed(id_, numbered->number + 1);
    co_return std::move(numbered->item);
}

void OutgoingCall::cancel()
{
    if (!ended_) {
        ended_ = true;
        client_->cancel(id_);
        items_.close();
    }
}

void OutgoingCall::withdraw()
{
    if (!ended_) {
        client_->withdraw(id_);
    }
}

ChannelClient::ChannelClient(asio::io_context &context, ChannelOptions options, Hello self,
                             PeerAddress peer)
    : context_(context)
    , options_(options)
    , self_(std::move(self))
    , peer_(std::move(peer))
{
}

std::unique_ptr<OutgoingCall> ChannelClient::open(CallRequest request,
                                                  const asio::any_io_executor &executor)
{
    const auto id = nextCallId();
    std::unique_ptr<OutgoingCall> call(new OutgoingCall(shared_from_this(), id, executor));
    auto pending = std::make_shared<PendingCall>(call->items_);
    pending->request = std::move(request);
    asio::post(context_, [self = shared_from_this(), id, pending = std::move(pending)]() mutable {
        self->start(id, std::move(pending));
    });
    return call;
}

void ChannelClient::setAddress(std::string channel)
{
    asio::post(context_, [self = shared_from_this(), channel = std::move(channel)] {
        self->peer_.channel = channel;
    });
}

void ChannelClient::stop()
{
    asio::post(context_, [self = shared_from_this()] {
        self->stopped_ = true;
        if (self->connection_) {
            self->connection_->close("this instance stops");
        }
    });
}

void ChannelClient::start(CallId id, std::shared_ptr<PendingCall> call)
{
    call->detachedSince = std::chrono::steady_clock::now();
    const auto &entry = calls_[id] = std::move(call);
    if (helloReceived_) {
        sendCall(id, *entry);
    } else {
        ensureConnected();
    }
}

void ChannelClient::sendCall(CallId id, PendingCall &call)
{
    if (call.sent) {
        connection_->send(ResumeCall{id, call.nextItem});
        return;
    }
    call.sent = true;
    connection_->send(OpenCall{id, std::move(*call.request)});
    call.request.reset();
}

void ChannelClient::consumed(CallId id, std::uint64_t nextItem)
{
    asio::post(context_, [self = shared_from_this(), id, nextItem] {
        if (self->connection_) {
            self->connection_->send(Consumed{id, nextItem});
        }
    });
}

void ChannelClient::cancel(CallId id)
{
    asio::post(context_, [self = shared_from_this(), id] {
        if (self->calls_.erase(id) > 0 && self->connection_) {
            self->connection_->send(CancelCall{id});
        }
    });
}

void ChannelClient::withdraw(CallId id)
{
    asio::post(context_, [self = shared_from_this(), id] {
        const auto found = self->calls_.find(id);
        if (found == self->calls_.end()) {
            return;
        }
        const auto call = found->second;
        if (!call->sent) {
            self->fail(id, *call, "withdrawn before it was sent");
        } else if (self->connection_) {
            self->connection_->send(WithdrawCall{id});
        }
    });
}

void ChannelClient::ensureConnected()
{
    if (connecting_ || connection_ || stopped_) {
        return;
    }
    connecting_ = true;
    asio::co_spawn(
        context_, [self = shared_from_this()] { return self->connect(); }, asio::detached);
}

asio::awaitable<void> ChannelClient::connect()
{
    if (closedBeforeHello_) {
        co_await Async::sleepFor(options_.reconnectDelay);
    }
    while (!calls_.empty() && !stopped_) {
        tcp::socket socket(context_);
        const auto endpoint = Async::parseTcpAddress(peer_.channel);
        std::string reason = endpoint ? std::string() : endpoint.error().message;
        if (endpoint) {
            const auto error = co_await connectWithin(socket, *endpoint, options_.connectTimeout);
            reason = error ? error.message() : std::string();
        }
        if (reason.empty()) {
            connecting_ = false;
            startConnection(std::move(socket));
            co_return;
        }
        failUnresumableCalls("no connection to " + peer_.instance.text() + ": " + reason);
        co_await Async::sleepFor(options_.reconnectDelay);
    }
    connecting_ = false;
}

void ChannelClient::startConnection(tcp::socket socket)
{
    connection_ = std::make_shared<ChannelConnection>(std::move(socket), options_);
    const std::weak_ptr<ChannelClient> weak = weak_from_this();
    ChannelConnection::Handlers handlers;
    handlers.frame = [weak](Frame frame) {
        if (const auto self = weak.lock()) {
            self->receive(std::move(frame));
        }
    };
    handlers.closed = [weak](const std::string &reason) {
        if (const auto self = weak.lock()) {
            self->connectionClosed(reason);
        }
    };
    connection_->start(std::move(handlers));
    connection_->send(self_);
}

void ChannelClient::connectionClosed(const std::string &reason)
{
    Common::log(Common::LogType::Peers, Common::LogLevel::Info,
                "channel to {} closed with {} calls open: {}", peer_.instance, calls_.size(),
                reason);
    connection_.reset();
    closedBeforeHello_ = !helloReceived_;
    if (helloReceived_) {
        const auto now = std::chrono::steady_clock::now();
        for (const auto &entry : calls_) {
            entry.second->detachedSince = now;
        }
    }
    helloReceived_ = false;
    if (closedBeforeHello_) {
        failUnresumableCalls(peer_.instance.text() + " does not answer: " + reason);
    }
    ensureConnected();
}

void ChannelClient::sendAllCalls()
{
    for (const auto &entry : calls_) {
        sendCall(entry.first, *entry.second);
    }
}

void ChannelClient::receive(Frame frame)
{
    if (std::holds_alternative<Hello>(frame)) {
        helloReceived_ = true;
        sendAllCalls();
    } else if (auto *item = std::get_if<CallItem>(&frame)) {
        receiveItem(std::move(*item));
    }
}

void ChannelClient::receiveItem(CallItem item)
{
    const auto found = calls_.find(item.call);
    if (found == calls_.end()) {
        return;
    }
    auto &call = *found->second;
    if (item.number < call.nextItem) {
        // Sent again after a resume although it had already arrived.
        return;
    }
    if (item.number > call.nextItem) {
        fail(item.call, call, "a part of the answer is missing");
        connection_->send(CancelCall{item.call});
        return;
    }
    ++call.nextItem;
    const bool last = std::holds_alternative<AnswerEnd>(item.item)
                      || std::holds_alternative<AnswerFailure>(item.item);
    call.items.push({item.number, std::move(item.item)});
    if (last) {
        calls_.erase(found);
    }
}

void ChannelClient::fail(CallId id, PendingCall &call, const std::string &detail)
{
    AnswerFailure failure;
    failure.status = 503;
    failure.code = Common::ErrorCode::Unavailable;
    failure.run = call.sent ? Common::RunState::Unknown : Common::RunState::NotRun;
    failure.detail = detail;
    call.items.push({call.nextItem, std::move(failure)});
    calls_.erase(id);
}

void ChannelClient::failUnresumableCalls(const std::string &reason)
{
    const auto now = std::chrono::steady_clock::now();
    const auto calls = calls_;
    for (const auto &entry : calls) {
        auto &call = *entry.second;
        if (!call.sent || now - call.detachedSince > options_.resumeWindow) {
            fail(entry.first, call, reason);
        }
    }
}

} // namespace LaburnumChute::Peers
