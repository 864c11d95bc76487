#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "Async/Async.h"
#include "Common/Common.h"
#include "Entry/ConnectionMetrics.h"
#include "Entry/Problem.h"

namespace LaburnumChute::Entry {

namespace asio = boost::asio;
namespace beast = boost::beast;

/// An HTTP request received from a caller.
struct HttpRequest
{
    std::string method;
    /// Path and query string.
    std::string target;
    Common::Headers headers;
    std::string body;
};

/// A caller's request and the connection for its response. All functions must run on the
/// connection's thread.
class Exchange
{
public:
    struct Options
    {
        /// Time limit without progress of a write. A caller that takes no byte for so long counts
        /// as disconnected.
        Common::milliseconds writeTimeout{30000};
        bool keepAlive = true;
        /// False for HTTP/1.0, which has no chunked transfer encoding.
        bool chunked = true;
    };

    /// @param memory the share that the request has in the budget of all of them
    Exchange(beast::tcp_stream &stream, HttpRequest request, Options options,
             std::unique_ptr<Async::ByteReservation> memory);
    ~Exchange();
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    const HttpRequest &request() const
    {
        return request_;
    }
    /// Frees the memory of a request that is not handled.
    void discardBody();
    const Common::RequestId &id() const
    {
        return id_;
    }

    /// Starts watching for a disconnect of the caller.
    void watch();
    /// Stops watching, so that the next request can be read from the connection.
    void stopWatching();
    /// Sets a callback that is called once, when the caller disconnects.
    void onGone(std::function<void()> callback)
    {
        onGone_ = std::move(callback);
    }
    bool gone() const
    {
        return gone_;
    }
    /// Why the connection has to be closed.
    ConnectionEnd connectionEnd() const
    {
        return connectionEnd_;
    }
    /// Bytes of the response that have not reached the caller's kernel.
    std::size_t undeliveredBytes() const;

    /// Sends a complete response. Like all send functions, returns false if the caller has
    /// disconnected.
    asio::awaitable<bool> sendResponse(unsigned status, Common::Headers headers, std::string body);
    asio::awaitable<bool> sendProblem(Problem problem);
    /// Starts a streamed response. The header is sent together with the first chunk or the end.
    asio::awaitable<bool> startResponse(unsigned status, Common::Headers headers);
    asio::awaitable<bool> sendChunk(std::string_view bytes);
    asio::awaitable<bool> endResponse();

    /// True once a response has been started.
    bool started() const
    {
        return started_;
    }
    /// True if the connection can be used for another request.
    bool reusable() const
    {
        return options_.keepAlive && complete_ && !gone_;
    }
    /// Closes the connection after the response.
    void closeAfterResponse()
    {
        options_.keepAlive = false;
    }

private:
    struct DisconnectWatch;

    static asio::awaitable<void> waitForDisconnect(std::shared_ptr<DisconnectWatch> state);
    void markGone(ConnectionEnd end);
    void logConnectionEnd() const;
    /// Returns false if the caller has disconnected.
    template <typename Buffers>
    asio::awaitable<bool> write(Buffers buffers);

    beast::tcp_stream &stream_;
    HttpRequest request_;
    std::unique_ptr<Async::ByteReservation> memory_;
    Options options_;
    Common::RequestId id_;
    std::function<void()> onGone_;
    std::shared_ptr<DisconnectWatch> watch_;
    bool gone_ = false;
    ConnectionEnd connectionEnd_ = ConnectionEnd::Ordinary;
    bool started_ = false;
    bool complete_ = false;
    /// The response consists of events, of which one can report an error.
    bool eventStream_ = false;
    /// Bytes of the current write that the kernel has not taken.
    std::size_t unwritten_ = 0;
    /// The header of a streamed response, kept until the first chunk so that both are sent in one
    /// write.
    std::string pendingHeader_;
};

} // namespace LaburnumChute::Entry
