#include "Gateway/CallRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Gateway/CallProblems.h"

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;
namespace L = LaburnumChute::Ledger;

constexpr unsigned FirstServerError = 500;
constexpr std::string_view KeysPath = "/v1/idempotency-keys";

void logRequest(Common::LogLevel level, const Common::RequestId &request, const std::string &text)
{
    Common::logRequest(Common::LogType::Gateway, level, request, "{}", text);
}

D::Outcome outcomeOf(const Endpoints::EndpointFailure &failure)
{
    if (failure.runState == Common::RunState::NotRun) {
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
    , refused(registry.counter("laburnumchute_requests_total", "Requests by how they ended",
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
    , away(registry.counter("laburnumchute_requests_away_total",
                            "Requests sent away from their home region"))
    , firstToken(registry.histogram("laburnumchute_first_token_seconds",
                                    "Time from a request's arrival to its first answer byte"))
{
}

CallRunner::CallRunner(const RunnerContext &context,
                       std::shared_ptr<Endpoints::ConnectionPool> pool, Arrival arrival,
                       CallPlan plan, Responder responder)
    : context_(context)
    , pool_(std::move(pool))
    , arrival_(std::move(arrival))
    , plan_(std::move(plan))
    , responder_(std::move(responder))
    , table_(context.table.share())
    , startedAt_(std::chrono::steady_clock::now())
{
}

asio::awaitable<void> CallRunner::run()
{
    const auto self = shared_from_this();
    responder_.onGone([weak = weak_from_this()] {
        if (const auto runner = weak.lock()) {
            runner->callerGone();
        }
    });
    if (plan_.once && !heldBySender()) {
        const bool proceed = co_await beginOnce();
        if (!proceed) {
            co_return;
        }
    }
    const auto executor = co_await asio::this_coro::executor;
    const Dispatcher::Decisions decisions(executor);
    ticket_ = context_.dispatcher.submit({plan_.facts, plan_.callerId}, decisions, executor,
                                         [weak = weak_from_this()] {
                                             if (const auto runner = weak.lock()) {
                                                 runner->withdraw();
                                             }
                                         });
    if (callerGone_) {
        ticket_->cancel();
    }
    auto step = Step::Continue;
    while (step == Step::Continue) {
        const auto effect = co_await decisions.pop();
        step = co_await handle(*effect);
    }
    co_await releaseKey();
}

/// Before a refusal says "not run": a caller who submits again at once would otherwise meet its own
/// attempt, which still holds the key, and be told "unknown".
asio::awaitable<void> CallRunner::releaseKey()
{
    if (ledgerAttempt_ && !ledgerDispatch_) {
        co_await context_.ledger.abandonedBeforeDispatch(*ledgerAttempt_);
        ledgerAttempt_.reset();
    }
}

asio::awaitable<CallRunner::Step> CallRunner::handle(const D::Effect &effect)
{
    if (const auto *dispatch = std::get_if<D::Dispatch>(&effect)) {
        co_return co_await runAtEndpoint(*dispatch);
    }
    if (const auto *forward = std::get_if<D::Forward>(&effect)) {
        co_return co_await runAtRegion(*forward);
    }
    if (const auto *refusal = std::get_if<D::Refuse>(&effect)) {
        co_await releaseKey();
        co_await refuse(*refusal);
        co_return Step::Ended;
    }
    // Dropped: the caller has left, or has replaced this request by another one.
    co_await releaseKey();
    context_.metrics.cancelled.add();
    if (!callerGone_) {
        Entry::Problem problem;
        problem.status = 409;
        problem.code = Common::ErrorCode::Cancelled;
        problem.detail = "a later request has superseded this one";
        co_await answerProblem(std::move(problem));
    }
    co_return Step::Ended;
}

asio::awaitable<bool> CallRunner::beginOnce()
{
    const auto key = L::IdempotencyKey::parse(plan_.once->key);
    if (!key) {
        co_await offerKey("the request is not repeatable and needs a key that this system issued");
        co_return false;
    }
    L::Submission submission;
    submission.key = *key;
    submission.customer = plan_.customer;
    submission.bodyFingerprint = plan_.once->bodyFingerprint;
    submission.orderFingerprint = plan_.once->orderFingerprint;
    submission.duplicateIntended = plan_.once->duplicateIntended;
    submission.deadline = plan_.deadline;
    const auto outcome = co_await context_.ledger.begin(submission);
    if (const auto *proceed = std::get_if<L::Proceed>(&outcome)) {
        ledgerAttempt_ = proceed->reservation;
        co_return true;
    }
    if (const auto *replay = std::get_if<L::ReplayAnswer>(&outcome)) {
        Common::Headers headers = {{"Content-Type", replay->answer->contentType},
                                   {"Laburnumchute-Replayed", "true"}};
        co_await responder_.whole(static_cast<unsigned>(replay->answer->status), std::move(headers),
                                  replay->answer->body);
    } else if (std::holds_alternative<L::StillRunning>(outcome)) {
        Entry::Problem problem;
        problem.status = 409;
        problem.code = Common::ErrorCode::Conflict;
        problem.detail = "a request with this key is still running";
        problem.run = Common::RunState::Unknown;
        problem.retryAfter = Common::seconds(1);
        co_await answerProblem(std::move(problem));
    } else if (const auto *refused = std::get_if<L::Rejected>(&outcome)) {
        co_await answerProblem(onceProblem(*refused));
    } else {
        co_await runAtOwner(std::get<L::OwnedElsewhere>(outcome));
    }
    co_return false;
}

asio::awaitable<void> CallRunner::offerKey(std::string detail)
{
    const auto minted = co_await context_.ledger.mint(plan_.customer);
    Entry::Problem problem;
    problem.status = 428;
    problem.code = Common::ErrorCode::InvalidArgument;
    problem.detail = "Idempotency-Key: " + std::move(detail) + "; see " + std::string(KeysPath);
    if (minted.key) {
        problem.extra["idempotency_key"] = minted.key->text();
    }
    co_await answerProblem(std::move(problem));
}

asio::awaitable<void> CallRunner::answerProblem(Entry::Problem problem)
{
    logRequest(Common::LogLevel::Info, plan_.callerId,
               fmt::format("answered {} ({}): {}", problem.status, Common::toString(problem.run),
                           problem.detail));
    co_await responder_.problem(std::move(problem));
}

asio::awaitable<void> CallRunner::refuse(const D::Refuse &refusal)
{
    context_.metrics.refused.add();
    co_await answerProblem(refusalProblem(refusal));
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
    if (plan_.once) {
        request.headers.push_back({"Idempotency-Key", plan_.once->key});
    }
    request.body = plan_.body;
    request.eventStream = plan_.model.has_value();
    request.mayReuseConnection = plan_.facts.repeatable;
    return request;
}

bool CallRunner::heldBySender() const
{
    return arrival_.forwarded && arrival_.forwarded->once == Peers::OnceRole::HeldBySender;
}

asio::awaitable<bool> CallRunner::permitOnce(const Common::EndpointId &endpoint)
{
    Common::Result<void> permitted;
    if (ledgerAttempt_) {
        const auto dispatch = co_await context_.ledger.dispatched(*ledgerAttempt_);
        if (dispatch) {
            ledgerDispatch_ = *dispatch;
        } else {
            ledgerAttempt_.reset();
            permitted = tl::unexpected(dispatch.error());
        }
    } else if (heldBySender() && std::chrono::steady_clock::now() > plan_.deadline) {
        // This process was paused while the request waited; its caller has long been told that the
        // outcome is unknown.
        permitted = Common::makeError(Common::ErrorCode::DeadlineExceeded,
                                      "the deadline passed before the request began");
    }
    if (!permitted) {
        ticket_->finished(endpoint, D::Outcome::Cancelled);
        co_await answerProblem(Entry::problemOf(permitted.error(), Common::RunState::NotRun));
        co_return false;
    }
    runsOnce_ = plan_.once.has_value();
    co_return true;
}

asio::awaitable<void> CallRunner::recordFailure(bool notRun)
{
    runsOnce_ = runsOnce_ && !notRun;
    if (!ledgerDispatch_) {
        co_return;
    }
    auto recording = notRun ? context_.ledger.notStarted(*ledgerDispatch_)
                            : context_.ledger.lost(*ledgerDispatch_);
    co_await std::move(recording);
    if (notRun) {
        ledgerDispatch_.reset();
    }
}

asio::awaitable<CallRunner::Step> CallRunner::runAtEndpoint(const D::Dispatch &dispatch)
{
    const auto &endpoint = dispatch.endpoint;
    const auto table = context_.table.share();
    const auto found = table->endpoints.find(endpoint);
    if (found == table->endpoints.end() || (callerGone_ && mayAbandon())) {
        ticket_->finished(endpoint, callerGone_ ? D::Outcome::Cancelled : D::Outcome::NotStarted);
        co_return callerGone_ ? Step::Ended : Step::Continue;
    }
    const bool permitted = co_await permitOnce(endpoint);
    if (!permitted) {
        co_return Step::Ended;
    }
    stream_ = std::make_unique<Endpoints::EndpointStream>(endpointRequest(found->second), pool_,
                                                          context_.streamOptions);
    auto head = co_await stream_->open();
    if (!head) {
        co_return co_await endpointFailed(head.error(), endpoint);
    }
    if (plan_.model && head->status >= FirstServerError) {
        Endpoints::EndpointFailure failure;
        failure.message = fmt::format("{} answered {}", endpoint, head->status);
        co_return co_await endpointFailed(std::move(failure), endpoint);
    }
    co_return co_await passAnswer(std::move(*head), endpoint);
}

asio::awaitable<CallRunner::Step> CallRunner::passAnswer(Endpoints::ResponseHead head,
                                                         const Common::EndpointId &endpoint)
{
    const bool isStream = head.header("Content-Type").rfind("text/event-stream", 0) == 0;
    if (plan_.model && isStream && !plan_.stream) {
        whole_.emplace(*plan_.model);
    }
    if (plan_.model && isStream && plan_.stream && !continuation_) {
        continuation_.emplace();
    }
    kept_ = {static_cast<int>(head.status), head.header("Content-Type"), {}};
    std::uint64_t reported = 0;
    while (true) {
        auto piece = co_await stream_->next();
        if (!piece) {
            co_return co_await endpointFailed(piece.error(), endpoint);
        }
        if (!firstTokenSeen_) {
            firstTokenSeen_ = true;
            ticket_->firstToken(endpoint);
            context_.metrics.firstToken.record(std::chrono::steady_clock::now() - startedAt_);
        }
        if (!responder_.started() && !callerGone_) {
            co_await sendHead(head);
        }
        if (piece->last) {
            co_return co_await completeAtEndpoint(endpoint);
        }
        constexpr std::uint64_t ReportEvery = 32;
        if (stream_->events() >= reported + ReportEvery) {
            reported = stream_->events();
            ticket_->progress(endpoint, static_cast<std::int64_t>(reported));
        }
        const auto passed = co_await passPiece(std::move(piece->bytes));
        if (!passed) {
            stream_->abort();
            cancelRemotely();
            co_return co_await brokenOff(endpoint, passed.error().message);
        }
    }
}

asio::awaitable<bool> CallRunner::sendHead(const Endpoints::ResponseHead &head)
{
    if (whole_) {
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
    co_return co_await responder_.head(head.status, std::move(headers));
}

asio::awaitable<Common::Result<void>> CallRunner::passPiece(std::string bytes)
{
    if (ledgerDispatch_) {
        kept_.body += bytes;
    }
    if (whole_) {
        co_return whole_->feed(bytes);
    }
    if (continuation_) {
        auto fresh = continuation_->feed(bytes);
        if (!fresh) {
            co_return tl::unexpected(fresh.error());
        }
        bytes = std::move(*fresh);
    }
    if (!callerGone_ && !bytes.empty()) {
        co_await responder_.piece(std::move(bytes));
    }
    co_return Common::Result<void>();
}

asio::awaitable<bool> CallRunner::sendEnd()
{
    if (callerGone_) {
        co_return false;
    }
    if (whole_) {
        Common::Headers headers = {{"Content-Type", "application/json"}};
        co_return co_await responder_.whole(200, std::move(headers), whole_->body());
    }
    co_return co_await responder_.end();
}

asio::awaitable<CallRunner::Step> CallRunner::completeAtEndpoint(const Common::EndpointId &endpoint)
{
    context_.metrics.resumptions.add(static_cast<std::uint64_t>(stream_->resumptions()));
    ticket_->finished(endpoint, D::Outcome::Completed);
    if (ledgerDispatch_) {
        if (whole_) {
            kept_.contentType = "application/json";
            kept_.body = whole_->body();
        }
        co_await context_.ledger.finished(*ledgerDispatch_, kept_);
    }
    const bool delivered = co_await sendEnd();
    (delivered ? context_.metrics.completed : context_.metrics.cancelled).add();
    co_return Step::Ended;
}

asio::awaitable<CallRunner::Step> CallRunner::endpointFailed(Endpoints::EndpointFailure failure,
                                                             const Common::EndpointId &endpoint)
{
    context_.metrics.resumptions.add(static_cast<std::uint64_t>(stream_->resumptions()));
    const bool notRun = failure.runState == Common::RunState::NotRun;
    co_await recordFailure(notRun);
    if (stream_->aborted()) {
        ticket_->finished(endpoint, D::Outcome::Cancelled);
        co_return co_await answerWithdrawn();
    }
    logRequest(Common::LogLevel::Warning, plan_.callerId,
               fmt::format("failed on {} ({}): {}", endpoint, Common::toString(failure.runState),
                           failure.message));
    if (callerGone_ || withdrawn_ || (responder_.started() && !continuation_)) {
        co_return co_await brokenOff(endpoint, failure.message);
    }
    whole_.reset();
    if (continuation_) {
        continuation_->restart();
    }
    ticket_->finished(endpoint, outcomeOf(failure));
    co_return Step::Continue;
}

asio::awaitable<CallRunner::Step> CallRunner::brokenOff(const Common::EndpointId &endpoint,
                                                        const std::string &detail)
{
    ticket_->finished(endpoint, D::Outcome::Failed);
    context_.metrics.failed.add();
    Entry::Problem problem;
    problem.status = 502;
    problem.code = Common::ErrorCode::Unavailable;
    problem.detail = detail;
    problem.run = Common::RunState::Unknown;
    co_await answerProblem(std::move(problem));
    co_return Step::Ended;
}

/// A request to the owner of a key waits in no queue of this instance, so that nothing else ends
/// its wait when the owner is dead, frozen or cut off: the caller would get no answer at all.
Peers::AnswerFailure CallRunner::ownerSilent()
{
    Peers::AnswerFailure failure;
    failure.status = 504;
    failure.code = Common::ErrorCode::DeadlineExceeded;
    failure.run = L::OwnerUnreachableRunState;
    failure.detail =
        "Idempotency-Key: " + std::string(L::toString(L::RejectionReason::OwnerUnreachable));
    return failure;
}

asio::awaitable<CallRunner::Step> CallRunner::answerWithdrawn()
{
    context_.metrics.cancelled.add();
    if (!callerGone_) {
        Entry::Problem problem;
        problem.status = 409;
        problem.code = Common::ErrorCode::Cancelled;
        problem.detail = "the request was superseded or withdrawn";
        problem.run = Common::RunState::Unknown;
        co_await answerProblem(std::move(problem));
    }
    co_return Step::Ended;
}

void CallRunner::withdraw()
{
    withdrawn_ = true;
    if (outgoing_ && !plan_.once) {
        outgoing_->cancel();
    }
    abandon();
}

void CallRunner::callerGone()
{
    callerGone_ = true;
    if (ticket_) {
        ticket_->cancel();
    }
    if (outgoing_ && !plan_.once) {
        outgoing_->cancel();
    }
    abandon();
}

void CallRunner::abandon()
{
    // An order that is under way is seen through: its caller will ask what became of it.
    if (!stream_ || stream_->aborted() || !mayAbandon()) {
        return;
    }
    stream_->abort();
    cancelRemotely();
}

void CallRunner::cancelRemotely()
{
    if (!plan_.model) {
        return;
    }
    // Engines notice a closed connection late; until then they generate for nobody.
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
