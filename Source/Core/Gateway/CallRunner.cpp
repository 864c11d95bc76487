#include "Gateway/CallRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Gateway/CallProblems.h"

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;

constexpr unsigned FirstServerError = 500;
/// Limit of an answer that is kept in memory as a whole.
constexpr std::size_t AnswerLimitBytes = 4 * 1024 * 1024;
constexpr const char *AnswerTooLarge = "the engine's answer needs too much memory";

void logRequest(Common::LogLevel level, const Common::RequestId &request, const std::string &text)
{
    Common::logRequest(Common::LogType::Gateway, level, request, "{}", text);
}

D::Outcome outcomeOf(const Endpoints::EndpointFailure &failure)
{
    // An endpoint that states that it is full does not count as failing, whichever request it
    // means.
    const bool rejected = failure.code == Common::ErrorCode::Overloaded;
    if (failure.runState == Common::RunState::NotRun || rejected) {
        return D::Outcome::NotStarted;
    }
    return failure.endpointGone ? D::Outcome::EndpointDied : D::Outcome::Failed;
}

} // namespace

RequestMetrics::RequestMetrics(Common::MetricsRegistry &registry)
    : completed(registry.counter("laburnumchute_requests_total", "Requests by how they ended",
                                 {{"end", "completed"}}))
    , cancelled(registry.counter("laburnumchute_requests_total", "Requests by how they ended",
                                 {{"end", "cancelled"}}))
    , rejected(registry.counter("laburnumchute_requests_total", "Requests by how they ended",
                                {{"end", "refused"}}))
    , failed(registry.counter("laburnumchute_requests_total", "Requests by how they ended",
                              {{"end", "failed"}}))
    , cancelsConfirmed(registry.counter("laburnumchute_engine_cancels_total",
                                        "Cancellations sent to engines", {{"confirmed", "true"}}))
    , cancelsUnconfirmed(registry.counter("laburnumchute_engine_cancels_total",
                                          "Cancellations sent to engines",
                                          {{"confirmed", "false"}}))
    , resumptions(registry.counter("laburnumchute_stream_resumptions_total",
                                   "Streams continued on a fresh connection"))
    , sendsWithheld(registry.counter("laburnumchute_sends_withheld_total",
                                     "Sends of requests that an earlier attempt may have run"))
    , forwardedToRegion(registry.counter("laburnumchute_requests_away_total",
                                         "Requests sent away from their home region"))
    , firstToken(registry.histogram("laburnumchute_first_token_seconds",
                                    "Time from a request's arrival to its first answer byte"))
{
}

CallRunner::CallRunner(const RunnerContext &context,
                       std::shared_ptr<Endpoints::ConnectionPool> pool, IncomingRequest incoming,
                       CallPlan plan, Responder responder)
    : context_(context)
    , pool_(std::move(pool))
    , incoming_(std::move(incoming))
    , plan_(std::move(plan))
    , responder_(std::move(responder))
    , table_(context.table.share())
    , permit_(plan_.facts.repeatable)
    , reservation_(context.budget)
    , startedAt_(std::chrono::steady_clock::now())
{
}

asio::awaitable<void> CallRunner::run()
{
    const auto self = shared_from_this();
    responder_.onDisconnect([weak = weak_from_this()] {
        if (const auto runner = weak.lock()) {
            runner->onCallerDisconnected();
        }
    });
    responder_.onWithdrawn([weak = weak_from_this()] {
        if (const auto runner = weak.lock()) {
            runner->onSenderWithdrew();
        }
    });
    if (plan_.atMostOnce && !keyHeldBySender()) {
        const bool proceed = co_await claimKey();
        if (!proceed) {
            co_return;
        }
    }
    const auto executor = co_await asio::this_coro::executor;
    const Dispatcher::DecisionQueue decisions(executor);
    registration_ = context_.dispatcher.submit({plan_.facts, plan_.callerId}, decisions, executor,
                                               [weak = weak_from_this()] {
                                                   if (const auto runner = weak.lock()) {
                                                       runner->withdraw();
                                                   }
                                               });
    if (callerDisconnected_ || senderWithdrew_) {
        registration_->cancel();
    }
    auto step = Step::Continue;
    while (step == Step::Continue) {
        const auto effect = co_await decisions.pop();
        step = co_await handle(*effect);
    }
    co_await releaseKey();
}

