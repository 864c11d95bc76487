#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Readers {

namespace asio = boost::asio;

/// An HTTP/1.1 request. Each request uses its own connection.
struct HttpClientRequest
{
    /// "ip:port".
    std::string address;
    std::string method = "GET";
    std::string target;
    Common::Headers headers;
    std::string body;
    /// For the whole exchange, including the connection setup.
    Common::milliseconds timeout{2000};
    std::size_t bodyLimitBytes = 2 * 1024 * 1024;
};

struct HttpClientResponse
{
    unsigned status = 0;
    Common::Headers headers;
    std::string body;
};

/// Sends the request and reads the whole response, past interim ones. Errors: InvalidArgument if
/// the address cannot be parsed, Unavailable if connecting fails, the connection breaks, the
/// response is not valid or the timeout expires, TooLarge if the body exceeds its limit.
asio::awaitable<Common::Result<HttpClientResponse>> fetch(HttpClientRequest request);

} // namespace LaburnumChute::Readers
