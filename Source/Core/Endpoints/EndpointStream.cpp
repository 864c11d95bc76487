#include "Endpoints/EndpointStream.h"

#include <limits>
#include <sstream>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_cat.hpp>

#include "Async/Async.h"
#include "Common/Json.h"

namespace LaburnumChute::Endpoints {

namespace {

namespace http = beast::http;

constexpr int HttpVersion = 11;
constexpr std::uint64_t CallResponseLimitBytes = 16 * 1024;
constexpr Common::milliseconds EndCheckTimeout{1000};
constexpr std::string_view LoadTarget = "/load";
constexpr std::string_view RunStateHeader = "Engine-Run-State";
constexpr std::string_view NotStarted = "not-started";
constexpr std::string_view RequestIdHeader = "X-Request-Id";
constexpr std::string_view EventStreamType = "text/event-stream";

using StringRequest = http::request<http::string_body>;

StringRequest makeRequest(http::verb verb, const std::string &target, const std::string &address,
                          const Common::RequestId &id)
{
    StringRequest message(verb, target, HttpVersion);
    message.set(http::field::host, address);
    message.set(beast::string_view(RequestIdHeader.data(), RequestIdHeader.size()), id.text());
    return message;
}

/// Sends a call that is not a request of a caller, on a connection of its own: the responses to
/// such calls have no id. Returns nothing without a response in time.
asio::awaitable<std::optional<http::response<http::string_body>>>
callOnce(std::shared_ptr<ConnectionPool> pool, std::string address, StringRequest message,
         Common::Duration timeout)
{
    auto connection = co_await pool->connect(address);
    if (!connection) {
        co_return std::nullopt;
    }
    auto &stream = (*connection)->stream;
    stream.expires_after(timeout);
    boost::system::error_code error;
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    std::optional<http::response_parser<http::string_body>> parser;
    if (!error) {
        // Read separately: when Beast 1.74 reads the whole response in one operation, a body with a
        // Content-Length can exceed body_limit().
        error = co_await Async::readFinalHead(stream, (*connection)->buffer, parser, [](auto &one) {
            one.body_limit(CallResponseLimitBytes);
        });
    }
    if (!error) {
        co_await http::async_read(stream, (*connection)->buffer, *parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return std::nullopt;
    }
    co_return parser->release();
}

std::string streamTarget(const Common::RequestId &request)
{
    return "/v1/streams/" + request.text();
}

} // namespace

std::string ResponseHead::header(std::string_view name) const
{
    const auto *value = Common::findHeader(headers, name);
    return value != nullptr ? *value : std::string();
}

EndpointStream::EndpointStream(EndpointRequest request, std::shared_ptr<ConnectionPool> pool,
                               EndpointStreamOptions options, Async::ByteBudget &budget)
    : request_(std::move(request))
    , pool_(std::move(pool))
    , options_(options)
    , reservation_(budget)
{
}

EndpointFailure EndpointStream::failure(Common::RunState state, std::string message,
                                        bool endpointGone) const
{
    const auto code = aborted_ ? Common::ErrorCode::Cancelled : Common::ErrorCode::Unavailable;
    return {state, code, request_.endpoint.text() + ": " + std::move(message), endpointGone};
}

asio::awaitable<EndpointResult<void>> EndpointStream::send(bool newConnectionOnly)
{
    // GCC 12 miscompiles co_await inside a conditional expression.
    auto connecting =
        newConnectionOnly ? pool_->connect(request_.address) : pool_->acquire(request_.address);
    auto connection = co_await std::move(connecting);
    if (!connection) {
        co_return tl::unexpected(
            failure(Common::RunState::NotRun, connection.error().message, true));
    }
    if (aborted_) {
        co_return tl::unexpected(failure(Common::RunState::NotRun, "cancelled before sending"));
    }
    connection_ = std::move(*connection);

    auto message = makeRequest(http::string_to_verb(request_.method), request_.target,
                               request_.address, request_.request);
    for (const auto &header : request_.headers) {
        message.insert(header.name, header.value);
    }
    message.body() = request_.body;
    message.prepare_payload();
    const auto error = co_await write(std::move(message));
    if (error) {
        // The kernel may have sent part of the request and the endpoint may have acted on it.
        co_return tl::unexpected(
            failure(Common::RunState::Unknown, "sending failed: " + error.message()));
    }
    co_return EndpointResult<void>();
}

asio::awaitable<boost::system::error_code> EndpointStream::write(Message message)
{
    std::ostringstream text;
    text << message.base();
    const auto head = text.str();
    std::size_t unwritten = 0;
    co_return co_await Async::writeAll(
        connection_->stream.socket(),
        beast::buffers_cat(asio::buffer(head), asio::buffer(message.body())), options_.writeTimeout,
        unwritten);
}

asio::awaitable<boost::system::error_code> EndpointStream::readHead(Common::Duration timeout)
{
    connection_->stream.expires_after(timeout);
    const auto setLimits = [limit = options_.headerLimitBytes](Parser &parser) {
        parser.header_limit(limit);
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    };
    co_return co_await Async::readFinalHead(connection_->stream, connection_->buffer, parser_,
                                            setLimits);
}

ResponseHead EndpointStream::head() const
{
    ResponseHead head;
    head.status = parser_->get().result_int();
    for (const auto &field : parser_->get()) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return head;
}

asio::awaitable<EndpointResult<ResponseHead>> EndpointStream::open()
{
    const auto sent = co_await send(!request_.mayReuseConnection);
    if (!sent) {
        co_return tl::unexpected(sent.error());
    }
    const Common::Duration timeout =
        request_.eventStream ? options_.silenceTimeout : options_.serviceTimeout;
    const auto error = co_await readHead(timeout);
    const auto reason = error ? "no answer: " + error.message() : foreignReason(head());
    if (!reason.empty() && (aborted_ || !request_.eventStream)) {
        co_return tl::unexpected(failure(Common::RunState::Unknown, reason));
    }
    if (!reason.empty()) {
        const auto resumed = co_await resume(reason);
        if (!resumed) {
            co_return tl::unexpected(resumed.error());
        }
    }
    auto response = head();
    if (response.status == 503 && response.header(RunStateHeader) == NotStarted) {
        // The first response on a connection is that to its first request. On a connection that has
        // had others, only the id shows which request has not been started.
        const bool proven =
            !connection_->reused || response.header(RequestIdHeader) == request_.request.text();
        auto rejected = failure(proven ? Common::RunState::NotRun : Common::RunState::Unknown,
                                "the endpoint did not start the request");
        rejected.code = Common::ErrorCode::Overloaded;
        co_return tl::unexpected(std::move(rejected));
    }
    isEventStream_ = response.header("Content-Type").rfind(EventStreamType, 0) == 0;
    co_return response;
}

std::string EndpointStream::foreignReason(const ResponseHead &response) const
{
    const auto id = response.header(RequestIdHeader);
    if (!request_.answersStateId || id == request_.request.text()) {
        return {};
    }
    if (!id.empty()) {
        return "an answer to another request: " + id;
    }
    const bool refusal = response.status == 503 && response.header(RunStateHeader) == NotStarted;
    return connection_->reused && !refusal ? "an answer without an id on a used connection" : "";
}

asio::awaitable<EndpointResult<void>> EndpointStream::confirmEnd()
{
    auto message =
        makeRequest(http::verb::get, std::string(LoadTarget), request_.address, request_.request);
    const auto response =
        co_await callOnce(pool_, request_.address, std::move(message), EndCheckTimeout);
    const auto report = response ? Common::parseJson(response->body()) : nlohmann::json();
    if (!report.is_object() || report.value("id", nlohmann::json()) != request_.endpoint.text()) {
        co_return tl::unexpected(failure(Common::RunState::Unknown,
                                         "nothing shows that an answer without a length is whole"));
    }
    // Asked last, since an endpoint that breaks off its answer may end it before it resets the
    // connection.
    const auto deadline = std::chrono::steady_clock::now() + options_.serviceTimeout;
    const auto error =
        co_await Async::waitUntilAcknowledged(connection_->stream.socket(), deadline);
    if (error) {
        co_return tl::unexpected(
            failure(Common::RunState::Unknown,
                    "the endpoint did not receive the whole request: " + error.message()));
    }
    connection_.reset();
    co_return EndpointResult<void>();
}

asio::awaitable<EndpointResult<std::string>> EndpointStream::readChunk()
{
    auto &body = parser_->get().body();
    body.data = buffer_.data();
    body.size = buffer_.size();
    body.more = true;
    connection_->stream.expires_after(isEventStream_ ? options_.silenceTimeout
                                                     : options_.serviceTimeout);
    boost::system::error_code error;
    co_await http::async_read_some(connection_->stream, connection_->buffer, *parser_,
                                   asio::redirect_error(asio::use_awaitable, error));
    if (error && error != http::error::need_buffer) {
        co_return tl::unexpected(
            failure(Common::RunState::Unknown, "the answer broke off: " + error.message()));
    }
    co_return std::string(buffer_.data(), buffer_.size() - body.size);
}

EndpointResult<std::string> EndpointStream::feed(std::string_view bytes)
{
    auto events = splitter_.feed(bytes);
    const auto pending = splitter_.pendingBytes();
    if (pending <= options_.eventLimitBytes && reservation_.resize(pending)) {
        return events;
    }
    connection_.reset();
    splitter_.discardPartialEvent();
    reservation_.resize(0);
    return tl::unexpected(
        failure(Common::RunState::Unknown,
                fmt::format("an event without end, or too large: {} bytes", pending)));
}

BodyChunk EndpointStream::finishBody(std::string bytes)
{
    const bool statesId =
        !request_.answersStateId || head().header(RequestIdHeader) == request_.request.text();
    // Bytes after the end of a response belong to no request.
    if (connection_ && statesId && parser_->is_done() && parser_->get().keep_alive()
        && connection_->buffer.size() == 0) {
        pool_->release(request_.address, std::move(connection_));
    }
    connection_.reset();
    return {std::move(bytes), true};
}

asio::awaitable<EndpointResult<BodyChunk>> EndpointStream::next()
{
    while (true) {
        if (aborted_ || !connection_) {
            co_return tl::unexpected(failure(Common::RunState::Unknown, "cancelled"));
        }
        if (parser_->is_done()) {
            if (!isEventStream_ && parser_->need_eof()) {
                const auto confirmed = co_await confirmEnd();
                if (!confirmed) {
                    co_return tl::unexpected(confirmed.error());
                }
            }
            if (!isEventStream_ || splitter_.done()) {
                co_return finishBody({});
            }
            // The engine ended the response without the end marker, so it still holds later events.
            const auto resumed = co_await resume("the stream ended without its end mark");
            if (!resumed) {
                co_return tl::unexpected(resumed.error());
            }
            continue;
        }
        auto bytes = co_await readChunk();
        if (!bytes && (aborted_ || !isEventStream_)) {
            co_return tl::unexpected(bytes.error());
        }
        if (!bytes) {
            const auto resumed = co_await resume(bytes.error().message);
            if (!resumed) {
                co_return tl::unexpected(resumed.error());
            }
            continue;
        }
        auto chunk = isEventStream_ ? feed(*bytes) : std::move(bytes);
        if (!chunk) {
            co_return tl::unexpected(chunk.error());
        }
        if (!chunk->empty()) {
            co_return BodyChunk{std::move(*chunk), false};
        }
    }
}

asio::awaitable<EndpointResult<void>> EndpointStream::resume(std::string reason)
{
    // A connection can go silent for good while new ones still work, because a middlebox has
    // dropped its state. The caller would see a truncated response. The new connection requests the
    // events after the last complete one, so none is lost or forwarded twice.
    while (!aborted_ && resumeAttempts_ < options_.resumeAttemptLimit) {
        ++resumeAttempts_;
        Common::logRequest(Common::LogType::Endpoints, Common::LogLevel::Info, request_.request,
                           "resuming the stream on {} after event {}: {}", request_.endpoint,
                           splitter_.lastEventId(), reason);
        const auto attemptFailure = co_await resumeOnce();
        if (!attemptFailure) {
            co_return EndpointResult<void>();
        }
        reason = attemptFailure->message;
        if (attemptFailure->endpointGone) {
            co_return tl::unexpected(*attemptFailure);
        }
    }
    co_return tl::unexpected(failure(Common::RunState::Unknown, reason));
}

asio::awaitable<std::optional<EndpointFailure>> EndpointStream::resumeOnce()
{
    splitter_.discardPartialEvent();
    connection_.reset();
    auto connection = co_await pool_->connect(request_.address);
    if (!connection) {
        co_return failure(Common::RunState::Unknown, connection.error().message, true);
    }
    if (aborted_) {
        co_return failure(Common::RunState::Unknown, "cancelled", true);
    }
    connection_ = std::move(*connection);
    auto message = makeRequest(http::verb::get, streamTarget(request_.request), request_.address,
                               request_.request);
    message.set("Last-Event-ID", std::to_string(splitter_.lastEventId()));
    auto error = co_await write(std::move(message));
    if (!error) {
        error = co_await readHead(options_.silenceTimeout);
    }
    if (error) {
        co_return failure(Common::RunState::Unknown, "resuming failed: " + error.message());
    }
    if (parser_->get().result() != http::status::ok) {
        co_return failure(Common::RunState::Unknown, "the engine does not know the stream any more",
                          true);
    }
    isEventStream_ = true;
    co_return std::nullopt;
}

void EndpointStream::abort()
{
    aborted_ = true;
    if (connection_) {
        connection_->stream.close();
    }
}

asio::awaitable<bool> cancelAtEndpoint(std::shared_ptr<ConnectionPool> pool, std::string address,
                                       Common::RequestId request, Common::Duration timeout)
{
    auto message = makeRequest(http::verb::delete_, streamTarget(request), address, request);
    const auto response =
        co_await callOnce(std::move(pool), std::move(address), std::move(message), timeout);
    co_return response
        && (response->result() == http::status::ok
            || response->result() == http::status::not_found);
}

} // namespace LaburnumChute::Endpoints
