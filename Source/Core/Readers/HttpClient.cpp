#include "Readers/HttpClient.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "Async/Async.h"

namespace LaburnumChute::Readers {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr int HttpVersion = 11;
/// Limits what a response may keep in memory apart from its body, say a chunk's extension.
constexpr std::size_t BufferLimitBytes = 64 * 1024;

http::request<http::string_body> makeMessage(const HttpClientRequest &request)
{
    http::request<http::string_body> message(http::string_to_verb(request.method), request.target,
                                             HttpVersion);
    message.set(http::field::host, request.address);
    message.set(http::field::connection, "close");
    for (const auto &header : request.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

auto requestError(const HttpClientRequest &request, const boost::system::error_code &error)
{
    const auto code = error == http::error::body_limit ? Common::ErrorCode::TooLarge
                                                       : Common::ErrorCode::Unavailable;
    return Common::makeError(code, request.address + request.target + ": " + error.message());
}

} // namespace

asio::awaitable<Common::Result<HttpClientResponse>> fetch(HttpClientRequest request)
{
    const auto destination = Async::parseTcpAddress(request.address);
    if (!destination) {
        co_return tl::unexpected(destination.error());
    }
    if (destination->port() == 0) {
        co_return Common::makeError(Common::ErrorCode::InvalidArgument,
                                    "\"" + request.address + "\" has no port to connect to");
    }
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    boost::system::error_code error;
    const auto deadline = std::chrono::steady_clock::now() + request.timeout;
    stream.expires_at(deadline);
    co_await stream.async_connect(*destination, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return requestError(request, error);
    }
    const auto message = makeMessage(request);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return requestError(request, error);
    }
    beast::flat_buffer buffer(BufferLimitBytes);
    std::optional<http::response_parser<http::string_body>> parser;
    // The header is read separately: when Beast 1.74 reads the whole response in one operation, a
    // body with a Content-Length can exceed body_limit().
    error = co_await Async::readFinalHead(
        stream, buffer, parser,
        [limit = request.bodyLimitBytes](auto &one) { one.body_limit(limit); });
    if (error) {
        co_return requestError(request, error);
    }
    co_await http::async_read(stream, buffer, *parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (!error && parser->need_eof()) {
        error = co_await Async::waitUntilAcknowledged(stream.socket(), deadline);
    }
    if (error) {
        co_return requestError(request, error);
    }
    HttpClientResponse response;
    response.status = parser->get().result_int();
    for (const auto &field : parser->get()) {
        response.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    response.body = std::move(parser->get().body());
    co_return response;
}

} // namespace LaburnumChute::Readers
