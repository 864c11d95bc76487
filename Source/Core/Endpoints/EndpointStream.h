#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http.hpp>

#include "Common/Common.h"
#include "Endpoints/ConnectionPool.h"
#include "Endpoints/SseSplitter.h"

namespace LaburnumChute::Endpoints {

/// A call as it goes to an endpoint.
struct EndpointRequest
{
    Common::EndpointId endpoint;
    /// "ip:port".
    std::string address;
    Common::RequestId request;
    std::string method;
    std::string target;
    Common::Headers headers;
    std::string body;
    /// A model engine's call: answered by server-sent events, can be resumed and cancelled.
    bool eventStream = false;
    /// False when the call must not be sent on a connection that was idle: should it close under
    /// the write, nobody could say whether the endpoint has run the call.
    bool mayReuseConnection = true;
};

struct ResponseHead
{
    unsigned status = 0;
    Common::Headers headers;

    /// The value of the first header of that name (any case); empty when there is none.
    std::string header(std::string_view name) const;
};

/// Why a call did not yield its whole answer.
struct EndpointFailure
{
    Common::RunState runState = Common::RunState::Unknown;
    Common::ErrorCode code = Common::ErrorCode::Unavailable;
    std::string message;
    /// The endpoint could not be reached at all or has gone away.
    bool endpointGone = false;
};

template <typename T>
using EndpointResult = tl::expected<T, EndpointFailure>;

/// A piece of an answer's body. For event streams it holds whole events.
struct BodyPiece
{
    std::string bytes;
    bool last = false;
};

struct EndpointStreamOptions
{
    /// Engines send a sign of life every second; three missing ones mean that the connection, the
    /// engine or its machine has stopped. A fresh connection then tells which.
    Common::milliseconds silenceTimeout{3000};
    /// Plain services send no signs of life; this bounds the wait for their answer.
    Common::milliseconds serviceTimeout{30000};
    Common::milliseconds writeTimeout{5000};
    /// Resumptions of one stream. A stream that goes silent more often is given up.
    int resumeLimit = 3;
    std::uint32_t headerLimitBytes = 16 * 1024;
};

/// One call to an endpoint. All functions run on the thread of the pool; abort() may be called
/// while open() or next() is suspended.
class EndpointStream
{
public:
    EndpointStream(EndpointRequest request, std::shared_ptr<ConnectionPool> pool,
                   EndpointStreamOptions options);

    /// Sends the request and waits for the head of the answer.
    asio::awaitable<EndpointResult<ResponseHead>> open();
    /// The next piece of the body; back-pressure is that nothing is read between calls.
    asio::awaitable<EndpointResult<BodyPiece>> next();
    /// Ends the call from this side; a suspended open() or next() returns a failure.
    void abort();

    const EndpointRequest &request() const
    {
        return request_;
    }
    /// Events of an event stream that have been passed on.
    std::uint64_t events() const
    {
        return splitter_.events();
    }
    bool aborted() const
    {
        return aborted_;
    }
    int resumptions() const
    {
        return resumptions_;
    }

private:
    using Parser = beast::http::response_parser<beast::http::buffer_body>;

    asio::awaitable<EndpointResult<void>> send(bool freshOnly);
    asio::awaitable<boost::system::error_code> readHead(Common::Duration timeout);
    asio::awaitable<EndpointResult<void>> resume(std::string cause);
    /// One attempt of resume(): nothing when the stream goes on, else what stood in the way.
    asio::awaitable<std::optional<EndpointFailure>> resumeOnce();
    asio::awaitable<EndpointResult<std::string>> readSome();
    BodyPiece finishBody(std::string bytes);
    EndpointFailure failure(Common::RunState state, std::string message, bool gone = false) const;
    ResponseHead head() const;

    EndpointRequest request_;
    std::shared_ptr<ConnectionPool> pool_;
    EndpointStreamOptions options_;
    ConnectionPtr connection_;
    std::optional<Parser> parser_;
    SseSplitter splitter_;
    std::array<char, 8192> buffer_{};
    bool isEventStream_ = false;
    bool aborted_ = false;
    int resumptions_ = 0;
};

/// Tells the engine to cancel a stream, on a connection of its own so that it does not wait behind
/// the stream. True once the engine has confirmed it or does not know the stream.
asio::awaitable<bool> cancelAtEndpoint(std::shared_ptr<ConnectionPool> pool, std::string address,
                                       Common::RequestId request, Common::Duration timeout);

} // namespace LaburnumChute::Endpoints
