#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Async {

/// Parses "ip:port" as a TCP address; host names are not resolved. Fails with InvalidArgument.
Common::Result<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string &address);

/// Binds an acceptor to "ip:port" (port 0: any free port) and listens. Returns the bound address.
/// Fails with InvalidArgument, or with Unavailable if the address cannot be bound.
Common::Result<std::string> listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                                     const std::string &address);

} // namespace LaburnumChute::Async
