#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Async {

inline constexpr int InterimResponseLimit = 16;

/// Reads past interim responses until `parser` holds the head of the final one. Fails with
/// bad_status if a status is neither that of an interim nor that of a final response, and with
/// header_limit after too many interim responses.
/// @param setLimits called for the parser of each response
template <typename Stream, typename Buffer, typename Parser, typename SetLimits>
boost::asio::awaitable<boost::system::error_code>
readFinalHead(Stream &stream, Buffer &buffer, std::optional<Parser> &parser, SetLimits setLimits)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    for (int interim = 0; interim <= InterimResponseLimit; ++interim) {
        parser.emplace();
        setLimits(*parser);
        boost::system::error_code error;
        co_await http::async_read_header(stream, buffer, *parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error || Common::isFinalStatus(parser->get().result_int())) {
            co_return error;
        }
        if (!Common::isInterimStatus(parser->get().result_int())) {
            co_return http::error::bad_status;
        }
    }
    co_return http::error::header_limit;
}

} // namespace LaburnumChute::Async
