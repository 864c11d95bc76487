#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Common/Common.h"
#include "Peers/ChannelFrames.h"

namespace LaburnumChute::Peers {

namespace asio = boost::asio;

struct ChannelOptions
{
    Common::milliseconds connectTimeout{1000};
    /// A ping is sent after this time without a frame from the peer.
    Common::milliseconds pingAfter{400};
    /// The connection is closed after this time without a frame. An open connection can go silent
    /// permanently while new ones work; a caller then sees an answer that stops half-way. Two
    /// seconds are many round trips (110 ms between regions) and short enough for a person to wait.
    Common::milliseconds silenceTimeout{2000};
    /// How long a call without a connection waits to be resumed on a new one.
    Common::milliseconds resumeWindow{5000};
    Common::milliseconds reconnectDelay{100};
    /// Limit of connections whose peers have not said who they are; the oldest one is closed beyond
    /// it.
    std::size_t unknownPeerLimit = 256;
    /// Flow-control window: bytes of an answer in flight or not yet consumed by the reader.
    std::size_t windowBytes = 256 * 1024;
};

/// A TCP connection that carries frames in both directions and detects when the peer goes silent.
/// Used on one executor only.
class ChannelConnection : public std::enable_shared_from_this<ChannelConnection>
{
public:
    struct Handlers
    {
        std::function<void(Frame)> frame;
        /// Called once, with the reason for closing.
        std::function<void(const std::string &)> closed;
    };

    ChannelConnection(asio::ip::tcp::socket socket, ChannelOptions options);

    void start(Handlers handlers);
    void send(const Frame &frame);
    void close(const std::string &reason);
    bool open() const
    {
        return !closed_;
    }
    /// Larger frames of the peer end the connection.
    void setFrameLimit(std::size_t bytes)
    {
        frameLimit_ = bytes;
    }
    /// Bytes of frames that the kernel has not taken.
    std::size_t unsentBytes() const
    {
        return unsentBytes_;
    }
    std::uint64_t bytesSent() const
    {
        return bytesSent_;
    }

private:
    asio::awaitable<void> readInto(std::string &bytes, std::size_t size,
                                   boost::system::error_code &error);
    asio::awaitable<void> readLoop();
    asio::awaitable<void> writeLoop();
    asio::awaitable<void> keepaliveLoop();

    asio::ip::tcp::socket socket_;
    ChannelOptions options_;
    Handlers handlers_;
    asio::steady_timer writeSignal_;
    asio::steady_timer keepaliveTimer_;
    std::deque<std::string> writeQueue_;
    Common::Time lastReceived_;
    std::size_t frameLimit_ = FrameLimitBytes;
    std::size_t unsentBytes_ = 0;
    std::uint64_t bytesSent_ = 0;
    bool closed_ = false;
};

} // namespace LaburnumChute::Peers
