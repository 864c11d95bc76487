#include "LoadTool/HttpClient.h"

#include <array>
#include <limits>

namespace LaburnumChute::LoadTool {

namespace {
constexpr std::size_t ReadBlock = 16UL * 1024;
} // namespace

ClientConnection::ClientConnection(const asio::any_io_executor &executor)
    : socket_(executor)
{
}

asio::awaitable<bool> ClientConnection::connect(Tcp::endpoint endpoint)
{
    boost::system::error_code error;
    co_await socket_.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    socket_.set_option(Tcp::no_delay(true), error);
    co_return !error;
}

asio::awaitable<bool> ClientConnection::send(const http::request<http::string_body> &request)
{
    boost::system::error_code error;
    co_await http::async_write(socket_, request, asio::redirect_error(asio::use_awaitable, error));
    broken_ = broken_ || error;
    co_return !broken_;
}

asio::awaitable<std::optional<ResponseHead>> ClientConnection::readHead()
{
    parser_.emplace();
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::system::error_code error;
    co_await http::async_read_header(socket_, buffer_, *parser_,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        broken_ = true;
        co_return std::nullopt;
    }
    const auto &message = parser_->get();
    ResponseHead head;
    head.status = message.result_int();
    head.retryAfter = std::string(message[http::field::retry_after]);
    head.contentType = std::string(message[http::field::content_type]);
    co_return head;
}

asio::awaitable<std::optional<std::size_t>> ClientConnection::readSome(char *data, std::size_t size)
{
    // Not eager: an eager parser that has read a chunk but not yet the next chunk's size line asks
    // for more bytes before it returns, so that tokens would be seen in batches and late.
    while (!parser_->is_done()) {
        parser_->get().body().data = data;
        parser_->get().body().size = size;
        parser_->get().body().more = true;
        boost::system::error_code error;
        co_await http::async_read_some(socket_, buffer_, *parser_,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        if (error) {
            broken_ = true;
            co_return std::nullopt;
        }
        const auto got = size - parser_->get().body().size;
        if (got > 0) {
            co_return got;
        }
    }
    co_return 0;
}

asio::awaitable<std::optional<std::string>> ClientConnection::readRest()
{
    std::string text;
    std::array<char, ReadBlock> block{};
    for (;;) {
        const auto got = co_await readSome(block.data(), block.size());
        if (!got) {
            co_return std::nullopt;
        }
        if (*got == 0) {
            co_return text;
        }
        text.append(block.data(), *got);
    }
}

bool ClientConnection::reusable() const
{
    return !broken_ && parser_ && parser_->is_done() && parser_->keep_alive();
}

void ClientConnection::close()
{
    broken_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
}

ClientConnections::ClientConnections(asio::any_io_executor executor)
    : executor_(std::move(executor))
{
}

asio::awaitable<ConnectionPointer> ClientConnections::take(std::string address, bool reuse)
{
    auto &idle = idle_[address];
    if (reuse && !idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        co_return connection;
    }
    auto connection = std::make_shared<ClientConnection>(executor_);
    const bool connected = co_await connection->connect(parseEndpoint(address));
    if (!connected) {
        co_return nullptr;
    }
    co_return connection;
}

void ClientConnections::giveBack(const std::string &address, ConnectionPointer connection)
{
    if (connection->reusable()) {
        idle_[address].push_back(std::move(connection));
    }
}

Tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    const auto port = static_cast<unsigned short>(std::stoi(text.substr(colon + 1)));
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

http::request<http::string_body> makeRequest(http::verb method, const std::string &address,
                                             const std::string &target,
                                             const std::map<std::string, std::string> &headers,
                                             std::string body)
{
    http::request<http::string_body> request(method, target, 11);
    request.set(http::field::host, address);
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    if (!body.empty()) {
        request.set(http::field::content_type, "application/json");
    }
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

asio::awaitable<std::optional<WholeAnswer>>
call(ClientConnections &connections, std::string address, http::request<http::string_body> request)
{
    const auto connection = co_await connections.take(address, false);
    if (!connection) {
        co_return std::nullopt;
    }
    const bool sent = co_await connection->send(request);
    if (!sent) {
        co_return std::nullopt;
    }
    const auto head = co_await connection->readHead();
    if (!head) {
        co_return std::nullopt;
    }
    auto body = co_await connection->readRest();
    if (!body) {
        co_return std::nullopt;
    }
    co_return WholeAnswer{*head, std::move(*body)};
}

} // namespace LaburnumChute::LoadTool
