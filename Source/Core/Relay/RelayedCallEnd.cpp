#include "Relay/RelayGateway.h"
#include "Relay/RelayedCall.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;
using Dispatch::AttemptOutcome;

constexpr milliseconds TimeoutRetryAfter{700};
constexpr unsigned FirstServerError = 500;

std::string reasonOf(EndCheckResult result)
{
    switch (result) {
    case EndCheckResult::Ended:
        return "the endpoint ended together with its answer";
    case EndCheckResult::Replaced:
        return "another endpoint has the address, and the answer has no length";
    case EndCheckResult::Reset:
        return "the connection was reset behind an answer without a length";
    case EndCheckResult::Running:
    case EndCheckResult::Unanswered:
        break;
    }
    return "nothing shows that an answer without a length is whole";
}

} // namespace

// The end of an endpoint's answer.

void RelayedCall::handleEnd(ResponseEnd end)
{
    const auto self = shared_from_this();
    const auto now = steadyNow();
    responseEnd_ = end;
    incompleteEventBytes_ = cutter_.incompleteEventBytes();
    switch (responseMode_) {
    case ResponseMode::None:
        handleFailure(CallFailure::Invalid, "no answer to this request");
        return;
    case ResponseMode::NotRun:
        endAttempt(AttemptOutcome::NotRun, true, now);
        return;
    case ResponseMode::Replaced:
        endAttempt(AttemptOutcome::Replaced, true, now);
        return;
    case ResponseMode::Unknown:
        lastReason_ = "the other instance does not know what became of it";
        endAttempt(AttemptOutcome::Broken, !streamStarted_ || plan_.resumable, now);
        return;
    case ResponseMode::Streamed:
        if (incompleteEventBytes_ > 0) {
            handleFailure(CallFailure::Broken, "the stream ended inside an event");
            return;
        }
        break;
    case ResponseMode::Buffered:
        break;
    }
    if (end == ResponseEnd::Framing) {
        completeResponse(now);
    } else if (endCheck_) {
        endCheck_->answerEnded(gateway_.stoodStillRecently(now), now);
    } else {
        handleEndCheck(EndCheckResult::Unanswered);
    }
}

void RelayedCall::beginEndCheck(Common::Time now)
{
    const auto call = gateway_.healthCall(plan_.facts.service, endpoint_, address_);
    if (!call) {
        return;
    }
    const auto isSender = [endpoint = endpoint_](const ResponseHead &head) {
        return Platform::isHealthAnswerOf(endpoint, head.status, head.headers);
    };
    endCheck_ =
        std::make_shared<EndCheck>(gateway_.pool(), *call, isSender, call_,
                                   [this](EndCheckResult result) { handleEndCheck(result); });
    endCheck_->start(now);
}

void RelayedCall::handleEndCheck(EndCheckResult result)
{
    const auto self = shared_from_this();
    endCheck_.reset();
    endCheckResult_ = result;
    gateway_.metrics().endChecks.at(result)->add();
    if (result != EndCheckResult::Running) {
        handleFailure(CallFailure::Broken, reasonOf(result));
        return;
    }
    completeResponse(steadyNow());
}

AttemptOutcome RelayedCall::wholeOutcome() const
{
    return isSuccess() ? AttemptOutcome::Completed : AttemptOutcome::Answered;
}

void RelayedCall::completeResponse(Common::Time now)
{
    const auto self = shared_from_this();
    if (responseMode_ == ResponseMode::Streamed) {
        const auto rest = cutter_.takeRemainder();
        if (!rest.empty() || !streamStarted_) {
            passOnEvents(rest);
        }
        connection_->endStream();
        gateway_.metrics().completed.add();
        endAttempt(wholeOutcome(), false, now);
        finish("completed");
        return;
    }
    // After the first part of a stream, no other head may follow.
    const bool mayPassOn = !streamStarted_ && !meansNotRun(response_.status);
    if (response_.status < FirstServerError && mayPassOn) {
        gateway_.metrics().completed.add();
        sendKeptResponse();
        endAttempt(wholeOutcome(), false, now);
        finish("completed");
        return;
    }
    lastReason_ = fmt::format("the endpoint answered {}", response_.status);
    lastErrorResponse_ = std::move(response_);
    endAttempt(AttemptOutcome::Error, !streamStarted_ || plan_.resumable, now);
}

// Responses to the caller, and the end of a call.

void RelayedCall::sendKeptResponse()
{
    connection_->respond(response_.status, response_.headers, response_.body);
}

void RelayedCall::sendOwnResponse(unsigned status, const std::string &detail,
                                  std::optional<milliseconds> retryAfter, bool notRun)
{
    auto headers = Platform::ownAnswerHeaders(plan_.head.requestId, retryAfter);
    headers.push_back({"Content-Type", "text/plain"});
    if (plan_.fromPeer) {
        headers.push_back({RunStateHeader, notRun ? RunStateNotRun : RunStateUnknown});
    }
    toldNotRun_ = notRun;
    connection_->respond(status, std::move(headers), detail);
}

