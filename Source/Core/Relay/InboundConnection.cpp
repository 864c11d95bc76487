#include "Relay/InboundConnection.h"

#include <algorithm>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "Relay/HttpText.h"
#include "Relay/SteadyNow.h"

namespace LaburnumChute::Relay {

namespace {

namespace http = boost::beast::http;

/// Limit for bytes that cannot be parsed yet: a head, or a chunk's size with its extension.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
/// Limit for bytes of later requests that are read while one request is served.
constexpr std::size_t MaxReadAheadBytes = 8 * 1024;
/// Smaller requests are not counted one by one; the limit of connections bounds them.
constexpr std::size_t UncountedBytes = 16 * 1024;
/// Time for which a closing connection is still read. Closing a socket with unread bytes resets the
/// connection, and the last response is lost.
constexpr Common::milliseconds LingerTime{1500};
/// A connection whose remote side accepts no byte for this long is closed, since the response
/// occupies memory.
constexpr Common::milliseconds WriteStallTimeout{8000};
/// A process that exits does not wait for a remote side that has accepted no byte for this long.
constexpr Common::milliseconds ClosingStallTimeout{3000};
/// The remote side of a connection without progress for this long is taken not to read, if memory
/// is needed.
constexpr Common::milliseconds UnreadTime{1000};
/// Buffers that have grown beyond this are released once they are empty.
constexpr std::size_t MaxKeptBufferBytes = 64 * 1024;
/// A caller far away sends the first request of a connection a round trip after it was accepted.
constexpr Common::milliseconds FirstRequestTime{1000};
/// Idle connections are closed this much later than announced, so that a request sent at the last
/// moment is still read.
constexpr Common::milliseconds IdleGracePeriod{2000};
constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned Http11Version = 11;
constexpr unsigned ServiceUnavailable = 503;
constexpr std::string_view MemoryRetryAfterSeconds = "1";

unsigned statusFor(const boost::system::error_code &error)
{
    if (error == http::error::header_limit) {
        return 431;
    }
    return error == http::error::body_limit ? 413 : 400;
}

} // namespace

InboundConnection::InboundConnection(asio::ip::tcp::socket socket, LimitsSource limits,
                                     Handler handler, ConnectionObserver observer,
                                     MemoryObserver memoryObserver,
                                     Common::Headers rejectionHeaders)
    : socket_(std::move(socket))
    , limits_(std::move(limits))
    , handler_(std::move(handler))
    , observer_(std::move(observer))
    , memoryObserver_(std::move(memoryObserver))
    , rejectionHeaders_(std::move(rejectionHeaders))
{
}

std::string InboundConnection::remoteIp() const
{
    boost::system::error_code error;
    const auto remote = socket_.remote_endpoint(error);
    return error ? std::string() : remote.address().to_string();
}

bool InboundConnection::remoteClosed()
{
    if (closed_) {
        return true;
    }
    char next = 0;
    const auto size = ::recv(socket_.native_handle(), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    const bool noData = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return size <= 0 && !noData;
}

void InboundConnection::start(Common::Time now)
{
    boost::system::error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    lastProgressAt_ = now;
    read();
}

void InboundConnection::read()
{
    const auto limit = state_ == State::Serving ? MaxReadAheadBytes : MaxUnparsedBytes;
    if (closed_ || readPending_ || input_.size() > limit) {
        return;
    }
    readPending_ = true;
    socket_.async_read_some(
        asio::buffer(readBuffer_),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->readPending_ = false;
            if (error) {
                self->handleReadError(error);
                return;
            }
            self->handleReceived(size);
        });
}

/// The remote side may close its sending direction once its request has been answered, and go on
/// reading the response.
void InboundConnection::handleReadError(const boost::system::error_code &error)
{
    if (error == asio::error::eof && undelivered_) {
        keepAlive_ = false;
        closeAfterWrite_ = true;
        if (const auto disconnected = std::exchange(onDisconnect_, nullptr)) {
            disconnected();
        }
        return;
    }
    handleDisconnect(ConnectionEnd::Remote);
}

void InboundConnection::handleReceived(std::size_t size)
{
    lastReceivedAt_ = steadyNow();
    if (state_ != State::Lingering) {
        input_.append(readBuffer_.data(), size);
    }
    if (state_ == State::Reading) {
        parse();
    }
    reportMemory();
    read();
}

void InboundConnection::parse()
{
    while (state_ == State::Reading && !closed_ && !closeAfterWrite_ && parsedBytes_ < input_.size()
           && parseNext()) { }
    // Erased only here: tiny chunks would otherwise move the rest of the input once each.
    input_.erase(0, std::min(std::exchange(parsedBytes_, 0), input_.size()));
}

std::size_t InboundConnection::receivedBytes() const
{
    if (closed_ || state_ != State::Reading) {
        return 0;
    }
    return input_.size() + (parser_ ? parser_->get().body().size() : 0);
}

void InboundConnection::reportMemory()
{
    const auto received = receivedBytes();
    const auto counted = received > UncountedBytes ? received : 0;
    if (memoryObserver_ && counted != std::exchange(reportedBytes_, counted)) {
        memoryObserver_(shared_from_this(), counted);
    }
}

void InboundConnection::rejectIncomplete()
{
    if (!closed_ && state_ == State::Reading && parser_) {
        rejectRequest(ServiceUnavailable, "too many requests in memory",
                      {{"Retry-After", std::string(MemoryRetryAfterSeconds)}});
    }
}

std::optional<Common::Time> InboundConnection::idleSince() const
{
    const bool idle =
        !closed_ && state_ == State::Reading && !parser_ && input_.empty() && unsentBytes() == 0;
    return idle ? std::optional(lastProgressAt_) : std::nullopt;
}

bool InboundConnection::closeIfIdle()
{
    if (!idleSince() || bytesToRead() > 0) {
        return false;
    }
    close(ConnectionEnd::Graceful);
    return true;
}

std::size_t InboundConnection::bytesToRead()
{
    int bytes = 0;
    const auto status = ::ioctl(socket_.native_handle(), FIONREAD, &bytes);
    return status == 0 ? static_cast<std::size_t>(bytes) : 0;
}

bool InboundConnection::awaitsFirstRequest(Common::Time now) const
{
    return !hadRequest_ && now - lastProgressAt_ < FirstRequestTime;
}

void InboundConnection::closeUnlessInUse(Common::Time now)
{
    if (!idleSince() || awaitsFirstRequest(now) || bytesToRead() > 0) {
        return;
    }
    // Lingering would read a request that crosses the close. If it is not read, its caller knows
    // that it has not run.
    const bool delivered = unacknowledgedBytes() == std::size_t(0);
    if (delivered) {
        close(ConnectionEnd::Graceful);
    } else {
        linger();
    }
}

/// Parses the next part of the buffered input. Returns false if parsing cannot go on for now.
bool InboundConnection::parseNext()
{
    if (!parser_) {
        hadRequest_ = true;
        const auto limits = limits_();
        parser_.emplace();
        parser_->header_limit(limits.headerBytes);
        parser_->body_limit(limits.bodyBytes);
        lastProgressAt_ = steadyNow();
    }
    const bool hadHeader = parser_->is_header_done();
    boost::system::error_code error;
    const auto used = parser_->put(asio::buffer(input_) + parsedBytes_, error);
    parsedBytes_ += used;
    if (error && error != http::error::need_more) {
        rejectRequest(statusFor(error), error.message());
        return false;
    }
    if (!hadHeader && parser_->is_header_done() && !validateHead()) {
        return false;
    }
    if (parser_->is_done()) {
        dispatchRequest();
        return false;
    }
    return !error && used > 0;
}

/// Rejects requests that the parser accepts but that an endpoint may interpret differently or not
/// support.
bool InboundConnection::validateHead()
{
    const auto &message = parser_->get();
    const auto hosts = message.count(http::field::host);
    const bool isHttp11 = message.version() >= Http11Version;
    if (hosts > 1 || (isHttp11 && hosts == 0)) {
        rejectRequest(400, "Host: expected exactly one");
        return false;
    }
    const auto coding = message[http::field::transfer_encoding];
    if (!coding.empty() && !boost::beast::iequals(coding, "chunked")) {
        rejectRequest(400, "Transfer-Encoding: expected chunked");
        return false;
    }
    if (boost::beast::iequals(message[http::field::expect], "100-continue")) {
        write(std::string(Continue));
    }
    return true;
}

void InboundConnection::rejectRequest(unsigned status, std::string_view reason,
                                      Common::Headers headers)
{
    parser_.reset();
    state_ = State::Serving;
    reportMemory();
    keepAlive_ = false;
    chunked_ = false;
    isHead_ = false;
    headers.push_back({"Content-Type", "text/plain"});
    headers.insert(headers.end(), rejectionHeaders_.begin(), rejectionHeaders_.end());
    respond(status, std::move(headers), reason);
}

void InboundConnection::dispatchRequest()
{
    auto &message = parser_->get();
    InboundRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = std::make_shared<const std::string>(std::move(message.body()));
    keepAlive_ = message.keep_alive();
    chunked_ = message.version() >= Http11Version;
    isHead_ = request.method == "HEAD";
    endsWithConnection_ = false;
    parser_.reset();
    requestId_.clear();
    state_ = State::Serving;
    lastProgressAt_ = steadyNow();
    reportMemory();
    handler_(shared_from_this(), std::move(request));
}

void InboundConnection::respond(unsigned status, Common::Headers headers, std::string_view body)
{
    if (!responding()) {
        return;
    }
    keepAlive_ = keepAlive_ && !closeAfterResponse_;
    headers.push_back({"Content-Length", std::to_string(body.size())});
    if (!keepAlive_) {
        headers.push_back({"Connection", "close"});
    }
    auto text = responseHead(status, headers);
    if (!isHead_) {
        text += body;
    }
    write(std::move(text));
    finishResponse();
}

void InboundConnection::beginStream(unsigned status, Common::Headers headers)
{
    keepAlive_ = keepAlive_ && !closeAfterResponse_ && chunked_;
    endsWithConnection_ = !chunked_ && !isHead_;
    if (chunked_) {
        headers.push_back({"Transfer-Encoding", "chunked"});
    }
    if (!keepAlive_) {
        headers.push_back({"Connection", "close"});
    }
    pendingHead_ = responseHead(status, headers);
}

void InboundConnection::sendPart(std::string_view bytes)
{
    if (!responding() || bytes.empty()) {
        return;
    }
    auto text = std::exchange(pendingHead_, {});
    if (!isHead_) {
        text += chunked_ ? encodeChunk(bytes) : std::string(bytes);
    }
    write(std::move(text));
}

void InboundConnection::endStream()
{
    if (!responding()) {
        return;
    }
    auto text = std::exchange(pendingHead_, {});
    if (chunked_ && !isHead_) {
        text += LastChunk;
    }
    write(std::move(text));
    finishResponse();
}

void InboundConnection::finishResponse()
{
    onDisconnect_ = nullptr;
    onDrained_ = nullptr;
    lastProgressAt_ = steadyNow();
    undelivered_ = Undelivered{requestId_, lastProgressAt_};
    if (unsentBytes() == 0) {
        reportDelivery();
    }
    if (!keepAlive_) {
        closeAfterWrite_ = true;
        if (unsentBytes() == 0) {
            linger();
        }
        return;
    }
    state_ = State::Reading;
    // Posted, since the handler that has just responded may still be on the call stack.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->parse();
        self->read();
    });
}

