#include "Entry/Exchange.h"

#include <poll.h>
#include <random>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_cat.hpp>

#include "Async/Async.h"

namespace LaburnumChute::Entry {

namespace {

namespace http = beast::http;

constexpr int HttpVersion = 11;
constexpr std::size_t RequestIdLimit = 128;
/// How often a connection with a further request already waiting is looked at for its end.
constexpr Common::milliseconds HangUpInterval{100};

bool isRequestIdLetter(char letter)
{
    return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_'
           || letter == '.';
}

std::string randomId()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return fmt::format("{:016x}{:08x}", generator(), static_cast<std::uint32_t>(generator()));
}

/// The caller's own id where it is fit for a URL path, else a new one.
Common::RequestId chooseId(const Common::Headers &headers)
{
    const auto *given = Common::findHeader(headers, "X-Request-Id");
    if (given != nullptr && !given->empty() && given->size() <= RequestIdLimit
        && std::all_of(given->begin(), given->end(), &isRequestIdLetter)) {
        return Common::RequestId(*given);
    }
    return Common::RequestId(randomId());
}

enum class Peek { Closed, Data, Nothing };

Peek peek(asio::ip::tcp::socket &socket)
{
    boost::system::error_code error;
    socket.non_blocking(true, error);
    char byte = 0;
    const auto size =
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
        return Peek::Nothing;
    }
    return error || size == 0 ? Peek::Closed : Peek::Data;
}

bool hungUp(asio::ip::tcp::socket &socket)
{
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

struct Exchange::WatchState
{
    WatchState(Exchange *watched, asio::ip::tcp::socket &watchedSocket)
        : exchange(watched)
        , socket(watchedSocket)
    {
    }

    /// Null once the exchange has ended.
    Exchange *exchange;
    asio::ip::tcp::socket &socket;
};

Exchange::Exchange(beast::tcp_stream &stream, HttpRequest request, Options options)
    : stream_(stream)
    , request_(std::move(request))
    , options_(options)
    , id_(chooseId(request_.headers))
{
}

Exchange::~Exchange()
{
    stopWatching();
}

void Exchange::watch()
{
    watch_ = std::make_shared<WatchState>(this, stream_.socket());
    asio::co_spawn(stream_.get_executor(), runWatch(watch_), asio::detached);
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

asio::awaitable<void> Exchange::runWatch(std::shared_ptr<WatchState> state)
{
    boost::system::error_code error;
    co_await state->socket.async_wait(asio::socket_base::wait_read,
                                      asio::redirect_error(asio::use_awaitable, error));
    // From here on the socket may be gone when the exchange is.
    while (state->exchange != nullptr) {
        const auto seen = error ? Peek::Closed : peek(state->socket);
        if (seen == Peek::Closed || hungUp(state->socket)) {
            state->exchange->markGone();
            co_return;
        }
        co_await Async::sleepFor(HangUpInterval);
    }
}

void Exchange::markGone()
{
    if (gone_) {
        return;
    }
    gone_ = true;
    if (onGone_) {
        onGone_();
    }
}

bool Exchange::check(const boost::system::error_code &error)
{
    if (error) {
        markGone();
    }
    return !error;
}

asio::awaitable<bool> Exchange::sendWhole(unsigned status, Common::Headers headers,
                                          std::string body)
{
    http::response<http::string_body> answer;
    answer.version(HttpVersion);
    answer.result(status);
    for (const auto &header : headers) {
        answer.insert(header.name, header.value);
    }
    answer.set("X-Request-Id", id_.text());
    answer.keep_alive(options_.keepAlive);
    answer.body() = std::move(body);
    answer.prepare_payload();
    started_ = true;
    boost::system::error_code error;
    stream_.expires_after(options_.writeTimeout);
    co_await http::async_write(stream_, answer, asio::redirect_error(asio::use_awaitable, error));
    complete_ = !error;
    co_return check(error);
}

asio::awaitable<bool> Exchange::sendProblem(Problem problem)
{
    Common::Headers headers = {{"Content-Type", "application/problem+json"}};
    if (problem.retryAfter) {
        headers.push_back({"Retry-After", std::to_string(retryAfterSeconds(*problem.retryAfter))});
    }
    if (problem.run != Common::RunState::NotRun) {
        // Client libraries resend on most errors by themselves; this header, which OpenAI's obey,
        // keeps them from it where a second run may result.
        headers.push_back({"X-Should-Retry", "false"});
    }
    auto body = problemBody(problem, id_);
    if (!started_) {
        co_return co_await sendWhole(problem.status, std::move(headers), std::move(body));
    }
    const bool sent = co_await sendPiece("event: error\ndata: " + body + "\n\n");
    closeAfterwards();
    if (!sent) {
        co_return false;
    }
    co_return co_await endBody();
}

asio::awaitable<bool> Exchange::startBody(unsigned status, Common::Headers headers)
{
    http::response<http::empty_body> answer;
    answer.version(HttpVersion);
    answer.result(status);
    for (const auto &header : headers) {
        answer.insert(header.name, header.value);
    }
    answer.set("X-Request-Id", id_.text());
    if (!options_.chunked) {
        closeAfterwards();
    }
    answer.keep_alive(options_.keepAlive);
    answer.chunked(options_.chunked);
    started_ = true;
    std::ostringstream head;
    head << answer.base();
    pendingHead_ = head.str();
    co_return !gone_;
}

asio::awaitable<bool> Exchange::sendPiece(std::string_view bytes)
{
    const auto head = std::exchange(pendingHead_, {});
    const asio::const_buffer headBuffer(head.data(), head.size());
    const asio::const_buffer buffer(bytes.data(), bytes.size());
    boost::system::error_code error;
    stream_.expires_after(options_.writeTimeout);
    if (options_.chunked) {
        co_await asio::async_write(stream_,
                                   beast::buffers_cat(headBuffer, http::make_chunk(buffer)),
                                   asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await asio::async_write(stream_, beast::buffers_cat(headBuffer, buffer),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    co_return check(error);
}

asio::awaitable<bool> Exchange::endBody()
{
    const auto head = std::exchange(pendingHead_, {});
    const asio::const_buffer headBuffer(head.data(), head.size());
    boost::system::error_code error;
    stream_.expires_after(options_.writeTimeout);
    if (options_.chunked) {
        co_await asio::async_write(stream_, beast::buffers_cat(headBuffer, http::make_chunk_last()),
                                   asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await asio::async_write(stream_, headBuffer,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    complete_ = !error;
    co_return check(error);
}

} // namespace LaburnumChute::Entry
