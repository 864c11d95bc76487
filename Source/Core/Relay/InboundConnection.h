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

/// One connection of a caller or of another instance. It reads one request at a time and goes on
/// reading while that is served, so that it notices at once when the other side leaves.
class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
    /// Serves a request; the answer comes by the functions below, at once or later.
    using Handler = std::function<void(const std::shared_ptr<InboundConnection> &, InboundRequest)>;
    using LimitsSource = std::function<Catalog::CallerLimits()>;

    InboundConnection(asio::ip::tcp::socket socket, LimitsSource limits, Handler handler);

    void start(Common::Time now);
    /// Looks after time limits; to be called every some tens of milliseconds.
    void tick(Common::Time now);
    /// Every further answer closes the connection, and so does being idle.
    void closeGracefully();
    /// The next answer closes the connection; until then it may stay idle.
    void closeAfterNextResponse()
    {
        closeAfterResponse_ = true;
    }

    // The answer to the request being served.

    void respond(unsigned status, Common::Headers headers, std::string_view body);
    /// The head leaves with the first piece or the end, in one write.
    void beginStream(unsigned status, Common::Headers headers);
    void sendPart(std::string_view bytes);
    void endStream();
    /// Ends the connection in the midst of an answer, so that it cannot be taken for a whole one.
    void abort();

    /// Called once if the other side leaves before its answer is complete.
    void onDisconnect(std::function<void()> callback)
    {
        onDisconnect_ = std::move(callback);
    }
    /// Called when all that was written has left.
    void onDrained(std::function<void()> callback)
    {
        onDrained_ = std::move(callback);
    }
    /// Bytes that the other side has not taken yet.
    std::size_t unsentBytes() const
    {
        return out_.size() + writing_.size();
    }
    bool open() const
    {
        return !closed_;
    }
    bool serving() const
    {
        return state_ == State::Serving;
    }
    std::string remoteIp() const;
    /// Whether the other side has closed its end, also when that has not been read yet.
    bool remoteClosed();

private:
    enum class State {
        /// Between requests; bytes of the next one may have come.
        Reading,
        Serving,
        /// The last answer is on its way; what still comes is thrown away.
        Lingering,
    };
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void handleReceived(std::size_t size);
    void parse();
    bool parseNext();
    void rejectRequest(unsigned status, std::string_view reason);
    bool validateHead();
    void dispatchRequest();
    void finishResponse();
    void write(std::string_view bytes);
    void flush();
    void handleWritten(const boost::system::error_code &error);
    void handleDisconnect();
    void close();
    void linger();

    asio::ip::tcp::socket socket_;
    LimitsSource limits_;
    Handler handler_;
    std::function<void()> onDisconnect_;
    std::function<void()> onDrained_;
    State state_ = State::Reading;
    std::optional<Parser> parser_;
    std::string in_;
    std::array<char, 8192> buffer_{};
    std::string out_;
    std::string writing_;
    std::string pendingHead_;
    bool readPending_ = false;
    bool writePending_ = false;
    bool closed_ = false;
    bool closeAfterResponse_ = false;
    bool keepAlive_ = true;
    bool chunked_ = true;
    bool isHead_ = false;
    bool closeAfterWrite_ = false;
    /// Last progress in the present state.
    Common::Time lastProgressAt_{};
    Common::Time writeSince_{};
};

} // namespace LaburnumChute::Relay
