#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::StandIns {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// Path and query of a request target, both decoded.
struct Target
{
    std::string path;
    std::map<std::string, std::string> query;

    std::string value(const std::string &name, const std::string &otherwise = {}) const;
    /// The rest of the path when it starts with the prefix.
    std::optional<std::string> after(const std::string &prefix) const;
};
Target parseTarget(std::string_view target);

/// "127.0.0.1:80" as an endpoint; throws on other texts, which come from the test's own scenario.
Tcp::endpoint parseEndpoint(const std::string &text);
std::string toString(const Tcp::endpoint &endpoint);

/// An acceptor that is bound and does not listen yet. One that never listens reserves its port for
/// acceptors that are closed and opened again: callers are refused meanwhile, and no other process
/// of the machine gets the port.
Tcp::acceptor bindAcceptor(asio::io_context &context, const Tcp::endpoint &endpoint);

asio::awaitable<void> sleepFor(asio::io_context &context, Common::Duration duration);

/// Lets one coroutine wait until something has changed. All users run on one thread, so that
/// nothing changes between a check and the wait.
class Signal
{
public:
    explicit Signal(const asio::any_io_executor &executor);
    asio::awaitable<void> wait();
    /// As wait(), but returns after the given time at the latest. For a single waiter.
    asio::awaitable<void> waitFor(Common::Duration duration);
    void notify();

private:
    asio::steady_timer timer_;
};

/// One accepted connection with the request that it currently serves.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    explicit HttpConnection(Tcp::socket socket);

    const http::request<http::string_body> &request() const
    {
        return request_;
    }
    std::string header(std::string_view name) const;
    /// Requests answered on this connection before the current one.
    std::size_t served() const
    {
        return served_;
    }
    bool isOpen() const
    {
        return open_;
    }
    bool keepAlive() const;

    asio::awaitable<bool> readRequest();
    asio::awaitable<void> respond(http::status status, std::string body,
                                  std::map<std::string, std::string> headers = {});
    asio::awaitable<void> respond(http::status status, const nlohmann::json &body);
    asio::awaitable<bool> beginStream(std::map<std::string, std::string> headers);
    asio::awaitable<bool> writeChunk(std::string data);
    asio::awaitable<void> endStream();

    /// Calls back once when the peer closes while the current request is being served.
    void watchForClose(std::function<void()> closed);
    void stopWatching();
    /// Resets the connection: the peer sees ECONNRESET.
    void abort();

private:
    Tcp::socket socket_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::shared_ptr<std::function<void()>> closed_;
    std::size_t served_ = 0;
    bool open_ = true;
};

using ConnectionPointer = std::shared_ptr<HttpConnection>;
using HttpHandler = std::function<asio::awaitable<void>(ConnectionPointer)>;

/// A small HTTP/1.1 server on the thread of its io_context.
class HttpServer
{
public:
    HttpServer(asio::io_context &context, HttpHandler handler);

    /// Port 0 takes a free one; the address is kept for the next listen() after a stop().
    void listen(const std::string &address);
    void listenAgain();
    std::string address() const;
    /// Closes the listener and resets all connections, as the death of the process would.
    void stop();

private:
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(ConnectionPointer connection);

    asio::io_context &context_;
    HttpHandler handler_;
    Tcp::endpoint endpoint_;
    std::optional<Tcp::acceptor> reservation_;
    std::optional<Tcp::acceptor> acceptor_;
    std::list<std::weak_ptr<HttpConnection>> connections_;
};

/// Result of one call of the client below; status 0 when the connection failed.
struct HttpAnswer
{
    unsigned status = 0;
    std::string body;
    std::string retryAfter;
};

/// One GET on a connection of its own.
asio::awaitable<HttpAnswer> httpGet(asio::io_context &context, std::string address,
                                    std::string target);

} // namespace LaburnumChute::StandIns
