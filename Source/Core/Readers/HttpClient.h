#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Readers {

namespace asio = boost::asio;

/// One HTTP/1.1 request, sent on a connection of its own.
struct HttpQuery
{
    /// "ip:port".
    std::string address;
    std::string method = "GET";
    std::string target;
    Common::Headers headers;
    std::string body;
    /// For the whole exchange, connecting included.
    Common::milliseconds timeout{2000};
    std::size_t bodyLimitBytes = 2 * 1024 * 1024;
};

struct HttpAnswer
{
    unsigned status = 0;
    Common::Headers headers;
    std::string body;
};

/// Sends the query and reads the whole answer. Errors: InvalidArgument for an address that cannot
/// be read, Unavailable for a connection that fails, breaks or is silent until the timeout,
/// TooLarge.
asio::awaitable<Common::Result<HttpAnswer>> fetch(HttpQuery query);

} // namespace LaburnumChute::Readers
