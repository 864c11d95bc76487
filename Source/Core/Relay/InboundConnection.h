#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "Catalog/Catalog.h"
#include "Common/Common.h"
#include "Relay/ConnectionReports.h"

namespace LaburnumChute::Relay {

namespace asio = boost::asio;

/// A request as read from a connection.
struct InboundRequest
{
    std::string method;
    /// Path and query.
    std::string target;
    Common::Headers headers;
    std::shared_ptr<const std::string> body;
};

/// One connection from a caller or a peer. Serves one request at a time and keeps reading
/// meanwhile, so that a disconnect is noticed immediately.
class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
    /// Serves a request. The response is given through the functions below, during the call or
    /// later.
    using Handler = std::function<void(const std::shared_ptr<InboundConnection> &, InboundRequest)>;
    using LimitsSource = std::function<Catalog::CallerLimits()>;
    /// Is told how many bytes of a request that is not complete are in memory, if they are many.
    using MemoryObserver =
        std::function<void(const std::shared_ptr<InboundConnection> &, std::size_t)>;

    /// @param rejectionHeaders further headers of responses to requests that do not reach the
    /// handler
    InboundConnection(asio::ip::tcp::socket socket, LimitsSource limits, Handler handler,
                      ConnectionObserver observer = {}, MemoryObserver memoryObserver = {},
                      Common::Headers rejectionHeaders = {});

    void start(Common::Time now);
    /// Enforces the time limits. Must be called every few tens of milliseconds.
    void tick(Common::Time now);
    /// Closes the connection after the next response, or immediately if it is idle.
    void closeGracefully();
    /// Closes the connection after the next response. Until then it may stay idle.
    void closeAfterNextResponse()
    {
        closeAfterResponse_ = true;
    }

    // Response to the current request.

    void respond(unsigned status, Common::Headers headers, std::string_view body);
    /// Starts a streamed response. The header is sent together with the first part or the end.
    void beginStream(unsigned status, Common::Headers headers);
    void sendPart(std::string_view bytes);
    void endStream();
    /// Closes the connection during a response so that the caller sees it as incomplete.
    void abort();
    /// Id of the current request, for reports on its response.
    void setRequestId(std::string id)
    {
        requestId_ = std::move(id);
    }
    /// Closes the connection as the process exits. An incomplete response does not look complete.
    void closeForExit();

    /// Sets a callback that is called once if the remote side disconnects before its response is
    /// complete.
    void onDisconnect(std::function<void()> callback)
    {
        onDisconnect_ = std::move(callback);
    }
    /// Sets a callback that is called whenever all written bytes have been passed to the kernel.
    void onDrained(std::function<void()> callback)
    {
        onDrained_ = std::move(callback);
    }
    /// Bytes that have not been passed to the kernel yet.
    std::size_t unsentBytes() const
    {
        return output_.size() + writeBuffer_.size() - writeOffset_;
    }
    /// Unsent bytes that occupy memory.
    std::size_t heldBytes() const
    {
        return closed_ ? 0 : unsentBytes();
    }
    /// Rejects the request that is being received, so that its memory is free; nothing has been
    /// done for it.
    void rejectIncomplete();
    /// Since when nothing has been received or is under way; nothing if something is.
    std::optional<Common::Time> idleSince() const;
    /// Closes the connection if it is idle. Returns false if it is in use.
    bool closeIfIdle();
    /// Whether the remote side has not taken any of the unsent bytes for a while.
    bool unread(Common::Time now) const;
    /// Closes the connection so that the remote side sees an error, and discards unsent bytes.
    void reset(ConnectionEnd end);
    /// Whether the remote side has stopped reading its response.
    bool stalled(Common::Time now) const;
    /// Whether bytes of a response may not have reached the remote side yet.
    bool delivering(Common::Time now);
    bool open() const
    {
        return !closed_;
    }
    bool serving() const
    {
        return state_ == State::Serving;
    }
    std::string remoteIp() const;
    /// Returns true if the remote side has closed its end, even if that has not been read yet.
    bool remoteClosed();

private:
    enum class State {
        /// Between requests, or in the middle of receiving one.
        Reading,
        Serving,
        /// The last response has been written; further input is discarded.
        Lingering,
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    struct Undelivered
    {
        std::string request;
        Common::Time since;
    };

    void read();
    void handleReceived(std::size_t size);
    void parse();
    bool parseNext();
    void rejectRequest(unsigned status, std::string_view reason, Common::Headers headers = {});
    std::size_t receivedBytes() const;
    /// Bytes that have arrived and have not been read.
    std::size_t bytesToRead();
    bool awaitsFirstRequest(Common::Time now) const;
    /// Closes the connection unless a request is being received, is about to arrive or is served.
    void closeUnlessInUse(Common::Time now);
    void reportMemory();
    bool validateHead();
    void dispatchRequest();
    /// Whether the response to the current request is not complete.
    bool responding() const
    {
        return !closed_ && state_ == State::Serving && !closeAfterWrite_;
    }
    void finishResponse();
    void write(std::string bytes);
    void flush();
    void writeSome();
    void handleWritten(const boost::system::error_code &error, std::size_t size);
    void reportDelivery();
    void handleReadError(const boost::system::error_code &error);
    void handleDisconnect(ConnectionEnd end);
    void close(ConnectionEnd end);
    void checkReadTimeout(Common::Time now);
    void checkLinger(Common::Time now);
    void report(ConnectionEnd end);
    /// Bytes that the kernel holds and the remote side has not acknowledged, if that is known.
    std::optional<std::size_t> unacknowledgedBytes();
    void linger();

    asio::ip::tcp::socket socket_;
    LimitsSource limits_;
    Handler handler_;
    ConnectionObserver observer_;
    MemoryObserver memoryObserver_;
    Common::Headers rejectionHeaders_;
    /// What the observer was told last.
    std::size_t reportedBytes_ = 0;
    std::function<void()> onDisconnect_;
    std::function<void()> onDrained_;
    State state_ = State::Reading;
    std::optional<Parser> parser_;
    std::string input_;
    /// Bytes of input_ that have been parsed.
    std::size_t parsedBytes_ = 0;
    std::array<char, 8192> readBuffer_{};
    std::string output_;
    std::string writeBuffer_;
    /// Bytes of writeBuffer_ that have been passed to the kernel.
    std::size_t writeOffset_ = 0;
    std::string pendingHead_;
    std::string requestId_;
    /// The last response, from its end until its last byte has been passed to the kernel.
    std::optional<Undelivered> undelivered_;
    bool hadRequest_ = false;
    bool readPending_ = false;
    bool writePending_ = false;
    bool closed_ = false;
    bool closeAfterResponse_ = false;
    /// Closed as soon as it is idle.
    bool closing_ = false;
    bool keepAlive_ = true;
    bool chunked_ = true;
    bool isHead_ = false;
    /// The response has neither a length nor chunks, so that the end of the connection marks its
    /// end.
    bool endsWithConnection_ = false;
    bool closeAfterWrite_ = false;
    bool aborted_ = false;
    /// Time of the last progress in the current state.
    Common::Time lastProgressAt_{};
    Common::Time lastReceivedAt_{};
    /// Time of the last progress of the current write.
    Common::Time writeProgressAt_{};
    /// Unacknowledged bytes at the last look at a closing connection.
    std::optional<std::size_t> heldByKernel_;
};

} // namespace LaburnumChute::Relay
