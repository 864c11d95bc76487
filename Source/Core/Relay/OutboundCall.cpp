#include "Relay/OutboundCall.h"

#include <algorithm>

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>

#include "Async/Async.h"
#include "Relay/HttpText.h"

namespace LaburnumChute::Relay {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t MaxHeaderBytes = 64 * 1024;

/// Whether the remote side has acknowledged all bytes.
bool isDelivered(asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes == 0;
}

} // namespace

std::string_view toString(ResponseEnd end)
{
    switch (end) {
    case ResponseEnd::Framing:
        return "framing";
    case ResponseEnd::ConnectionClose:
        return "connection close";
    }
    return "unknown";
}

OutboundCall::OutboundCall(std::shared_ptr<OutboundPool> pool, OutboundRequest request,
                           CallEvents events)
    : pool_(std::move(pool))
    , request_(std::move(request))
    , events_(std::move(events))
{
}

void OutboundCall::start(Common::Time now)
{
    connection_ = pool_->acquire(request_.address, request_.maxIdle, now, request_.requestKey);
    if (connection_) {
        usedIdleConnection_ = true;
        send();
        return;
    }
    connect(now);
}

void OutboundCall::start(OutboundConnectionPtr connection, Common::Time now)
{
    if (!connection) {
        start(now);
        return;
    }
    connection_ = std::move(connection);
    usedIdleConnection_ = true;
    send();
}

bool OutboundCall::remoteClosed() const
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    const bool known =
        connection_ && connection_->socket.is_open()
        && ::getsockopt(connection_->socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size)
               == 0;
    return !known || info.tcpi_state != TCP_ESTABLISHED;
}

bool OutboundCall::remoteReset() const
{
    return connection_ && Async::deliveryState(connection_->socket) == Async::DeliveryState::Reset;
}

void OutboundCall::connect(Common::Time now)
{
    const auto target = Async::parseTcpAddress(request_.address);
    connection_ = target ? pool_->open(*target) : nullptr;
    if (!connection_) {
        asio::post(pool_->context(), [self = shared_from_this()] {
            self->fail(CallFailure::NotConnected, "no socket for " + self->request_.address);
        });
        return;
    }
    connecting_ = true;
    connectDeadline_ = now + request_.connectTimeout;
    connection_->socket.async_connect(
        *target, [self = shared_from_this()](const boost::system::error_code &failure) {
            if (self->finished_) {
                return;
            }
            self->connecting_ = false;
            if (failure) {
                const bool refused = failure == asio::error::connection_refused;
                self->fail(refused ? CallFailure::Refused : CallFailure::NotConnected,
                           failure.message());
                return;
            }
            self->send();
        });
}

void OutboundCall::send()
{
    const auto self = shared_from_this();
    if (events_.maySend && !events_.maySend()) {
        fail(CallFailure::Withheld, "the endpoint takes no more requests");
        return;
    }
    connected_ = true;
    connection_->recordRequest(request_.requestKey);
    newParser();
    const std::array<asio::const_buffer, 2> buffers = {asio::buffer(request_.head),
                                                       asio::buffer(*request_.body)};
    asio::async_write(
        connection_->socket, buffers,
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            // A write error does not fail the call: a response that states its length may
            // already have arrived, and the pending read determines the outcome.
            self->requestWritten_ = !error;
            self->writeFailed_ = error.failed();
            self->finishIfRequestReceived();
        });
    read();
}

void OutboundCall::newParser()
{
    parser_.emplace();
    parser_->header_limit(MaxHeaderBytes);
    parser_->body_limit(request_.maxBodyBytes);
    parser_->skip(request_.isHeadMethod);
    headerDone_ = false;
    skippingResponse_ = false;
}

void OutboundCall::read()
{
    if (finished_ || readPending_ || paused_) {
        return;
    }
    readPending_ = true;
    connection_->socket.async_read_some(
        asio::buffer(readBuffer_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->readPending_ = false;
            if (!self->finished_) {
                self->received(error, size);
            }
        });
}

void OutboundCall::received(const boost::system::error_code &error, std::size_t size)
{
    if (!error) {
        input_.append(readBuffer_.data(), size);
        parse();
        read();
        return;
    }
    const bool cleanClose = error == asio::error::eof;
    if (!cleanClose || !headerDone_ || skippingResponse_ || !parser_->need_eof()) {
        fail(CallFailure::Broken, error.message());
        return;
    }
    responseClosed_ = true;
    finishIfRequestReceived();
}

/// Completes a response that ended with its connection. Reads do not report a reset that the write
/// of the request got, or that came behind the end of the response.
void OutboundCall::finishIfRequestReceived()
{
    if (finished_ || !responseClosed_) {
        return;
    }
    const auto state = Async::deliveryState(connection_->socket);
    if (writeFailed_ || state == Async::DeliveryState::Reset) {
        fail(CallFailure::Broken, "the connection was reset after a response without a length");
        return;
    }
    if (!requestWritten_ || state == Async::DeliveryState::Pending) {
        return;
    }
    boost::system::error_code ignored;
    parser_->put_eof(ignored);
    finish(ResponseEnd::ConnectionClose);
}

