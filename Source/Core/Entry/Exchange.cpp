#include "Entry/Exchange.h"

#include <poll.h>
#include <random>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_cat.hpp>

#include "Async/Async.h"

namespace LaburnumChute::Entry {

namespace {

namespace http = beast::http;

constexpr int HttpVersion = 11;
constexpr std::size_t RequestIdLimit = 128;
/// Interval for checking a connection for a disconnect while unread data, such as a pipelined
/// request, prevents waiting for readability.
constexpr Common::milliseconds DisconnectPollInterval{100};

bool isRequestIdCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-'
           || character == '_' || character == '.';
}

std::string randomId()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return fmt::format("{:016x}{:08x}", generator(), static_cast<std::uint32_t>(generator()));
}

/// The caller's request id if it is safe to use in a URL path, otherwise a new one.
Common::RequestId chooseRequestId(const Common::Headers &headers)
{
    const auto *callerId = Common::findHeader(headers, "X-Request-Id");
    if (callerId != nullptr && !callerId->empty() && callerId->size() <= RequestIdLimit
        && std::all_of(callerId->begin(), callerId->end(), &isRequestIdCharacter)) {
        return Common::RequestId(*callerId);
    }
    return Common::RequestId(randomId());
}

std::string headText(const http::response<http::empty_body> &response)
{
    std::ostringstream text;
    text << response.base();
    return text.str();
}

enum class PeekResult { Closed, Data, Nothing };

PeekResult peek(asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    const auto size =
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
        return PeekResult::Nothing;
    }
    return error || size == 0 ? PeekResult::Closed : PeekResult::Data;
}

