#pragma once

#include <cstddef>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Async {

/// Bytes that the kernel holds for the peer: not sent, or not acknowledged by the peer's kernel.
std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);

/// What became of the bytes that were sent on a connection.
enum class DeliveryState {
    /// The peer's kernel has acknowledged all that this one has taken.
    Acknowledged,
    /// Some are not acknowledged yet.
    Pending,
    /// The peer has reset the connection.
    Reset,
};

/// Also tells of a reset behind the end of what the peer sends, which a read does not report.
DeliveryState deliveryState(boost::asio::ip::tcp::socket &socket);

/// Waits until the peer has acknowledged all bytes. Fails with connection_reset when it has reset
/// the connection, and with timed_out at the deadline.
boost::asio::awaitable<boost::system::error_code>
waitUntilAcknowledged(boost::asio::ip::tcp::socket &socket, Common::Time deadline);

/// Waits until the socket takes more bytes. Fails with timed_out, and cancels all operations of the
/// socket, when the peer has acknowledged nothing for the time limit.
boost::asio::awaitable<boost::system::error_code>
waitUntilWritable(boost::asio::ip::tcp::socket &socket, Common::Duration stallLimit);

/// Writes all buffers. The time limit is one for the time without progress. `unwritten` holds the
/// number of bytes that the kernel has not taken; it must outlive the operation.
template <typename Buffers>
boost::asio::awaitable<boost::system::error_code>
writeAll(boost::asio::ip::tcp::socket &socket, Buffers buffers, Common::Duration stallLimit,
         std::size_t &unwritten)
{
    boost::beast::buffers_suffix<Buffers> rest(buffers);
    unwritten = boost::beast::buffer_bytes(rest);
    boost::system::error_code error;
    socket.non_blocking(true, error);
    while (!error && unwritten > 0) {
        const auto written = socket.write_some(rest, error);
        rest.consume(written);
        unwritten -= written;
        if (error == boost::asio::error::would_block) {
            error = co_await waitUntilWritable(socket, stallLimit);
        }
    }
    co_return error;
}

} // namespace LaburnumChute::Async
