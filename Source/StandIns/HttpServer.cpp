#include "StandIns/HttpServer.h"

#include <sys/socket.h>

#include <charconv>
#include <stdexcept>

namespace LaburnumChute::StandIns {

namespace {

constexpr int SendBufferBytes = 32 * 1024;
constexpr std::uint64_t BodyLimit = 256ULL << 20U;

std::string decode(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size()
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ec
                   == std::errc()) {
            out += static_cast<char>(value);
            i += 2;
            continue;
        }
        out += text[i];
    }
    return out;
}

bool peerHasClosed(Tcp::socket &socket)
{
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

std::string Target::value(const std::string &name, const std::string &otherwise) const
{
    const auto found = query.find(name);
    return found == query.end() ? otherwise : found->second;
}

std::optional<std::string> Target::after(const std::string &prefix) const
{
    if (path.rfind(prefix, 0) != 0) {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

Target parseTarget(std::string_view target)
{
    Target parsed;
    const auto mark = target.find('?');
    parsed.path = decode(target.substr(0, mark));
    if (mark == std::string_view::npos) {
        return parsed;
    }
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        const auto value =
            equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        parsed.query[decode(pair.substr(0, equals))] = decode(value);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
    }
    return parsed;
}

Tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("not an address: " + text);
    }
    const auto port = static_cast<unsigned short>(std::stoi(text.substr(colon + 1)));
    return {asio::ip::make_address(text.substr(0, colon)), port};
}

std::string toString(const Tcp::endpoint &endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

asio::awaitable<void> sleepFor(asio::io_context &context, Common::Duration duration)
{
    asio::steady_timer timer(context, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

Signal::Signal(const asio::any_io_executor &executor)
    : timer_(executor, Common::Time::max())
{
}

asio::awaitable<void> Signal::wait()
{
    boost::system::error_code error;
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

asio::awaitable<void> Signal::waitFor(Common::Duration duration)
{
    timer_.expires_after(duration);
    co_await wait();
    timer_.expires_at(Common::Time::max());
}

void Signal::notify()
{
    timer_.cancel();
}

HttpConnection::HttpConnection(Tcp::socket socket)
    : socket_(std::move(socket))
{
    socket_.set_option(Tcp::no_delay(true));
    // What waits in the kernel counts as read by the peer; an engine must not take megabytes for
    // that.
    socket_.set_option(asio::socket_base::send_buffer_size(SendBufferBytes));
}

std::string HttpConnection::header(std::string_view name) const
{
    return std::string(request_[beast::string_view(name.data(), name.size())]);
}

bool HttpConnection::keepAlive() const
{
    return open_ && request_.keep_alive();
}

asio::awaitable<bool> HttpConnection::readRequest()
{
    http::request_parser<http::string_body> parser;
    parser.body_limit(BodyLimit);
    boost::system::error_code error;
    co_await http::async_read(socket_, buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        open_ = false;
        co_return false;
    }
    request_ = parser.release();
    co_return true;
}

asio::awaitable<void> HttpConnection::respond(http::status status, std::string body,
                                              std::map<std::string, std::string> headers)
{
    http::response<http::string_body> response(status, 11);
    response.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(socket_, response, asio::redirect_error(asio::use_awaitable, error));
    open_ = open_ && !error;
    ++served_;
}

asio::awaitable<void> HttpConnection::respond(http::status status, const nlohmann::json &body)
{
    co_await respond(status, body.dump());
}

asio::awaitable<bool> HttpConnection::beginStream(std::map<std::string, std::string> headers)
{
    http::response<http::empty_body> response(http::status::ok, 11);
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    boost::system::error_code error;
    co_await http::async_write_header(socket_, serializer,
                                      asio::redirect_error(asio::use_awaitable, error));
    open_ = open_ && !error;
    co_return open_;
}

asio::awaitable<bool> HttpConnection::writeChunk(std::string data)
{
    boost::system::error_code error;
    co_await asio::async_write(socket_, http::make_chunk(asio::buffer(data)),
                               asio::redirect_error(asio::use_awaitable, error));
    open_ = open_ && !error;
    co_return open_;
}

asio::awaitable<void> HttpConnection::endStream()
{
    boost::system::error_code error;
    co_await asio::async_write(socket_, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, error));
    open_ = open_ && !error;
    ++served_;
}

void HttpConnection::watchForClose(std::function<void()> closed)
{
    closed_ = std::make_shared<std::function<void()>>(std::move(closed));
    const std::weak_ptr<std::function<void()>> watch = closed_;
    socket_.async_wait(Tcp::socket::wait_read,
                       [self = shared_from_this(), watch](boost::system::error_code error) {
                           const auto callback = watch.lock();
                           if (!callback || (!error && !peerHasClosed(self->socket_))) {
                               return;
                           }
                           self->open_ = false;
                           (*callback)();
                       });
}

void HttpConnection::stopWatching()
{
    closed_.reset();
}

void HttpConnection::abort()
{
    open_ = false;
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

Tcp::acceptor bindAcceptor(asio::io_context &context, const Tcp::endpoint &endpoint)
{
    Tcp::acceptor acceptor(context);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(Tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    return acceptor;
}

HttpServer::HttpServer(asio::io_context &context, HttpHandler handler)
    : context_(context)
    , handler_(std::move(handler))
{
}

void HttpServer::listen(const std::string &address)
{
    reservation_.emplace(bindAcceptor(context_, parseEndpoint(address)));
    endpoint_ = reservation_->local_endpoint();
    listenAgain();
}

void HttpServer::listenAgain()
{
    acceptor_.emplace(bindAcceptor(context_, endpoint_));
    acceptor_->listen(asio::socket_base::max_listen_connections);
    asio::co_spawn(context_, accept(), asio::detached);
}

std::string HttpServer::address() const
{
    return toString(endpoint_);
}

void HttpServer::stop()
{
    if (acceptor_) {
        boost::system::error_code ignored;
        acceptor_->close(ignored);
    }
    for (const auto &weak : connections_) {
        if (const auto connection = weak.lock()) {
            connection->abort();
        }
    }
    connections_.clear();
}

asio::awaitable<void> HttpServer::accept()
{
    for (;;) {
        boost::system::error_code error;
        auto socket =
            co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            co_return;
        }
        if (error) {
            co_await sleepFor(context_, Common::milliseconds(10));
            continue;
        }
        connections_.remove_if([](const auto &weak) { return weak.expired(); });
        auto connection = std::make_shared<HttpConnection>(std::move(socket));
        connections_.push_back(connection);
        asio::co_spawn(context_, serve(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> HttpServer::serve(ConnectionPointer connection)
{
    for (;;) {
        const bool got = co_await connection->readRequest();
        if (!got) {
            co_return;
        }
        co_await handler_(connection);
        connection->stopWatching();
        if (!connection->keepAlive()) {
            co_return;
        }
    }
}

asio::awaitable<HttpAnswer> httpGet(asio::io_context &context, std::string address,
                                    std::string target)
{
    HttpAnswer answer;
    boost::system::error_code error;
    Tcp::socket socket(context);
    co_await socket.async_connect(parseEndpoint(address),
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return answer;
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, address);
    co_await http::async_write(socket, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return answer;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(BodyLimit);
    co_await http::async_read(socket, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return answer;
    }
    answer.status = parser.get().result_int();
    answer.retryAfter = std::string(parser.get()[http::field::retry_after]);
    answer.body = std::move(parser.get().body());
    co_return answer;
}

} // namespace LaburnumChute::StandIns
