#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Async {

/// "ip:port" as a TCP address; names are not looked up. Fails with InvalidArgument.
Common::Result<boost::asio::ip::tcp::endpoint> parseTcpAddress(const std::string &address);

/// Binds an acceptor to "ip:port" (port 0: any free one) and listens. Returns the address bound.
/// Fails with InvalidArgument or, when the address cannot be had, with Unavailable.
Common::Result<std::string> listenOn(boost::asio::ip::tcp::acceptor &acceptor,
                                     const std::string &address);

} // namespace LaburnumChute::Async