void InboundConnection::abort()
{
    if (!responding()) {
        return;
    }
    onDisconnect_ = nullptr;
    aborted_ = true;
    if (endsWithConnection_) {
        // Only a reset shows that the response is incomplete.
        reset(ConnectionEnd::Aborted);
        return;
    }
    closeAfterWrite_ = true;
    if (unsentBytes() == 0) {
        linger();
    }
}

void InboundConnection::write(std::string bytes)
{
    if (closed_) {
        return;
    }
    if (output_.empty()) {
        output_ = std::move(bytes);
    } else {
        output_ += bytes;
    }
    flush();
}

void InboundConnection::flush()
{
    if (writePending_ || output_.empty()) {
        return;
    }
    writeBuffer_.swap(output_);
    writeOffset_ = 0;
    writeProgressAt_ = steadyNow();
    writeSome();
}

void InboundConnection::writeSome()
{
    writePending_ = true;
    socket_.async_write_some(
        asio::buffer(writeBuffer_) + writeOffset_,
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t size) {
            self->handleWritten(error, size);
        });
}

void InboundConnection::handleWritten(const boost::system::error_code &error, std::size_t size)
{
    writePending_ = false;
    if (error) {
        handleDisconnect(ConnectionEnd::Remote);
        return;
    }
    writeOffset_ += size;
    writeProgressAt_ = steadyNow();
    if (writeOffset_ < writeBuffer_.size()) {
        writeSome();
        return;
    }
    writeBuffer_.clear();
    writeOffset_ = 0;
    if (writeBuffer_.capacity() > MaxKeptBufferBytes) {
        writeBuffer_.shrink_to_fit();
    }
    flush();
    if (writePending_) {
        return;
    }
    reportDelivery();
    if (closeAfterWrite_) {
        linger();
    } else if (onDrained_) {
        // Copied, since the callback may finish the response, which clears onDrained_.
        const auto drained = onDrained_;
        drained();
    }
}

