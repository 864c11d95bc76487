#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "Common/Common.h"

namespace LaburnumChute::LoadTool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

/// Status and the headers that callers look at.
struct ResponseHead
{
    unsigned status = 0;
    std::string retryAfter;
    std::string contentType;
};

/// A caller's connection to an entry instance or an engine: one request at a time, with the body of
/// the answer read as it comes.
class ClientConnection
{
public:
    explicit ClientConnection(const asio::any_io_executor &executor);

    asio::awaitable<bool> connect(Tcp::endpoint endpoint);
    asio::awaitable<bool> send(const http::request<http::string_body> &request);
    /// Nothing when the connection broke before the head of an answer.
    asio::awaitable<std::optional<ResponseHead>> readHead();
    /// Reads some of the body into data; zero at its end, nothing when the connection broke.
    asio::awaitable<std::optional<std::size_t>> readSome(char *data, std::size_t size);
    /// The rest of the body, or nothing when the connection broke.
    asio::awaitable<std::optional<std::string>> readRest();
    /// True when another request may follow on this connection.
    bool reusable() const;
    /// Ends a read under way: the way in which a caller abandons a request.
    void close();

private:
    Tcp::socket socket_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::buffer_body>> parser_;
    bool broken_ = false;
};

using ConnectionPointer = std::shared_ptr<ClientConnection>;

/// Idle connections by address, as a client library keeps them.
class ClientConnections
{
public:
    explicit ClientConnections(asio::any_io_executor executor);

    /// An idle connection if there is one and reuse is wanted, else a fresh one; null when it
    /// cannot be made.
    asio::awaitable<ConnectionPointer> take(std::string address, bool reuse);
    void giveBack(const std::string &address, ConnectionPointer connection);

private:
    asio::any_io_executor executor_;
    std::map<std::string, std::vector<ConnectionPointer>> idle_;
};

Tcp::endpoint parseEndpoint(const std::string &text);
http::request<http::string_body> makeRequest(http::verb method, const std::string &address,
                                             const std::string &target,
                                             const std::map<std::string, std::string> &headers,
                                             std::string body);

/// One call with a whole answer.
struct WholeAnswer
{
    ResponseHead head;
    std::string body;
};
asio::awaitable<std::optional<WholeAnswer>>
call(ClientConnections &connections, std::string address, http::request<http::string_body> request);

} // namespace LaburnumChute::LoadTool
