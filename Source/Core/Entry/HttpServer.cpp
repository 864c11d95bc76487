#include "Entry/HttpServer.h"

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
constexpr Common::milliseconds AcceptRetryDelay{50};
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

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

/// Cancels pending operations of a stream after a timeout but leaves it open, so that an error
/// response can still be sent.
class ReadTimeout
{
public:
    ReadTimeout(beast::tcp_stream &stream, Common::Duration timeout)
        : state_(std::make_shared<State>(stream))
    {
        state_->timer.expires_after(timeout);
        state_->timer.async_wait([state = state_](const boost::system::error_code &error) {
            if (!error && state->stream != nullptr) {
                state->expired = true;
                state->stream->cancel();
            }
        });
    }
    ~ReadTimeout()
    {
        state_->stream = nullptr;
        state_->timer.cancel();
    }
    ReadTimeout(const ReadTimeout &) = delete;
    ReadTimeout &operator=(const ReadTimeout &) = delete;

    bool expired() const
    {
        return state_->expired;
    }

private:
    struct State
    {
        explicit State(beast::tcp_stream &watched)
            : stream(&watched)
            , timer(watched.get_executor())
        {
        }

        beast::tcp_stream *stream;
        asio::steady_timer timer;
        bool expired = false;
    };

    std::shared_ptr<State> state_;
};

using Parser = http::request_parser<http::string_body>;
enum class MessagePart { Header, Body };

asio::awaitable<boost::system::error_code> readWithTimeout(Common::Duration timeout,
                                                           beast::tcp_stream &stream,
                                                           beast::flat_buffer &buffer,
                                                           Parser &parser, MessagePart part)
{
    const ReadTimeout readTimeout(stream, timeout);
    boost::system::error_code error;
    if (part == MessagePart::Header) {
        co_await http::async_read_header(stream, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await http::async_read(stream, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    co_return readTimeout.expired() ? beast::error::timeout : error;
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

HttpServer::HttpServer(Async::IoPool &pool, HttpServerOptions options, Handler handler)
    : pool_(pool)
    , options_(options)
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

void HttpServer::stopAccepting()
{
    asio::post(pool_.at(0), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
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
        if (connections_ >= options_.connectionLimit) {
            socket.close(error);
            continue;
        }
        asio::co_spawn(context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(tcp::socket socket)
{
    const ScopedCounter guard(connections_);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    // By default the kernel grows this buffer to megabytes, enough for tens of thousands of tokens.
    // Without a limit, an engine would generate them for a caller that has stopped reading, with no
    // backpressure.
    socket.set_option(asio::socket_base::send_buffer_size(CallerSendBufferBytes), ignored);
    beast::tcp_stream stream(std::move(socket));
    co_await serveRequests(stream);
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

asio::awaitable<void> HttpServer::serveRequests(beast::tcp_stream &stream)
{
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive) {
        const auto exchange = co_await readExchange(stream, buffer);
        if (!exchange) {
            co_return;
        }
        const ScopedCounter guard(exchanges_);
        exchange->watch();
        co_await handler_(*exchange);
        exchange->stopWatching();
        keepAlive = exchange->reusable();
    }
}

asio::awaitable<std::unique_ptr<Exchange>> HttpServer::readExchange(beast::tcp_stream &stream,
                                                                    beast::flat_buffer &buffer)
{
    Parser parser;
    parser.header_limit(options_.headerLimitBytes);
    parser.body_limit(options_.bodyLimitBytes);
    stream.expires_never();
    auto error =
        co_await readWithTimeout(options_.idleTimeout, stream, buffer, parser, MessagePart::Header);
    if (!error && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const asio::const_buffer interim(ContinueResponse.data(), ContinueResponse.size());
        co_await asio::async_write(stream, interim,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) {
        error = co_await readWithTimeout(options_.bodyTimeout, stream, buffer, parser,
                                         MessagePart::Body);
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
    auto exchange =
        std::make_unique<Exchange>(stream, makeHttpRequest(parser.get()), exchangeOptions);
    if (error) {
        co_await exchange->sendProblem(problemForReadError(error));
        co_return nullptr;
    }
    co_return exchange;
}

} // namespace LaburnumChute::Entry
