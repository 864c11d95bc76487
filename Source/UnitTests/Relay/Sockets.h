#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace LaburnumChute::Relay {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A server that runs one script for each accepted connection, on its own thread.
class ScriptedServer
{
public:
    using Script = std::function<void(tcp::socket &)>;

    explicit ScriptedServer(std::vector<Script> scripts)
        : acceptor_(context_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , thread_([this, scripts = std::move(scripts)] { runScripts(scripts); })
    {
    }
    ~ScriptedServer()
    {
        // Unblocks a pending accept.
        boost::system::error_code ignored;
        tcp::socket unblockingSocket(context_);
        unblockingSocket.connect(acceptor_.local_endpoint(), ignored);
        // Unblocks a script that is waiting to read a request.
        unblockingSocket.close(ignored);
        thread_.join();
    }
    ScriptedServer(const ScriptedServer &) = delete;
    ScriptedServer &operator=(const ScriptedServer &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    int acceptedCount() const
    {
        return acceptedCount_;
    }

    /// Reads a request's head. A body that arrives with it is discarded.
    static std::string readHead(tcp::socket &socket)
    {
        asio::streambuf buffer;
        boost::system::error_code error;
        const auto size = asio::read_until(socket, buffer, "\r\n\r\n", error);
        return std::string(asio::buffers_begin(buffer.data()),
                           asio::buffers_begin(buffer.data()) + static_cast<std::ptrdiff_t>(size));
    }
    static void write(tcp::socket &socket, const std::string &bytes)
    {
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }
    static void reset(tcp::socket &socket)
    {
        boost::system::error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

private:
    void runScripts(const std::vector<Script> &scripts)
    {
        for (const auto &script : scripts) {
            boost::system::error_code error;
            tcp::socket socket(context_);
            acceptor_.accept(socket, error);
            if (error) {
                return;
            }
            ++acceptedCount_;
            script(socket);
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<int> acceptedCount_{0};
    std::thread thread_;
};

} // namespace LaburnumChute::Relay