void InboundConnection::linger()
{
    if (closed_ || state_ == State::Lingering) {
        return;
    }
    state_ = State::Lingering;
    lastProgressAt_ = steadyNow();
    std::string().swap(input_);
    parsedBytes_ = 0;
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void InboundConnection::reportDelivery()
{
    const auto delivered = std::exchange(undelivered_, std::nullopt);
    if (delivered && observer_.delivered) {
        observer_.delivered({delivered->request, steadyNow() - delivered->since});
    }
}

void InboundConnection::handleDisconnect(ConnectionEnd end)
{
    const auto disconnected = std::exchange(onDisconnect_, nullptr);
    const bool lingering = state_ == State::Lingering && end == ConnectionEnd::Remote;
    const auto graceful = aborted_ ? ConnectionEnd::Aborted : ConnectionEnd::Graceful;
    close(lingering ? graceful : end);
    if (disconnected) {
        disconnected();
    }
}

void InboundConnection::close(ConnectionEnd end)
{
    if (closed_) {
        return;
    }
    report(end);
    boost::system::error_code ignored;
    if (endsWithConnection_ && (responding() || unsentBytes() > 0)) {
        // Only a reset shows that the response is incomplete.
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    closed_ = true;
    parser_.reset();
    reportMemory();
    onDrained_ = nullptr;
    if (!writePending_) {
        std::string().swap(writeBuffer_);
    }
    std::string().swap(output_);
    socket_.close(ignored);
}

void InboundConnection::reset(ConnectionEnd end)
{
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    handleDisconnect(end);
}

std::optional<std::size_t> InboundConnection::unacknowledgedBytes()
{
    int bytes = 0;
    const auto status = ::ioctl(socket_.native_handle(), SIOCOUTQ, &bytes);
    return status == 0 ? std::optional(static_cast<std::size_t>(bytes)) : std::nullopt;
}

void InboundConnection::report(ConnectionEnd end)
{
    if (!observer_.ended) {
        return;
    }
    // A connection that the remote side has closed as well has nothing under way.
    const bool settled = end == ConnectionEnd::Graceful;
    const auto inKernel = settled ? 0 : unacknowledgedBytes().value_or(0);
    const bool responding = state_ == State::Serving && !closeAfterWrite_;
    observer_.ended({end, requestId_, responding || aborted_, unsentBytes(), inKernel});
}

void InboundConnection::closeForExit()
{
    close(stalled(steadyNow()) ? ConnectionEnd::WriteTimeout : ConnectionEnd::ProcessExit);
}

bool InboundConnection::delivering(Common::Time now)
{
    if (closed_ || stalled(now)) {
        return false;
    }
    if (state_ != State::Reading || unsentBytes() > 0) {
        return true;
    }
    const auto held = unacknowledgedBytes();
    const auto age = now - lastProgressAt_;
    return held ? *held > 0 && age < ClosingStallTimeout : age < LingerTime;
}

void InboundConnection::closeGracefully()
{
    closeAfterResponse_ = true;
    closing_ = true;
    closeUnlessInUse(steadyNow());
}

bool InboundConnection::unread(Common::Time now) const
{
    return writePending_ && now - writeProgressAt_ > UnreadTime;
}

bool InboundConnection::stalled(Common::Time now) const
{
    return writePending_ && now - writeProgressAt_ > ClosingStallTimeout;
}

void InboundConnection::checkLinger(Common::Time now)
{
    if (now - lastProgressAt_ <= LingerTime) {
        return;
    }
    const auto held = unacknowledgedBytes();
    const bool progresses = held && *held > 0 && held != heldByKernel_;
    heldByKernel_ = held;
    if (progresses) {
        lastProgressAt_ = now;
        return;
    }
    close(aborted_ ? ConnectionEnd::Aborted : ConnectionEnd::LingerTimeout);
}

void InboundConnection::checkReadTimeout(Common::Time now)
{
    const auto age = now - lastProgressAt_;
    const auto limits = limits_();
    const bool readingHeader = parser_ && !parser_->is_header_done();
    const bool readingBody = parser_ && parser_->is_header_done();
    if ((readingHeader && age > limits.headerTimeout)
        || (readingBody && age > limits.idleTimeout)) {
        rejectRequest(408, "the request did not arrive in time");
    } else if (parser_ && closing_ && now - lastReceivedAt_ > LingerTime) {
        rejectRequest(ServiceUnavailable, "this instance stops");
    } else if (closing_ || age > limits.idleTimeout + IdleGracePeriod) {
        closeUnlessInUse(now);
    }
}

void InboundConnection::tick(Common::Time now)
{
    if (closed_) {
        return;
    }
    if (writePending_ && now - writeProgressAt_ > WriteStallTimeout) {
        reset(ConnectionEnd::WriteTimeout);
    } else if (state_ == State::Lingering) {
        checkLinger(now);
    } else if (state_ == State::Reading) {
        checkReadTimeout(now);
    }
}

} // namespace LaburnumChute::Relay