asio::awaitable<CallRunner::Step> CallRunner::handle(const D::Effect &effect)
{
    if (const auto *dispatch = std::get_if<D::Dispatch>(&effect)) {
        co_return co_await runAtEndpoint(*dispatch);
    }
    if (const auto *forward = std::get_if<D::Forward>(&effect)) {
        co_return co_await forwardToRegion(*forward);
    }
    if (const auto *rejection = std::get_if<D::Reject>(&effect)) {
        co_await releaseKey();
        co_await reject(*rejection);
        co_return Step::Ended;
    }
    // Dropped: the caller disconnected or superseded this request.
    co_await releaseKey();
    context_.metrics.cancelled.add();
    if (!callerDisconnected_) {
        Entry::Problem problem;
        problem.status = 409;
        problem.code = Common::ErrorCode::Cancelled;
        problem.detail =
            senderWithdrew_ ? "its caller has left" : "a later request has superseded this one";
        co_await sendProblem(std::move(problem));
    }
    co_return Step::Ended;
}

asio::awaitable<void> CallRunner::sendProblem(Entry::Problem problem)
{
    logRequest(Common::LogLevel::Info, plan_.callerId,
               fmt::format("responded with status {} ({}): {}", problem.status,
                           Common::toString(problem.run), problem.detail));
    co_await responder_.sendProblem(std::move(problem));
}

asio::awaitable<void> CallRunner::reject(const D::Reject &rejection)
{
    context_.metrics.rejected.add();
    auto problem = rejectionProblem(rejection);
    if (permit_.mayHaveRun() && problem.run == Common::RunState::NotRun) {
        problem.run = Common::RunState::Unknown;
    }
    co_await sendProblem(std::move(problem));
}

Endpoints::EndpointRequest CallRunner::endpointRequest(const EndpointEntry &endpoint) const
{
    Endpoints::EndpointRequest request;
    request.endpoint = endpoint.id;
    request.address = endpoint.address;
    request.request = plan_.facts.id;
    request.method = plan_.method;
    request.target = plan_.target;
    request.headers = plan_.headers;
    if (plan_.atMostOnce) {
        request.headers.push_back({"Idempotency-Key", plan_.atMostOnce->key});
    }
    request.body = plan_.body;
    request.eventStream = plan_.model.has_value();
    request.mayReuseConnection = plan_.facts.repeatable;
    return request;
}

asio::awaitable<CallRunner::Step> CallRunner::runAtEndpoint(const D::Dispatch &dispatch)
{
    const auto &endpoint = dispatch.endpoint;
    const auto table = context_.table.share();
    const auto found = table->endpoints.find(endpoint);
    const bool callerLeft = callerDisconnected_ || senderWithdrew_;
    if (callerLeft && (found == table->endpoints.end() || mayAbort())) {
        registration_->finished(endpoint, D::Outcome::Cancelled);
        co_return co_await sendWithdrawnProblem();
    }
    if (found == table->endpoints.end()) {
        registration_->finished(endpoint, D::Outcome::NotStarted);
        co_return Step::Continue;
    }
    const bool permitted = co_await permitDispatch(endpoint);
    if (!permitted) {
        co_return Step::Ended;
    }
    stream_ = std::make_unique<Endpoints::EndpointStream>(endpointRequest(found->second), pool_,
                                                          context_.streamOptions, context_.budget);
    auto head = co_await stream_->open();
    if (!head) {
        co_return co_await endpointFailed(head.error(), endpoint);
    }
    if (plan_.model && head->status >= FirstServerError) {
        Endpoints::EndpointFailure failure;
        failure.message = fmt::format("{} answered {}", endpoint, head->status);
        co_return co_await endpointFailed(std::move(failure), endpoint);
    }
    co_return co_await relayResponse(std::move(*head), endpoint);
}

asio::awaitable<CallRunner::Step> CallRunner::relayResponse(Endpoints::ResponseHead head,
                                                            const Common::EndpointId &endpoint)
{
    const bool isStream = head.header("Content-Type").rfind("text/event-stream", 0) == 0;
    if (plan_.model && isStream && !plan_.stream) {
        wholeAnswer_.emplace(*plan_.model);
    }
    if (plan_.model && isStream && plan_.stream && !continuation_) {
        continuation_.emplace();
    }
    recordedAnswer_ =
        Ledger::KeptAnswer{static_cast<int>(head.status), head.header("Content-Type"), {}};
    std::uint64_t reportedEvents = 0;
    while (true) {
        auto piece = co_await stream_->next();
        if (!piece) {
            co_return co_await endpointFailed(piece.error(), endpoint);
        }
        if (!firstTokenSeen_) {
            firstTokenSeen_ = true;
            registration_->firstToken(endpoint);
            context_.metrics.firstToken.record(std::chrono::steady_clock::now() - startedAt_);
        }
        if (!responder_.started() && !callerDisconnected_) {
            co_await relayHead(head);
        }
        if (piece->last) {
            co_return co_await completeAtEndpoint(endpoint);
        }
        constexpr std::uint64_t ProgressReportEvents = 32;
        if (stream_->events() >= reportedEvents + ProgressReportEvents) {
            reportedEvents = stream_->events();
            registration_->progress(endpoint, static_cast<std::int64_t>(reportedEvents));
        }
        const auto passed = co_await relayPiece(std::move(piece->bytes));
        if (!passed) {
            stream_->abort();
            cancelGeneration();
            co_return co_await failIncompleteResponse(endpoint, passed.error().message);
        }
    }
}

