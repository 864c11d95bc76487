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

#include "Async/Async.h"
#include "Common/Common.h"
#include "Endpoints/ConnectionPool.h"
#include "Endpoints/SseSplitter.h"

namespace LaburnumChute::Endpoints {

/// A request to an endpoint.
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
    /// True for calls to model engines, which respond with server-sent events and can be resumed
    /// and cancelled.
    bool eventStream = false;
    /// False if the call must not be sent on an idle connection: if the endpoint closes it during
    /// the write, it is unknown whether the endpoint has run the call.
    bool mayReuseConnection = true;
    /// True if answers state the id of their request. Only then is the connection used again, since
    /// a second answer to an earlier request may come where the next answer is due. False for
    /// queries on a pool of their own.
    bool answersStateId = true;
};

struct ResponseHead
{
    unsigned status = 0;
    Common::Headers headers;

    /// The value of the first header with that name (case-insensitive), or an empty string.
    std::string header(std::string_view name) const;
};

/// Why a call did not return a complete response.
struct EndpointFailure
{
    Common::RunState runState = Common::RunState::Unknown;
    Common::ErrorCode code = Common::ErrorCode::Unavailable;
    std::string message;
    /// The endpoint cannot be reached, no longer knows the stream, or the call was cancelled.
    bool endpointGone = false;
};

template <typename T>
using EndpointResult = tl::expected<T, EndpointFailure>;

/// A chunk of a response body. For event streams it contains only whole events.
struct BodyChunk
{
    std::string bytes;
    bool last = false;
};

struct EndpointStreamOptions
{
    /// Engines send a keep-alive comment every second. Three missing ones mean that the connection,
    /// the engine or its machine has failed; a new connection then shows which.
    Common::milliseconds silenceTimeout{3000};
    /// Plain services send no keep-alives; this limits the wait for their response.
    Common::milliseconds serviceTimeout{30000};
    /// Time limit without progress of a write.
    Common::milliseconds writeTimeout{5000};
    /// Maximum number of resume attempts per stream, after which the stream fails.
    int resumeAttemptLimit = 3;
    std::uint32_t headerLimitBytes = 16 * 1024;
    std::size_t eventLimitBytes = 1024 * 1024;
};

/// One call to an endpoint. All functions must run on the pool's thread; abort() may be called
/// while open() or next() is suspended.
class EndpointStream
{
public:
    EndpointStream(EndpointRequest request, std::shared_ptr<ConnectionPool> pool,
                   EndpointStreamOptions options, Async::ByteBudget &budget);

    /// Sends the request and waits for the response header.
    asio::awaitable<EndpointResult<ResponseHead>> open();
    /// Reads the next chunk of the body. Nothing is read between calls, which applies backpressure
    /// to the endpoint.
    asio::awaitable<EndpointResult<BodyChunk>> next();
    /// Aborts the call; a suspended open() or next() returns a failure.
    void abort();

    const EndpointRequest &request() const
    {
        return request_;
    }
    /// Number of events of an event stream that next() has returned.
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
        return resumeAttempts_;
    }

private:
    using Parser = beast::http::response_parser<beast::http::buffer_body>;
    using Message = beast::http::request<beast::http::string_body>;

    asio::awaitable<EndpointResult<void>> send(bool newConnectionOnly);
    asio::awaitable<boost::system::error_code> write(Message message);
    asio::awaitable<boost::system::error_code> readHead(Common::Duration timeout);
    asio::awaitable<EndpointResult<void>> resume(std::string reason);
    /// A single resume attempt. Returns nullopt on success.
    asio::awaitable<std::optional<EndpointFailure>> resumeOnce();
    asio::awaitable<EndpointResult<std::string>> readChunk();
    /// Why the response that was read is not the one to this request; empty if it may be.
    std::string foreignReason(const ResponseHead &response) const;
    /// Shows that the endpoint still runs after it has closed a response without a length, as the
    /// kernel also does for a process that has crashed, and that it has received the whole request
    /// and has not reset the connection.
    asio::awaitable<EndpointResult<void>> confirmEnd();
    /// Returns the whole events that the bytes complete.
    EndpointResult<std::string> feed(std::string_view bytes);
    BodyChunk finishBody(std::string bytes);
    EndpointFailure failure(Common::RunState state, std::string message,
                            bool endpointGone = false) const;
    ResponseHead head() const;

    EndpointRequest request_;
    std::shared_ptr<ConnectionPool> pool_;
    EndpointStreamOptions options_;
    ConnectionPtr connection_;
    std::optional<Parser> parser_;
    SseSplitter splitter_;
    /// Memory of the incomplete event.
    Async::ByteReservation reservation_;
    std::array<char, 8192> buffer_{};
    bool isEventStream_ = false;
    bool aborted_ = false;
    int resumeAttempts_ = 0;
};

/// Asks the engine to cancel a stream, on a separate connection so that the request is not queued
/// behind the stream. Returns true if the engine confirms or does not know the stream.
asio::awaitable<bool> cancelAtEndpoint(std::shared_ptr<ConnectionPool> pool, std::string address,
                                       Common::RequestId request, Common::Duration timeout);

} // namespace LaburnumChute::Endpoints
