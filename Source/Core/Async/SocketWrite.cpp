#include "Async/SocketWrite.h"

#include <linux/sockios.h>
#include <memory>
#include <poll.h>
#include <sys/ioctl.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace LaburnumChute::Async {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// A check detects a stall this much of the time limit too late at most.
constexpr int ChecksPerLimit = 4;
constexpr Common::milliseconds AcknowledgementPoll{10};

/// Cancels the operations of a socket whose peer acknowledges nothing.
class StallWatch : public std::enable_shared_from_this<StallWatch>
{
public:
    StallWatch(tcp::socket &socket, Common::Duration limit)
        : socket_(&socket)
        , timer_(socket.get_executor())
        , limit_(limit)
        , lastProgress_(std::chrono::steady_clock::now())
        , left_(unacknowledgedBytes(socket))
    {
    }

    void start()
    {
        timer_.expires_after(limit_ / ChecksPerLimit);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->socket_ != nullptr) {
                self->check();
            }
        });
    }
    void stop()
    {
        socket_ = nullptr;
        timer_.cancel();
    }
    bool stalled() const
    {
        return stalled_;
    }

private:
    void check()
    {
        const auto now = std::chrono::steady_clock::now();
        const auto left = unacknowledgedBytes(*socket_);
        if (left < left_ || left == 0) {
            lastProgress_ = now;
        }
        left_ = left;
        if (now - lastProgress_ < limit_) {
            start();
            return;
        }
        stalled_ = true;
        boost::system::error_code ignored;
        socket_->cancel(ignored);
    }

    /// Null once the watch has been stopped.
    tcp::socket *socket_;
    asio::steady_timer timer_;
    Common::Duration limit_;
    Common::Time lastProgress_;
    std::size_t left_;
    bool stalled_ = false;
};

bool wasReset(tcp::socket &socket)
{
    pollfd descriptor{socket.native_handle(), 0, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLERR | POLLHUP)) != 0;
}

} // namespace

std::size_t unacknowledgedBytes(tcp::socket &socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0
               ? static_cast<std::size_t>(bytes)
               : 0;
}

DeliveryState deliveryState(tcp::socket &socket)
{
    if (wasReset(socket)) {
        return DeliveryState::Reset;
    }
    return unacknowledgedBytes(socket) > 0 ? DeliveryState::Pending : DeliveryState::Acknowledged;
}

asio::awaitable<boost::system::error_code> waitUntilAcknowledged(tcp::socket &socket,
                                                                 Common::Time deadline)
{
    asio::steady_timer timer(socket.get_executor());
    auto state = deliveryState(socket);
    while (state == DeliveryState::Pending && std::chrono::steady_clock::now() < deadline) {
        timer.expires_after(AcknowledgementPoll);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        state = deliveryState(socket);
    }
    boost::system::error_code result;
    if (state == DeliveryState::Reset) {
        result = asio::error::connection_reset;
    } else if (state == DeliveryState::Pending) {
        result = asio::error::timed_out;
    }
    co_return result;
}

asio::awaitable<boost::system::error_code> waitUntilWritable(tcp::socket &socket,
                                                             Common::Duration stallLimit)
{
    const auto watch = std::make_shared<StallWatch>(socket, stallLimit);
    watch->start();
    boost::system::error_code error;
    co_await socket.async_wait(tcp::socket::wait_write,
                               asio::redirect_error(asio::use_awaitable, error));
    watch->stop();
    co_return watch->stalled() ? asio::error::timed_out : error;
}

} // namespace LaburnumChute::Async