void OutboundCall::parse()
{
    const auto self = shared_from_this();
    while (!finished_ && !input_.empty() && parseNext()) { }
    if (finished_) {
        return;
    }
    const auto violation = bounds_.violation(input_.size());
    if (!violation.empty()) {
        fail(CallFailure::Invalid, "not an answer: " + std::string(violation));
    }
}

/// Records bytes of the current message that were parsed, before its body is delivered.
void OutboundCall::recordParsed(std::size_t size)
{
    const bool interim =
        parser_->is_header_done() && Common::isInterimStatus(parser_->get().result_int());
    if (skippingResponse_ || interim) {
        bounds_.skipped(size);
        return;
    }
    const auto body = parser_->get().body().size();
    bounds_.received(size, std::min(size, body));
}

bool OutboundCall::parseNext()
{
    boost::system::error_code error;
    const auto used = parser_->put(asio::buffer(input_), error);
    input_.erase(0, used);
    recordParsed(used);
    if (error && error != http::error::need_more) {
        fail(CallFailure::Invalid, "not an answer: " + error.message());
        return false;
    }
    if (!headerDone_ && parser_->is_header_done()) {
        headerDone_ = true;
        if (!handleHead()) {
            return !finished_;
        }
    }
    if (headerDone_) {
        deliverBody();
    }
    if (finished_) {
        return false;
    }
    if (parser_->is_done()) {
        if (skippingResponse_) {
            newParser();
            return true;
        }
        finish(ResponseEnd::Framing);
        return false;
    }
    return !error && used > 0;
}

/// Returns false if the response is interim or the call has ended. A response to another request is
/// marked to be skipped.
bool OutboundCall::handleHead()
{
    const auto &message = parser_->get();
    if (Common::isInterimStatus(message.result_int())) {
        newParser();
        return false;
    }
    if (!Common::isFinalStatus(message.result_int())) {
        fail(CallFailure::Invalid, fmt::format("not an answer: status {}", message.result_int()));
        return false;
    }
    ResponseHead head;
    head.status = message.result_int();
    for (const auto &field : message) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    idleTimeout_ = keepAliveTimeout(head.headers);
    if (!idleTimeout_) {
        idleTimeout_ = request_.assumedIdleTimeout;
    }
    const auto self = shared_from_this();
    const bool expected = events_.head(head);
    if (finished_) {
        return false;
    }
    skippingResponse_ = !expected;
    if (skippingResponse_ && parser_->need_eof()) {
        fail(CallFailure::Invalid, "an answer to another request that has no length");
        return false;
    }
    return true;
}

void OutboundCall::deliverBody()
{
    // The parser reserves memory for the whole length that the head states.
    const auto bytes = std::exchange(parser_->get().body(), {});
    if (bytes.empty()) {
        return;
    }
    if (!skippingResponse_) {
        const auto self = shared_from_this();
        events_.body(bytes);
    }
}

void OutboundCall::finish(ResponseEnd end)
{
    const auto self = shared_from_this();
    finished_ = true;
    const bool reusable = requestWritten_ && input_.empty() && parser_->is_done()
                          && parser_->get().keep_alive() && !parser_->need_eof();
    const auto now = std::chrono::steady_clock::now();
    if (reusable && events_.released) {
        OutboundPool::markIdle(*connection_, idleTimeout_, now);
        events_.released(std::move(connection_));
    } else if (reusable) {
        pool_->release(request_.address, std::move(connection_), idleTimeout_, now);
    } else if (end == ResponseEnd::Framing) {
        // Otherwise the socket stays open with the call, for remoteReset().
        boost::system::error_code ignored;
        connection_->socket.close(ignored);
    }
    events_.end(end);
}

void OutboundCall::fail(CallFailure failure, const std::string &reason)
{
    if (finished_) {
        return;
    }
    const auto self = shared_from_this();
    cancel();
    events_.failed(failure, reason);
}

void OutboundCall::cancel()
{
    if (finished_) {
        return;
    }
    finished_ = true;
    if (connection_) {
        // After a plain close, the kernel still delivers bytes that have not been acknowledged,
        // such as a request sent on a path that works again seconds later.
        boost::system::error_code ignored;
        connection_->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        connection_->socket.close(ignored);
    }
}

void OutboundCall::withdraw()
{
    if (finished_ || !connected_ || !isDelivered(connection_->socket)) {
        cancel();
        return;
    }
    // A reset is not sent again if it is lost, the end of the connection is.
    finished_ = true;
    boost::system::error_code ignored;
    connection_->socket.close(ignored);
}

void OutboundCall::pause(bool paused)
{
    paused_ = paused;
    if (!paused_ && connected_) {
        read();
    }
}

void OutboundCall::tick(Common::Time now)
{
    if (connecting_ && now >= connectDeadline_) {
        fail(CallFailure::NotConnected, "no connection in time");
        return;
    }
    finishIfRequestReceived();
}

} // namespace LaburnumChute::Relay