asio::awaitable<bool> CallRunner::relayHead(const Endpoints::ResponseHead &head)
{
    if (wholeAnswer_) {
        co_return true;
    }
    Common::Headers headers;
    for (const auto &header : head.headers) {
        const bool hopByHop = Common::sameHeaderName(header.name, "Connection")
                              || Common::sameHeaderName(header.name, "Transfer-Encoding")
                              || Common::sameHeaderName(header.name, "Content-Length")
                              || Common::sameHeaderName(header.name, "Keep-Alive")
                              || Common::sameHeaderName(header.name, "X-Request-Id");
        if (!hopByHop) {
            headers.push_back(header);
        }
    }
    co_return co_await responder_.sendHead(head.status, std::move(headers));
}

asio::awaitable<Common::Result<void>> CallRunner::relayPiece(std::string bytes)
{
    if (wholeAnswer_) {
        auto fed = wholeAnswer_->feed(bytes);
        if (fed && !reserveMemory()) {
            fed = Common::makeError(Common::ErrorCode::TooLarge, AnswerTooLarge);
        }
        co_return fed;
    }
    record(bytes);
    if (continuation_) {
        auto newBytes = continuation_->feed(bytes);
        if (!newBytes) {
            co_return tl::unexpected(newBytes.error());
        }
        bytes = std::move(*newBytes);
        if (!reserveMemory()) {
            co_return Common::makeError(Common::ErrorCode::TooLarge, AnswerTooLarge);
        }
    }
    if (!callerDisconnected_ && !bytes.empty()) {
        co_await responder_.sendPiece(std::move(bytes));
    }
    co_return Common::Result<void>();
}

void CallRunner::record(std::string_view bytes)
{
    if (!ledgerAttempt_ || !recordedAnswer_) {
        return;
    }
    recordedAnswer_->body += bytes;
    if (!reserveMemory()) {
        logRequest(Common::LogLevel::Warning, plan_.callerId,
                   fmt::format("the answer is not kept for repetitions: {} bytes so far",
                               recordedAnswer_->body.size()));
        recordedAnswer_.reset();
        reserveMemory();
    }
}

bool CallRunner::reserveMemory()
{
    const auto bytes = (wholeAnswer_ ? wholeAnswer_->bytes() : 0)
                       + (recordedAnswer_ ? recordedAnswer_->body.size() : 0)
                       + (continuation_ ? continuation_->bytes() : 0);
    return bytes <= AnswerLimitBytes && reservation_.resize(bytes);
}

asio::awaitable<bool> CallRunner::relayEnd()
{
    if (callerDisconnected_) {
        co_return false;
    }
    if (wholeAnswer_) {
        Common::Headers headers = {{"Content-Type", "application/json"}};
        co_return co_await responder_.sendWhole(200, std::move(headers), wholeAnswer_->body());
    }
    co_return co_await responder_.sendEnd();
}

asio::awaitable<CallRunner::Step> CallRunner::completeAtEndpoint(const Common::EndpointId &endpoint)
{
    context_.metrics.resumptions.add(static_cast<std::uint64_t>(stream_->resumptions()));
    registration_->finished(endpoint, D::Outcome::Completed);
    if (ledgerAttempt_) {
        if (wholeAnswer_) {
            recordedAnswer_->contentType = "application/json";
            recordedAnswer_->body = wholeAnswer_->body();
        }
        co_await context_.ledger.finished(*ledgerAttempt_, recordedAnswer_);
    }
    const bool delivered = co_await relayEnd();
    (delivered ? context_.metrics.completed : context_.metrics.cancelled).add();
    co_return Step::Ended;
}