void RelayedCall::reject(const Dispatch::Reject &effect, Common::Time now)
{
    const auto self = shared_from_this();
    if (streamStarted_) {
        connection_->abort();
        gateway_.metrics().failed.add();
        finish("broken off");
        return;
    }
    if (permit_.mayHaveRun()) {
        fail(now);
        return;
    }
    const auto retryAfter = std::chrono::duration_cast<milliseconds>(effect.retryAfter);
    EventLine line("reject");
    line.add("request", plan_.head.requestId)
        .add("service", plan_.facts.service)
        .add("reason", Dispatch::toString(effect.reason))
        .add("last_try", lastReason_)
        .add("waited", now - plan_.facts.arrivedAt)
        .add("waiting", static_cast<std::int64_t>(gateway_.scheduler().waiting()))
        .add("retry_after", effect.retryAfter)
        .add("fingerprint", formatFingerprint(plan_.facts.fingerprint));
    if (effect.suspect) {
        line.add("suspect", formatSuspect(*effect.suspect));
    }
    gateway_.log().write(line, now);
    gateway_.metrics().rejected.add();
    sendOwnResponse(ServiceUnavailable, std::string(Dispatch::toString(effect.reason)), retryAfter,
                    true);
    finish("rejected");
}

void RelayedCall::fail(Common::Time now)
{
    const auto self = shared_from_this();
    EventLine line("fail");
    line.add("request", plan_.head.requestId)
        .add("service", plan_.facts.service)
        .add("endpoint", endpoint_)
        .add("last_try", lastReason_)
        .add("events_passed", streamStarted_)
        .add("waited", now - plan_.facts.arrivedAt);
    gateway_.log().write(line, now);
    gateway_.metrics().failed.add();
    if (streamStarted_) {
        connection_->abort();
        finish("broken off");
        return;
    }
    if (lastErrorResponse_ && !meansNotRun(lastErrorResponse_->status)) {
        connection_->respond(lastErrorResponse_->status, lastErrorResponse_->headers,
                             lastErrorResponse_->body);
        finish("endpoint error");
        return;
    }
    sendOwnResponse(BadGateway, "the outcome is unknown: " + lastReason_, std::nullopt, false);
    finish("unknown");
}

void RelayedCall::handleCallerDisconnect()
{
    const auto self = shared_from_this();
    const auto now = steadyNow();
    callerDisconnected_ = true;
    gateway_.metrics().abandoned.add();
    gateway_.scheduler().withdraw(plan_.facts.id, now);
    // An at-most-once request at an endpoint runs to completion: its caller may ask for the
    // outcome. The instance that a request was forwarded to knows whether it is at an endpoint.
    const bool atEndpoint = call_ && peer_.empty();
    if (atEndpoint && plan_.facts.kind == Dispatch::RequestKind::AtMostOnce) {
        return;
    }
    if (call_) {
        endAttempt(AttemptOutcome::Cancelled, false, now);
    }
    if (!finished_) {
        finish("abandoned");
    }
}

void RelayedCall::timeOut(Common::Time now)
{
    const auto self = shared_from_this();
    EventLine line("timeout");
    line.add("request", plan_.head.requestId)
        .add("service", plan_.facts.service)
        .add("endpoint", endpoint_)
        .add("sent", everSent_)
        .add("events_passed", streamStarted_)
        .add("waited", now - plan_.facts.arrivedAt);
    gateway_.log().write(line, now);
    gateway_.metrics().timedOut.add();
    endUnanswered(everSent_ ? "no answer in time" : "no place in time", "timed out",
                  responding_ ? AttemptOutcome::Cancelled : AttemptOutcome::Silent, now);
}

void RelayedCall::endForExit(Common::Time now)
{
    const auto self = shared_from_this();
    if (finished_) {
        return;
    }
    gateway_.metrics().failed.add();
    endUnanswered("this instance stops", "cut off by the shutdown", AttemptOutcome::Cancelled, now);
}

void RelayedCall::endUnanswered(const std::string &detail, const char *outcome,
                                AttemptOutcome attemptOutcome, Common::Time now)
{
    if (streamStarted_) {
        connection_->abort();
    } else if (everSent_) {
        sendOwnResponse(GatewayTimeout, detail, std::nullopt, false);
    } else {
        sendOwnResponse(ServiceUnavailable, detail, TimeoutRetryAfter, true);
    }
    gateway_.scheduler().withdraw(plan_.facts.id, now);
    if (call_) {
        endAttempt(attemptOutcome, false, now);
    }
    if (!finished_) {
        finish(outcome);
    }
}

void RelayedCall::finish(const char *outcome)
{
    if (finished_) {
        return;
    }
    finished_ = true;
    const auto now = steadyNow();
    if (toldNotRun_ || !everSent_) {
        gateway_.refundUsage(plan_, now);
    }
    EventLine line("request");
    line.add("request", plan_.head.requestId)
        .add("service", plan_.facts.service)
        .add("customer", plan_.customer)
        .add("outcome", outcome)
        .add("endpoint", endpoint_)
        .add("instance_asked", peer_)
        .add("from_peer", plan_.fromPeer)
        .add("unsent_bytes", static_cast<std::int64_t>(connection_->unsentBytes()))
        .add("took", now - plan_.facts.arrivedAt);
    if (firstEventAfter_) {
        line.add("first_event", *firstEventAfter_).add("longest_pause", longestPause_);
    }
    if (responseEnd_) {
        line.add("response_end", toString(*responseEnd_))
            .add("incomplete_event_bytes", static_cast<std::int64_t>(incompleteEventBytes_));
    }
    if (endCheckResult_) {
        line.add("end_check", toString(*endCheckResult_));
    }
    if (limitPerSecond_) {
        line.add("limit_per_second", fmt::format("{:g}", *limitPerSecond_));
    }
    gateway_.log().write(line, now);
    cancelCall();
    gateway_.removeCall(plan_.facts.id);
}

} // namespace LaburnumChute::Relay
