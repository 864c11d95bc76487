#include "Peers/ChannelConnection.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace LaburnumChute::Peers {

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;

} // namespace

ChannelConnection::ChannelConnection(asio::ip::tcp::socket socket, ChannelOptions options)
    : socket_(std::move(socket))
    , options_(options)
    , writeSignal_(socket_.get_executor())
    , keepaliveTimer_(socket_.get_executor())
    , lastReceived_(std::chrono::steady_clock::now())
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ChannelConnection::start(Handlers handlers)
{
    handlers_ = std::move(handlers);
    const auto executor = socket_.get_executor();
    const auto self = shared_from_this();
    asio::co_spawn(
        executor, [self] { return self->readLoop(); }, asio::detached);
    asio::co_spawn(
        executor, [self] { return self->writeLoop(); }, asio::detached);
    asio::co_spawn(
        executor, [self] { return self->keepaliveLoop(); }, asio::detached);
}

void ChannelConnection::send(const Frame &frame)
{
    if (closed_) {
        return;
    }
    writeQueue_.push_back(encodeFrame(frame));
    unsentBytes_ += writeQueue_.back().size();
    writeSignal_.cancel();
}

void ChannelConnection::close(const std::string &reason)
{
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    writeSignal_.cancel();
    keepaliveTimer_.cancel();
    // The handlers may own the owner of this connection; releasing them breaks the cycle.
    const auto handlers = std::exchange(handlers_, {});
    if (handlers.closed) {
        handlers.closed(reason);
    }
}

asio::awaitable<void> ChannelConnection::readInto(std::string &bytes, std::size_t size,
                                                  boost::system::error_code &error)
{
    bytes.clear();
    while (!error && bytes.size() < size) {
        // Memory is taken as bytes arrive: a length alone costs nothing.
        const auto have = bytes.size();
        bytes.resize(std::min(size, have + ReadBytes));
        const auto read = co_await socket_.async_read_some(
            asio::buffer(bytes) + have, asio::redirect_error(asio::use_awaitable, error));
        bytes.resize(have + read);
        // A part of a frame is a sign of life as well: a large one takes seconds on a slow link.
        lastReceived_ = std::chrono::steady_clock::now();
    }
}

asio::awaitable<void> ChannelConnection::readLoop()
{
    const auto self = shared_from_this();
    std::string bytes;
    while (!closed_) {
        boost::system::error_code error;
        co_await readInto(bytes, FrameLengthBytes, error);
        const auto length = error ? 0 : decodeFrameLength(bytes);
        if (!error && length <= frameLimit_) {
            co_await readInto(bytes, length, error);
        }
        if (error || length > frameLimit_) {
            close(error ? error.message() : "a frame is too large");
            co_return;
        }
        auto frame = decodeFrame(bytes);
        if (!frame) {
            close(frame.error().message);
            co_return;
        }
        if (std::holds_alternative<Ping>(*frame)) {
            send(Pong());
        } else if (handlers_.frame) {
            handlers_.frame(std::move(*frame));
        }
    }
}

asio::awaitable<void> ChannelConnection::writeLoop()
{
    const auto self = shared_from_this();
    while (!closed_) {
        boost::system::error_code error;
        if (writeQueue_.empty()) {
            writeSignal_.expires_at(Common::Time::max());
            co_await writeSignal_.async_wait(asio::redirect_error(asio::use_awaitable, error));
            continue;
        }
        const auto bytes = std::move(writeQueue_.front());
        writeQueue_.pop_front();
        bytesSent_ += bytes.size();
        co_await asio::async_write(socket_, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        unsentBytes_ -= bytes.size();
        if (error) {
            close(error.message());
        }
    }
}

asio::awaitable<void> ChannelConnection::keepaliveLoop()
{
    const auto self = shared_from_this();
    auto lastTick = std::chrono::steady_clock::now();
    while (!closed_) {
        boost::system::error_code error;
        keepaliveTimer_.expires_after(options_.pingAfter / 2);
        co_await keepaliveTimer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
        const auto now = std::chrono::steady_clock::now();
        // After this process was paused, frames from the peer are still unread in the kernel's
        // buffer, so the peer must not be considered silent before they have been read.
        if (now - lastTick > options_.pingAfter) {
            lastReceived_ = now;
        }
        lastTick = now;
        const auto silence = now - lastReceived_;
        if (silence > options_.silenceTimeout) {
            close("the peer is silent");
        } else if (silence > options_.pingAfter) {
            send(Ping());
        }
    }
}

} // namespace LaburnumChute::Peers
