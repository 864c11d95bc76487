#include "Async/TcpAddress.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>

namespace LaburnumChute::Async {

using boost::asio::ip::tcp;

Common::Result<tcp::endpoint> parseTcpAddress(const std::string &address)
{
    const auto colon = std::min(address.rfind(':'), address.size());
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), error);
    const auto *end = address.data() + address.size();
    const auto *start = std::min(address.data() + colon + 1, end);
    unsigned short port = 0;
    const auto parsed = std::from_chars(start, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 "\"" + address + "\" is no address; expected ip:port");
    }
    return tcp::endpoint(ip, port);
}

Common::Result<std::string> listenOn(tcp::acceptor &acceptor, const std::string &address)
{
    const auto endpoint = parseTcpAddress(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Common::makeError(Common::ErrorCode::Unavailable,
                                 "cannot listen on " + address + ": " + error.message());
    }
    const auto port = acceptor.local_endpoint().port();
    return endpoint->address().to_string() + ":" + std::to_string(port);
}

} // namespace LaburnumChute::Async