bool closedByCaller(asio::ip::tcp::socket &socket)
{
    pollfd descriptor{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0
           && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

struct Exchange::DisconnectWatch
{
    DisconnectWatch(Exchange *watched, asio::ip::tcp::socket &watchedSocket)
        : exchange(watched)
        , socket(watchedSocket)
    {
    }

    /// Null once the watch has been stopped.
    Exchange *exchange;
    asio::ip::tcp::socket &socket;
};

Exchange::Exchange(beast::tcp_stream &stream, HttpRequest request, Options options,
                   std::unique_ptr<Async::ByteReservation> memory)
    : stream_(stream)
    , request_(std::move(request))
    , memory_(std::move(memory))
    , options_(options)
    , id_(chooseRequestId(request_.headers))
{
}

Exchange::~Exchange()
{
    stopWatching();
    if (started_ && !complete_ && !options_.chunked) {
        // Only a reset tells the caller that a response that ends with its connection is
        // incomplete.
        boost::system::error_code ignored;
        stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    }
}

void Exchange::discardBody()
{
    std::string().swap(request_.body);
    memory_->resize(0);
}

void Exchange::watch()
{
    watch_ = std::make_shared<DisconnectWatch>(this, stream_.socket());
    asio::co_spawn(stream_.get_executor(), waitForDisconnect(watch_), asio::detached);
}

void Exchange::stopWatching()
{
    if (!watch_) {
        return;
    }
    watch_->exchange = nullptr;
    watch_.reset();
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
}

asio::awaitable<void> Exchange::waitForDisconnect(std::shared_ptr<DisconnectWatch> state)
{
    boost::system::error_code error;
    co_await state->socket.async_wait(asio::socket_base::wait_read,
                                      asio::redirect_error(asio::use_awaitable, error));
    // From here on the socket may be destroyed with the exchange; it is valid only while `exchange`
    // is set. A wait that a stalled write has cancelled says nothing about the caller.
    while (!error && state->exchange != nullptr) {
        const auto peeked = peek(state->socket);
        if (peeked == PeekResult::Closed || closedByCaller(state->socket)) {
            state->exchange->markGone(ConnectionEnd::CallerClosed);
            co_return;
        }
        co_await Async::sleepFor(DisconnectPollInterval);
    }
}

std::size_t Exchange::undeliveredBytes() const
{
    return unwritten_ + Async::unacknowledgedBytes(stream_.socket());
}

void Exchange::logConnectionEnd() const
{
    const auto undelivered = undeliveredBytes();
    switch (connectionEnd_) {
    case ConnectionEnd::Ordinary:
        return;
    case ConnectionEnd::CallerClosed:
        Common::logRequest(Common::LogType::Entry, Common::LogLevel::Info, id_,
                           "the caller closed its connection; {} bytes not delivered", undelivered);
        return;
    case ConnectionEnd::CallerStalled:
        Common::logRequest(Common::LogType::Entry, Common::LogLevel::Warning, id_,
                           "closed the caller's connection: timeout, no byte was taken for {} ms; "
                           "{} bytes not delivered",
                           options_.writeTimeout.count(), undelivered);
        return;
    case ConnectionEnd::Incomplete:
        Common::logRequest(Common::LogType::Entry, Common::LogLevel::Warning, id_,
                           "closed the caller's connection: the response cannot be completed; {} "
                           "bytes not delivered",
                           undelivered);
        return;
    }
}

void Exchange::markGone(ConnectionEnd end)
{
    if (gone_) {
        return;
    }
    gone_ = true;
    connectionEnd_ = end;
    logConnectionEnd();
    if (onGone_) {
        onGone_();
    }
}

template <typename Buffers>
asio::awaitable<bool> Exchange::write(Buffers buffers)
{
    const auto error =
        co_await Async::writeAll(stream_.socket(), buffers, options_.writeTimeout, unwritten_);
    if (error) {
        markGone(error == asio::error::timed_out ? ConnectionEnd::CallerStalled
                                                 : ConnectionEnd::CallerClosed);
    }
    co_return !error;
}

asio::awaitable<bool> Exchange::sendResponse(unsigned status, Common::Headers headers,
                                             std::string body)
{
    http::response<http::empty_body> response;
    response.version(HttpVersion);
    response.result(status);
    for (const auto &header : headers) {
        response.insert(header.name, header.value);
    }
    response.set("X-Request-Id", id_.text());
    response.keep_alive(options_.keepAlive);
    response.content_length(body.size());
    started_ = true;
    const auto head = headText(response);
    complete_ = co_await write(beast::buffers_cat(asio::buffer(head), asio::buffer(body)));
    co_return complete_;
}

asio::awaitable<bool> Exchange::sendProblem(Problem problem)
{
    Common::Headers headers = {{"Content-Type", "application/problem+json"}};
    if (problem.retryAfter) {
        headers.push_back({"Retry-After", std::to_string(retryAfterSeconds(*problem.retryAfter))});
    }
    if (problem.run != Common::RunState::NotRun) {
        // Client libraries retry automatically on most errors. This header, which OpenAI's
        // libraries honour, prevents a retry that could run the request twice.
        headers.push_back({"X-Should-Retry", "false"});
    }
    auto body = problemBody(problem, id_);
    if (!started_ || !pendingHeader_.empty()) {
        pendingHeader_.clear();
        co_return co_await sendResponse(problem.status, std::move(headers), std::move(body));
    }
    if (!eventStream_) {
        // An end in order would make the response look complete.
        markGone(ConnectionEnd::Incomplete);
        co_return false;
    }
    const bool sent = co_await sendChunk("event: error\ndata: " + body + "\n\n");
    closeAfterResponse();
    if (!sent) {
        co_return false;
    }
    co_return co_await endResponse();
}

asio::awaitable<bool> Exchange::startResponse(unsigned status, Common::Headers headers)
{
    http::response<http::empty_body> response;
    response.version(HttpVersion);
    response.result(status);
    for (const auto &header : headers) {
        response.insert(header.name, header.value);
    }
    response.set("X-Request-Id", id_.text());
    if (!options_.chunked) {
        closeAfterResponse();
    }
    response.keep_alive(options_.keepAlive);
    response.chunked(options_.chunked);
    started_ = true;
    const auto *type = Common::findHeader(headers, "Content-Type");
    eventStream_ = type != nullptr && type->rfind("text/event-stream", 0) == 0;
    pendingHeader_ = headText(response);
    co_return !gone_;
}

asio::awaitable<bool> Exchange::sendChunk(std::string_view bytes)
{
    const auto head = std::exchange(pendingHeader_, {});
    const auto headBuffer = asio::buffer(head);
    const asio::const_buffer buffer(bytes.data(), bytes.size());
    // GCC 12 miscompiles co_await inside a conditional expression.
    auto writing = options_.chunked
                       ? write(beast::buffers_cat(headBuffer, http::make_chunk(buffer)))
                       : write(beast::buffers_cat(headBuffer, buffer));
    co_return co_await std::move(writing);
}

asio::awaitable<bool> Exchange::endResponse()
{
    const auto head = std::exchange(pendingHeader_, {});
    const auto headBuffer = asio::buffer(head);
    auto writing = options_.chunked ? write(beast::buffers_cat(headBuffer, http::make_chunk_last()))
                                    : write(headBuffer);
    complete_ = co_await std::move(writing);
    co_return complete_;
}

} // namespace LaburnumChute::Entry
