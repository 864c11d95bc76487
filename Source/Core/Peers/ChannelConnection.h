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
    /// After so long without a frame from the other side, it is asked for one.
    Common::milliseconds pingAfter{400};
    /// After so long without a frame the connection is given up. An open connection can go silent
    /// for good while new ones work; a caller then sees an answer that stops half-way. Two seconds
    /// are many round trips (110 ms between regions) and few enough for a person to wait.
    Common::milliseconds silenceTimeout{2000};
    /// How long a call outlives its connection, waiting to be resumed on a new one.
    Common::milliseconds resumeWindow{5000};
    Common::milliseconds reconnectPause{100};
    /// Bytes of an answer under way or not yet consumed by the reader.
    std::size_t windowBytes = 256 * 1024;
};

/// A TCP connection that carries frames both ways and notices when the other side falls silent.
/// Lives on one executor.
class ChannelConnection : public std::enable_shared_from_this<ChannelConnection>
{
public:
    struct Handlers
    {
        std::function<void(Frame)> frame;
        /// Called once, with the reason.
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
    std::uint64_t bytesSent() const
    {
        return bytesSent_;
    }

private:
    asio::awaitable<void> readLoop();
    asio::awaitable<void> writeLoop();
    asio::awaitable<void> watchLoop();

    asio::ip::tcp::socket socket_;
    ChannelOptions options_;
    Handlers handlers_;
    asio::steady_timer writeSignal_;
    asio::steady_timer watchTimer_;
    std::deque<std::string> writeQueue_;
    Common::Time lastReceived_;
    std::uint64_t bytesSent_ = 0;
    bool closed_ = false;
};

} // namespace LaburnumChute::Peers
