#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "Common/Common.h"
#include "Relay/OutboundPool.h"

namespace LaburnumChute::Relay {

struct OutboundRequest
{
    /// "ip:port".
    std::string address;
    /// Request line and headers, with the empty line.
    std::string head;
    std::shared_ptr<const std::string> body;
    /// Its answer has no body.
    bool isHeadMethod = false;
    /// A connection that was idle for longer is not used: should it close under the write, nobody
    /// could say whether the request has run. Zero asks for a new connection.
    Common::Duration maxIdle{0};
    /// How long the other side keeps an idle connection when it does not say so itself.
    std::optional<Common::Duration> assumedIdleTimeout;
    Common::Duration connectTimeout = Common::milliseconds(400);
};

/// The head of an answer.
struct ResponseHead
{
    unsigned status = 0;
    Common::Headers headers;
};

enum class CallFailure {
    /// Nothing has been sent: no connection came about, or it was no longer to be used.
    NotConnected,
    /// The connection broke, or what came is no answer.
    Broken,
};

/// Called until the call ends, fails or is cancelled; whoever they refer to cancels the call before
/// it goes away.
struct CallEvents
{
    /// Called once a new connection is established, before anything is sent. If it returns false,
    /// the call fails with NotConnected. Optional.
    std::function<bool()> maySend;
    /// False when the answer belongs to another request; it is then skipped.
    std::function<bool(const ResponseHead &)> head;
    std::function<void(const std::string &)> body;
    /// The answer is whole.
    std::function<void()> end;
    std::function<void(CallFailure, const std::string &reason)> failed;
};

/// One HTTP/1.1 call on a connection of its own for as long as it lasts.
///
/// Answers are taken with care: one may come before the request is written, one to an earlier
/// request may come first, bytes may follow the end, and one without a length ends with its
/// connection, where only an orderly end makes it whole.
class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
    OutboundCall(std::shared_ptr<OutboundPool> pool, OutboundRequest request, CallEvents events);

    void start(Common::Time now);
    void tick(Common::Time now);
    /// Ends the call from this side; no event comes any more.
    void cancel();
    /// Reading stops and goes on, for a receiver that is slower.
    void pause(bool paused);

    bool connected() const
    {
        return connected_;
    }
    bool usedIdleConnection() const
    {
        return usedIdleConnection_;
    }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect(Common::Time now);
    void send();
    void read();
    void received(const boost::system::error_code &error, std::size_t size);
    void parse();
    bool parseNext();
    bool handleHead();
    void newParser();
    void deliverBody();
    void finish();
    void fail(CallFailure failure, const std::string &reason);

    std::shared_ptr<OutboundPool> pool_;
    OutboundRequest request_;
    CallEvents events_;
    OutboundConnectionPtr connection_;
    std::optional<Parser> parser_;
    std::optional<Common::Duration> idleTimeout_;
    std::string in_;
    std::array<char, 8192> buffer_{};
    Common::Time connectDeadline_{};
    bool connecting_ = false;
    bool connected_ = false;
    bool usedIdleConnection_ = false;
    bool requestWritten_ = false;
    bool headerDone_ = false;
    bool skippingResponse_ = false;
    bool paused_ = false;
    bool readPending_ = false;
    bool finished_ = false;
};

} // namespace LaburnumChute::Relay
