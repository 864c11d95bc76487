#pragma once

#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace LaburnumChute::Readers {

/// Accepts one connection, reads one request header and writes the given bytes. It then closes the
/// connection, keeps it open without sending until the client closes it, or closes its sending side
/// and resets the connection.
class OneShotServer
{
public:
    enum class AfterResponse { Close, StaySilent, CloseAndReset };

    OneShotServer(std::string response, AfterResponse afterResponse)
        : acceptor_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , response_(std::move(response))
        , afterResponse_(afterResponse)
        , thread_([this] { serve(); })
    {
    }
    ~OneShotServer()
    {
        thread_.join();
    }
    OneShotServer(const OneShotServer &) = delete;
    OneShotServer &operator=(const OneShotServer &) = delete;

    std::string address() const
    {
        return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
    }
    /// The request line; valid once the response has been received.
    const std::string &requestLine() const
    {
        return requestLine_;
    }

private:
    void serve()
    {
        boost::system::error_code ignored;
        // Inherited by the accepted connection, so that long requests are not received unread.
        acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(65536), ignored);
        boost::asio::ip::tcp::socket socket(context_);
        acceptor_.accept(socket, ignored);
        boost::asio::streambuf buffer;
        boost::asio::read_until(socket, buffer, "\r\n\r\n", ignored);
        std::istream stream(&buffer);
        std::getline(stream, requestLine_, '\r');
        boost::asio::write(socket, boost::asio::buffer(response_), ignored);
        if (afterResponse_ == AfterResponse::StaySilent) {
            // Returns when the client closes the connection.
            boost::asio::read_until(socket, buffer, "never", ignored);
        } else if (afterResponse_ == AfterResponse::CloseAndReset) {
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }
    }

    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string response_;
    AfterResponse afterResponse_;
    std::string requestLine_;
    std::thread thread_;
};

inline std::string httpResponse(const std::string &status, const std::string &body)
{
    return fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
}

/// Runs a coroutine to completion on its own io_context.
template <typename T>
T runUntilComplete(boost::asio::awaitable<T> coroutine)
{
    boost::asio::io_context context(1);
    std::optional<T> result;
    boost::asio::co_spawn(context, std::move(coroutine),
                          [&](const std::exception_ptr &error, T value) {
                              if (error) {
                                  std::rethrow_exception(error);
                              }
                              result = std::move(value);
                          });
    context.run();
    return std::move(*result);
}

} // namespace LaburnumChute::Readers
