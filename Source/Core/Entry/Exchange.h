#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "Common/Common.h"
#include "Entry/Problem.h"

namespace LaburnumChute::Entry {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// A caller's request as read from the connection.
struct HttpRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    Common::Headers headers;
    std::string body;
};

/// One request of a caller and the way back to it. Lives on one thread.
class Exchange
{
public:
    struct Options
    {
        /// A caller that takes no byte for so long is given up.
        Common::milliseconds writeTimeout{30000};
        bool keepAlive = true;
        /// False for HTTP/1.0, which knows no chunks.
        bool chunked = true;
    };

    Exchange(beast::tcp_stream &stream, HttpRequest request, Options options);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const HttpRequest &request() const
    {
        return request_;
    }
    const Common::RequestId &id() const
    {
        return id_;
    }

    /// Starts watching for the caller to close the connection.
    void watch();
    /// Ends the watch, so that the next request can be read.
    void stopWatching();
    /// Called once, when the caller has left.
    void onGone(std::function<void()> callback)
    {
        onGone_ = std::move(callback);
    }
    bool gone() const
    {
        return gone_;
    }

    /// All of an answer at once. False when the caller has left; so for all that send.
    asio::awaitable<bool> sendWhole(unsigned status, Common::Headers headers, std::string body);
    asio::awaitable<bool> sendProblem(Problem problem);
    /// The head leaves with the first piece or the end.
    asio::awaitable<bool> startBody(unsigned status, Common::Headers headers);
    asio::awaitable<bool> sendPiece(std::string_view bytes);
    asio::awaitable<bool> endBody();

    /// True once the head of the answer has been sent.
    bool started() const
    {
        return started_;
    }
    /// True when the connection can carry another request.
    bool reusable() const
    {
        return options_.keepAlive && complete_ && !gone_;
    }
    /// Makes the answer close the connection.
    void closeAfterwards()
    {
        options_.keepAlive = false;
    }

private:
    struct WatchState;

    static asio::awaitable<void> runWatch(std::shared_ptr<WatchState> state);
    void markGone();
    bool check(const boost::system::error_code &error);

    beast::tcp_stream &stream_;
    HttpRequest request_;
    Options options_;
    Common::RequestId id_;
    std::function<void()> onGone_;
    std::shared_ptr<WatchState> watch_;
    bool gone_ = false;
    bool started_ = false;
    bool complete_ = false;
    /// The head of a body under way, kept until its first piece so that both leave in one write.
    std::string pendingHead_;
};

} // namespace LaburnumChute::Entry