asio::awaitable<CallRunner::Step> CallRunner::endpointFailed(Endpoints::EndpointFailure failure,
                                                             const Common::EndpointId &endpoint)
{
    context_.metrics.resumptions.add(static_cast<std::uint64_t>(stream_->resumptions()));
    const bool notRun = failure.runState == Common::RunState::NotRun;
    co_await recordFailure(notRun);
    co_await endGeneration(failure);
    if (stream_->aborted()) {
        registration_->finished(endpoint, D::Outcome::Cancelled);
        co_return co_await sendWithdrawnProblem();
    }
    logRequest(Common::LogLevel::Warning, plan_.callerId,
               fmt::format("attempt at {} failed ({}): {}", endpoint,
                           Common::toString(failure.runState), failure.message));
    if (callerDisconnected_ || withdrawn_ || (responder_.started() && !continuation_)) {
        co_return co_await failIncompleteResponse(endpoint, failure.message);
    }
    wholeAnswer_.reset();
    if (continuation_) {
        continuation_->restart();
    }
    registration_->finished(endpoint, outcomeOf(failure));
    co_return Step::Continue;
}

asio::awaitable<CallRunner::Step>
CallRunner::failIncompleteResponse(const Common::EndpointId &endpoint, const std::string &detail)
{
    registration_->finished(endpoint, D::Outcome::Failed);
    context_.metrics.failed.add();
    co_await sendProblem(unknownOutcomeProblem(detail));
    co_return Step::Ended;
}

asio::awaitable<CallRunner::Step> CallRunner::sendWithdrawnProblem()
{
    context_.metrics.cancelled.add();
    if (!callerDisconnected_) {
        Entry::Problem problem;
        problem.status = 409;
        problem.code = Common::ErrorCode::Cancelled;
        problem.detail = "the request was superseded or withdrawn";
        problem.run = permit_.mayHaveRun() ? Common::RunState::Unknown : Common::RunState::NotRun;
        co_await sendProblem(std::move(problem));
    }
    co_return Step::Ended;
}

void CallRunner::withdraw()
{
    withdrawn_ = true;
    cancelOutgoingCall();
    abortAttempt();
}

void CallRunner::cancelOutgoingCall()
{
    if (!outgoingCall_) {
        return;
    }
    // The outcome of an at-most-once request that has begun is recorded.
    if (plan_.atMostOnce) {
        outgoingCall_->withdraw();
    } else {
        outgoingCall_->cancel();
    }
}

void CallRunner::onSenderWithdrew()
{
    senderWithdrew_ = true;
    if (registration_) {
        registration_->cancel();
    }
    cancelOutgoingCall();
}

void CallRunner::onCallerDisconnected()
{
    callerDisconnected_ = true;
    if (registration_) {
        registration_->cancel();
    }
    cancelOutgoingCall();
    abortAttempt();
}

void CallRunner::abortAttempt()
{
    // An at-most-once request that was sent runs to completion: the caller will ask for its
    // outcome.
    if (!stream_ || stream_->aborted() || !mayAbort()) {
        return;
    }
    stream_->abort();
    cancelGeneration();
}

/// Another endpoint may continue the request next. Engines detect a closed connection late, and one
/// whose responses are lost or late still generates.
asio::awaitable<void> CallRunner::endGeneration(const Endpoints::EndpointFailure &failure)
{
    const bool mayGenerate = plan_.model && failure.runState == Common::RunState::Unknown
                             && !failure.endpointGone && !stream_->aborted();
    if (!mayGenerate) {
        co_return;
    }
    const auto request = stream_->request();
    const bool confirmed = co_await Endpoints::cancelAtEndpoint(
        pool_, request.address, request.request, context_.cancelTimeout);
    (confirmed ? context_.metrics.cancelsConfirmed : context_.metrics.cancelsUnconfirmed).add();
    logRequest(Common::LogLevel::Info, plan_.callerId,
               fmt::format("generation at {} {}", request.endpoint,
                           confirmed ? "has ended" : "may continue: it did not confirm its end"));
}

void CallRunner::cancelGeneration()
{
    if (!plan_.model) {
        return;
    }
    // Engines detect a closed connection late and keep generating until then.
    auto cancel = [](std::shared_ptr<Endpoints::ConnectionPool> pool, std::string address,
                     Common::RequestId request, Common::Duration timeout,
                     RequestMetrics &metrics) -> asio::awaitable<void> {
        const bool confirmed = co_await Endpoints::cancelAtEndpoint(
            std::move(pool), std::move(address), std::move(request), timeout);
        (confirmed ? metrics.cancelsConfirmed : metrics.cancelsUnconfirmed).add();
    };
    const auto &request = stream_->request();
    asio::co_spawn(
        pool_->executor(),
        cancel(pool_, request.address, request.request, context_.cancelTimeout, context_.metrics),
        asio::detached);
}

} // namespace LaburnumChute::Gateway
