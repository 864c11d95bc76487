#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "Common/Common.h"
#include "Relay/OutboundPool.h"
#include "Relay/ResponseBounds.h"

namespace LaburnumChute::Relay {

/// Larger than any valid response.
inline constexpr std::uint64_t MaxResponseBytes = 64u << 20;

struct OutboundRequest
{
    /// "ip:port".
    std::string address;
    /// Request line and headers, including the empty line.
    std::string head;
    std::shared_ptr<const std::string> body;
    /// The method is HEAD, so the response has no body.
    bool isHeadMethod = false;
    /// Identifies the request. Connections that have carried it are not used, since a second answer
    /// to its earlier attempt has its id; 0 for requests that are sent only once.
    std::uint64_t requestKey = 0;
    /// A pooled connection that has been idle for longer is not used: if the remote side closed it
    /// during the write, it would be unknown whether the request has run. 0 requests a new
    /// connection.
    Common::Duration maxIdle{0};
    /// Idle timeout of the remote side if its response does not state one.
    std::optional<Common::Duration> assumedIdleTimeout;
    Common::Duration connectTimeout = Common::milliseconds(400);
    /// A Content-Length above it is treated as corrupt, so that no memory is allocated for it.
    std::uint64_t maxBodyBytes = MaxResponseBytes;
};

/// Status and headers of a response.
struct ResponseHead
{
    unsigned status = 0;
    Common::Headers headers;
};

enum class CallFailure {
    /// No connection was established, so nothing has been sent.
    NotConnected,
    /// Nothing listens at the address.
    Refused,
    /// `maySend` returned false, so nothing has been sent.
    Withheld,
    /// The connection broke.
    Broken,
    /// The received bytes are not a valid response.
    Invalid,
};

/// What showed that a response is complete.
enum class ResponseEnd {
    /// Its length, or the last chunk.
    Framing,
    /// Only that the connection was closed, as it also is if the endpoint crashes.
    ConnectionClose,
};

std::string_view toString(ResponseEnd end);

/// Callbacks of a call. None is called after the call has ended, failed or been cancelled. Objects
/// that they refer to must cancel the call before they are destroyed.
struct CallEvents
{
    /// Called when there is a connection, immediately before anything is sent. If it returns false,
    /// the call fails with Withheld, unless it has been cancelled. Optional.
    std::function<bool()> maySend;
    /// Returns false if the response belongs to another request; it is then skipped.
    std::function<bool(const ResponseHead &)> head;
    std::function<void(const std::string &)> body;
    /// Gets the connection after a response, before `end`, if it may be used again. Optional; the
    /// connection otherwise goes to the pool.
    std::function<void(OutboundConnectionPtr)> released;
    /// The response is complete, as far as the connection shows.
    std::function<void(ResponseEnd)> end;
    std::function<void(CallFailure, const std::string &reason)> failed;
};

/// One HTTP/1.1 call that has exclusive use of a connection while it runs.
///
/// Handles these irregular responses: a response may arrive before the request has been written; a
/// response to an earlier request may arrive first; bytes may follow the end of the response; and a
/// response without a length ends with its connection, and is complete only if the remote side has
/// received the whole request and has not reset the connection.
class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
    OutboundCall(std::shared_ptr<OutboundPool> pool, OutboundRequest request, CallEvents events);

    void start(Common::Time now);
    /// As above, on the given connection unless it is null.
    void start(OutboundConnectionPtr connection, Common::Time now);
    void tick(Common::Time now);
    /// Ends the call. No callback is called afterwards.
    void cancel();
    /// As cancel(), for a request that the remote side may be working on: it learns of the end even
    /// if a segment is lost.
    void withdraw();
    /// Stops or resumes reading, to apply backpressure for a slow receiver.
    void pause(bool paused);

    bool connected() const
    {
        return connected_;
    }
    bool usedIdleConnection() const
    {
        return usedIdleConnection_;
    }
    /// The response has no length. Valid from its head on.
    bool endsWithConnection() const
    {
        return headerDone_ && parser_->need_eof();
    }
    /// The remote side has closed the connection, even if bytes before that have not been read.
    bool remoteClosed() const;
    /// The remote side has reset the connection. After ResponseEnd::ConnectionClose this is known
    /// as long as the call exists.
    bool remoteReset() const;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect(Common::Time now);
    void send();
    void read();
    void received(const boost::system::error_code &error, std::size_t size);
    void parse();
    bool parseNext();
    void recordParsed(std::size_t size);
    void finishIfRequestReceived();
    bool handleHead();
    void newParser();
    void deliverBody();
    void finish(ResponseEnd end);
    void fail(CallFailure failure, const std::string &reason);

    std::shared_ptr<OutboundPool> pool_;
    OutboundRequest request_;
    CallEvents events_;
    OutboundConnectionPtr connection_;
    std::optional<Parser> parser_;
    std::optional<Common::Duration> idleTimeout_;
    std::string input_;
    ResponseBounds bounds_;
    std::array<char, 8192> readBuffer_{};
    Common::Time connectDeadline_{};
    bool connecting_ = false;
    bool connected_ = false;
    bool usedIdleConnection_ = false;
    /// The kernel has taken the request.
    bool requestWritten_ = false;
    bool writeFailed_ = false;
    /// The remote side has ended a response without a length.
    bool responseClosed_ = false;
    bool headerDone_ = false;
    bool skippingResponse_ = false;
    bool paused_ = false;
    bool readPending_ = false;
    bool finished_ = false;
};

} // namespace LaburnumChute::Relay
