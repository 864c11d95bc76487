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

http::request<http::string_body> makeMessage(const HttpQuery &query)
{
    http::request<http::string_body> message(http::string_to_verb(query.method), query.target,
                                             HttpVersion);
    message.set(http::field::host, query.address);
    message.set(http::field::connection, "close");
    for (const auto &header : query.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = query.body;
    message.prepare_payload();
    return message;
}

auto unavailable(const HttpQuery &query, const boost::system::error_code &error)
{
    const auto code = error == http::error::body_limit ? Common::ErrorCode::TooLarge
                                                       : Common::ErrorCode::Unavailable;
    return Common::makeError(code, query.address + query.target + ": " + error.message());
}

} // namespace

asio::awaitable<Common::Result<HttpAnswer>> fetch(HttpQuery query)
{
    const auto endpoint = Async::parseTcpAddress(query.address);
    if (!endpoint) {
        co_return tl::unexpected(endpoint.error());
    }
    if (endpoint->port() == 0) {
        co_return Common::makeError(Common::ErrorCode::InvalidArgument,
                                    "\"" + query.address + "\" has no port to connect to");
    }
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    boost::system::error_code error;
    stream.expires_after(query.timeout);
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable(query, error);
    }
    const auto message = makeMessage(query);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable(query, error);
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(query.bodyLimitBytes);
    // The head is read apart: with one read for the whole answer Beast 1.74 was seen to let a body
    // of a stated length pass its bound.
    co_await http::async_read_header(stream, buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable(query, error);
    }
    co_await http::async_read(stream, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable(query, error);
    }
    HttpAnswer answer;
    answer.status = parser.get().result_int();
    for (const auto &field : parser.get()) {
        answer.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    answer.body = std::move(parser.get().body());
    co_return answer;
}

} // namespace LaburnumChute::Readers
