#include "Entry/HttpServer.h"

#include <algorithm>
#include <array>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace LaburnumChute::Entry {

namespace {

namespace http = beast::http;
using asio::ip::tcp;

/// Limits the response bytes queued in the kernel for a slow caller to a few hundred tokens. At a
/// round-trip time of 100 ms this still allows 300 KB/s, thirty times the rate of a fast stream.
constexpr int CallerSendBufferBytes = 32 * 1024;
/// Bytes that a connection may hold beyond a request's header, say a chunk's extension.
constexpr std::size_t ReadAheadBytes = 64 * 1024;
constexpr std::size_t DiscardBufferBytes = 4096;
constexpr Common::milliseconds AcceptRetryDelay{50};
constexpr Common::milliseconds MemoryRetryAfter{1000};
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// The last bytes of a response are lost if unread bytes of the caller are in the kernel when the
/// connection is closed, since the kernel then resets it. So bytes are read and discarded until the
/// caller closes, or has everything and has sent nothing for this time.
constexpr Common::milliseconds QuietBeforeClose{500};
/// A caller far away sends the first request of a connection a round trip after it was accepted.
constexpr Common::milliseconds FirstRequestTime{1000};
constexpr Common::milliseconds DeliveryPollInterval{50};

class ScopedCounter
{
public:
    explicit ScopedCounter(std::atomic<std::int64_t> &count)
        : count_(count)
    {
        ++count_;
    }
    ~ScopedCounter()
    {
        --count_;
    }
    ScopedCounter(const ScopedCounter &) = delete;
    ScopedCounter &operator=(const ScopedCounter &) = delete;

private:
    std::atomic<std::int64_t> &count_;
};

Problem problemForReadError(const boost::system::error_code &error)
{
    Problem problem;
    problem.status = 400;
    problem.code = Common::ErrorCode::InvalidArgument;
    problem.detail = "the request is not well-formed HTTP: " + error.message();
    if (error == http::error::header_limit) {
        problem.status = 431;
        problem.code = Common::ErrorCode::TooLarge;
        problem.detail = "the request's header is too large";
    } else if (error == http::error::body_limit) {
        problem.status = 413;
        problem.code = Common::ErrorCode::TooLarge;
        problem.detail = "the request's body is too large";
    } else if (error == asio::error::no_buffer_space) {
        problem.status = 503;
        problem.code = Common::ErrorCode::Overloaded;
        problem.detail = "too many requests in memory";
        problem.retryAfter = MemoryRetryAfter;
    } else if (error == beast::error::timeout) {
        problem.status = 408;
        problem.code = Common::ErrorCode::DeadlineExceeded;
        problem.detail = "the request did not arrive in time";
    }
    return problem;
}

/// True if the caller has disconnected, so that no response can be delivered.
bool isDisconnect(const boost::system::error_code &error)
{
    return error == http::error::end_of_stream || error == http::error::partial_message
           || error == asio::error::connection_reset || error == asio::error::eof
           || error == asio::error::operation_aborted || error == asio::error::broken_pipe;
}

using Parser = http::request_parser<http::string_body>;

asio::awaitable<boost::system::error_code> readHeader(Common::Duration timeout,
                                                      beast::tcp_stream &stream,
                                                      beast::flat_buffer &buffer, Parser &parser)
{
    // The stream stays open, so that an error response can still be sent.
    const Async::TimeLimit limit(stream.get_executor(), timeout, [&stream] { stream.cancel(); });
    boost::system::error_code error;
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    co_return limit.expired() ? beast::error::timeout : error;
}

/// Fails with no_buffer_space if the budget lacks memory for the body.
asio::awaitable<boost::system::error_code> readBody(Common::Duration timeout,
                                                    beast::tcp_stream &stream,
                                                    beast::flat_buffer &buffer, Parser &parser,
                                                    Async::ByteReservation &memory)
{
    const Async::TimeLimit limit(stream.get_executor(), timeout, [&stream] { stream.cancel(); });
    boost::system::error_code error;
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(stream, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (!memory.resize(parser.get().body().size())) {
            co_return asio::error::no_buffer_space;
        }
    }
    co_return limit.expired() ? beast::error::timeout : error;
}

template <typename Message>
HttpRequest makeHttpRequest(Message &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace

HttpServer::HttpServer(Async::IoPool &pool, HttpServerOptions options, ConnectionMetrics metrics,
                       Async::ByteBudget &budget, Handler handler)
    : pool_(pool)
    , options_(options)
    , metrics_(metrics)
    , budget_(budget)
    , handler_(std::move(handler))
    , acceptor_(pool.at(0))
{
}

Common::Result<std::string> HttpServer::listen(const std::string &address)
{
    auto bound = Async::listenOn(acceptor_, address);
    if (bound) {
        asio::co_spawn(pool_.at(0), accept(), asio::detached);
    }
    return bound;
}

struct HttpServer::Connection
{
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    beast::tcp_stream stream;
    Common::Time acceptedAt = std::chrono::steady_clock::now();
    bool hadRequest = false;
    /// No byte of a request has been read since the last response.
    std::atomic<bool> idle = false;
    /// Number of the wait for a request, which shows which connection has waited longest.
    std::uint64_t idleNumber = 0;
    /// It is to be closed in favor of another one.
    bool evicted = false;
};

std::int64_t HttpServer::connections() const
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::int64_t>(connections_.size());
}

void HttpServer::closeIdle()
{
    closing_ = true;
    const std::lock_guard lock(mutex_);
    for (const auto &connection : connections_) {
        asio::post(connection->stream.get_executor(), [connection] {
            if (connection->idle) {
                connection->stream.cancel();
            }
        });
    }
}

void HttpServer::stopAccepting()
{
    asio::post(pool_.at(0), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

bool HttpServer::closeIdlest()
{
    const std::lock_guard lock(mutex_);
    std::shared_ptr<Connection> idlest;
    for (const auto &connection : connections_) {
        const bool candidate = connection->idle && !connection->evicted;
        if (candidate && (!idlest || connection->idleNumber < idlest->idleNumber)) {
            idlest = connection;
        }
    }
    if (!idlest) {
        return false;
    }
    idlest->evicted = true;
    asio::post(idlest->stream.get_executor(), [this, idlest] {
        if (idlest->idle) {
            boost::system::error_code ignored;
            idlest->stream.socket().close(ignored);
            return;
        }
        // A request has arrived meanwhile.
        const std::lock_guard guard(mutex_);
        idlest->evicted = false;
    });
    return true;
}

asio::awaitable<void> HttpServer::accept()
{
    while (acceptor_.is_open()) {
        auto &context = pool_.next();
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(
            context, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            // Prevents a busy loop when the process has run out of file descriptors.
            co_await Async::sleepFor(AcceptRetryDelay);
            continue;
        }
        if (connections() >= options_.connectionLimit && !closeIdlest()) {
            socket.close(error);
            continue;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket));
        {
            const std::lock_guard lock(mutex_);
            connections_.insert(connection);
        }
        asio::co_spawn(context, serve(connection), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(std::shared_ptr<Connection> connection)
{
    auto &socket = connection->stream.socket();
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    // By default the kernel grows this buffer to megabytes, enough for tens of thousands of tokens.
    // Without a limit, an engine would generate them for a caller that has stopped reading, with no
    // backpressure.
    socket.set_option(asio::socket_base::send_buffer_size(CallerSendBufferBytes), ignored);
    auto outcome = co_await serveRequests(*connection);
    // An idle connection is not read any more, so that the caller of a request that crosses the
    // close knows that it has not run.
    const bool delivered = outcome.idle && Async::unacknowledgedBytes(socket) == 0;
    if (outcome.end == ConnectionEnd::Ordinary && !delivered) {
        outcome.undeliveredBytes = co_await closeDelivered(connection->stream);
    }
    metrics_.closed(outcome.end, outcome.undeliveredBytes);
    socket.close(ignored);
    const std::lock_guard lock(mutex_);
    connections_.erase(connection);
}

asio::awaitable<HttpServer::Outcome> HttpServer::serveRequests(Connection &connection)
{
    beast::flat_buffer buffer(options_.headerLimitBytes + ReadAheadBytes);
    while (true) {
        const auto headerDeadline = std::chrono::steady_clock::now() + options_.idleTimeout;
        const bool arrives = co_await waitForRequest(connection, buffer);
        if (!arrives) {
            Outcome outcome;
            outcome.idle = true;
            co_return outcome;
        }
        connection.hadRequest = true;
        const auto exchange = co_await readExchange(connection.stream, buffer, headerDeadline);
        if (!exchange) {
            co_return Outcome();
        }
        const ScopedCounter guard(exchanges_);
        exchange->watch();
        co_await handler_(*exchange);
        exchange->stopWatching();
        if (!exchange->reusable()) {
            co_return Outcome{exchange->connectionEnd(), exchange->undeliveredBytes()};
        }
    }
}

asio::awaitable<bool> HttpServer::waitForRequest(Connection &connection,
                                                 const beast::flat_buffer &buffer)
{
    if (buffer.size() > 0) {
        co_return true;
    }
    if (!closing_) {
        co_await waitForBytes(connection, options_.idleTimeout);
    }
    boost::system::error_code error;
    auto &socket = connection.stream.socket();
    const auto firstRequestAt = connection.acceptedAt + FirstRequestTime;
    const auto left = firstRequestAt - std::chrono::steady_clock::now();
    const bool awaitsFirstRequest = closing_ && !connection.hadRequest && left.count() > 0;
    if (awaitsFirstRequest && socket.available(error) == 0) {
        co_await waitForBytes(connection, left);
    }
    co_return socket.available(error) > 0;
}

asio::awaitable<void> HttpServer::waitForBytes(Connection &connection, Common::Duration time)
{
    auto &socket = connection.stream.socket();
    const Async::TimeLimit limit(socket.get_executor(), time,
                                 [&connection] { connection.stream.cancel(); });
    {
        const std::lock_guard lock(mutex_);
        connection.idleNumber = ++idleNumber_;
    }
    connection.idle = true;
    boost::system::error_code ignored;
    co_await socket.async_wait(tcp::socket::wait_read,
                               asio::redirect_error(asio::use_awaitable, ignored));
    connection.idle = false;
}

asio::awaitable<std::size_t> HttpServer::closeDelivered(beast::tcp_stream &stream)
{
    auto &socket = stream.socket();
    boost::system::error_code error;
    socket.shutdown(tcp::socket::shutdown_send, error);
    // The end of the stream counts as one byte.
    const auto undelivered = [&socket] {
        return std::max<std::size_t>(Async::unacknowledgedBytes(socket), 1) - 1;
    };
    std::array<char, DiscardBufferBytes> discarded{};
    auto left = Async::unacknowledgedBytes(socket);
    auto lastProgress = std::chrono::steady_clock::now();
    auto lastReceived = lastProgress;
    while (true) {
        const Async::TimeLimit poll(stream.get_executor(), DeliveryPollInterval,
                                    [&stream] { stream.cancel(); });
        co_await socket.async_read_some(asio::buffer(discarded),
                                        asio::redirect_error(asio::use_awaitable, error));
        if (error && !poll.expired()) {
            co_return undelivered();
        }
        const auto now = std::chrono::steady_clock::now();
        lastReceived = error ? lastReceived : now;
        const auto unacknowledged = Async::unacknowledgedBytes(socket);
        lastProgress = unacknowledged < left ? now : lastProgress;
        left = unacknowledged;
        const bool quiet = left == 0 && now - lastReceived >= QuietBeforeClose;
        if (quiet) {
            co_return 0;
        }
        if (now - lastProgress >= options_.writeTimeout) {
            Common::log(Common::LogType::Entry, Common::LogLevel::Warning,
                        "closed a caller's connection: timeout, no byte was taken for {} ms; {} "
                        "bytes not delivered",
                        options_.writeTimeout.count(), undelivered());
            co_return undelivered();
        }
    }
}

asio::awaitable<std::unique_ptr<Exchange>> HttpServer::readExchange(beast::tcp_stream &stream,
                                                                    beast::flat_buffer &buffer,
                                                                    Common::Time headerDeadline)
{
    Parser parser;
    parser.header_limit(options_.headerLimitBytes);
    parser.body_limit(options_.bodyLimitBytes);
    stream.expires_never();
    auto memory = std::make_unique<Async::ByteReservation>(budget_);
    auto error = co_await readHeader(headerDeadline - std::chrono::steady_clock::now(), stream,
                                     buffer, parser);
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const asio::const_buffer interim(ContinueResponse.data(), ContinueResponse.size());
        co_await asio::async_write(stream, interim,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        error = co_await readBody(options_.bodyTimeout, stream, buffer, parser, *memory);
    }
    const bool idle =
        error == beast::error::timeout && buffer.size() == 0 && !parser.is_header_done();
    if (error && (idle || isDisconnect(error))) {
        co_return nullptr;
    }
    Exchange::Options exchangeOptions;
    exchangeOptions.writeTimeout = options_.writeTimeout;
    exchangeOptions.chunked = parser.get().version() >= 11;
    exchangeOptions.keepAlive = !error && parser.get().keep_alive() && !draining_;
    auto exchange = std::make_unique<Exchange>(stream, makeHttpRequest(parser.get()),
                                               exchangeOptions, std::move(memory));
    if (error) {
        exchange->discardBody();
        co_await exchange->sendProblem(problemForReadError(error));
        co_return nullptr;
    }
    co_return exchange;
}

} // namespace LaburnumChute::Entry
