#include <algorithm>

#include "Relay/HttpText.h"
#include "Relay/RelayGateway.h"
#include "Relay/RelayedCall.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
/// Unsent bytes of a slow caller above which reading from the endpoint is paused.
constexpr std::size_t MaxUnsentBytes = 128 * 1024;
/// Size limit of responses that are buffered until they are complete, and of single events.
constexpr std::size_t MaxBufferedResponseBytes = 8u << 20;

} // namespace

// The head and the body of an endpoint's answer.

bool RelayedCall::isSuccess() const
{
    return response_.status >= FirstSuccess && response_.status < FirstRedirect;
}

/// Reads from a peer's response whether a request that failed there may have run.
void RelayedCall::readPeerState(const ResponseHead &head)
{
    const auto *state = Common::findHeader(head.headers, RunStateHeader);
    if (!peer_.empty() && state != nullptr) {
        responseMode_ = *state == RunStateNotRun ? ResponseMode::NotRun : ResponseMode::Unknown;
    }
}

void RelayedCall::logNotRun(const Dialect::EndpointResponseMetadata &facts, Common::Time now)
{
    EventLine line("try-not-run");
    line.add("request", plan_.head.requestId)
        .add("endpoint", endpoint_)
        .add("reason", lastReason_)
        .add("answers", facts.requestId)
        .add("used_connection", call_->usedIdleConnection())
        .add("after", now - sentAt_);
    gateway_.log().write(line, now);
}

void RelayedCall::recordEndpointState(const Dialect::EndpointResponseMetadata &facts,
                                      Common::Time now)
{
    if (endpoint_.empty() || facts.wrongEndpoint) {
        return;
    }
    if (facts.restFor) {
        gateway_.scheduler().restSeen(endpoint_, *facts.restFor, now);
        EventLine line("endpoint-rest");
        line.add("endpoint", endpoint_)
            .add("request", plan_.head.requestId)
            .add("rest", *facts.restFor);
        gateway_.log().write(line, now);
    }
    if (facts.leaving && gateway_.scheduler().leavingSeen(endpoint_)) {
        EventLine line("endpoint-leaving");
        line.add("endpoint", endpoint_).add("request", plan_.head.requestId);
        gateway_.log().write(line, now);
    }
}

/// A missing limit is conclusive only in signed responses, which come from the endpoint itself.
void RelayedCall::recordLimit(const Dialect::EndpointResponseMetadata &facts, Common::Time now)
{
    const bool conclusive = facts.limitPerSecond || facts.sealed;
    if (endpoint_.empty() || facts.wrongEndpoint || !conclusive) {
        return;
    }
    if (!gateway_.scheduler().limitSeen(endpoint_, facts.limitPerSecond, now)) {
        return;
    }
    EventLine line("endpoint-limit");
    line.add("endpoint", endpoint_).add("request", plan_.head.requestId);
    line.add("limited", facts.limitPerSecond.has_value());
    if (facts.limitPerSecond) {
        line.add("per_second", fmt::format("{:g}", *facts.limitPerSecond));
    }
    gateway_.log().write(line, now);
}

/// As for limits, a missing number is conclusive only in signed responses.
void RelayedCall::recordBrittleness(const Dialect::EndpointResponseMetadata &facts,
                                    Common::Time now)
{
    const bool conclusive = facts.toleratedRejections || facts.sealed;
    if (endpoint_.empty() || facts.wrongEndpoint || !conclusive
        || !gateway_.scheduler().brittleSeen(endpoint_, facts.toleratedRejections, now)) {
        return;
    }
    EventLine line("service-brittle");
    line.add("service", plan_.facts.service)
        .add("endpoint", endpoint_)
        .add("request", plan_.head.requestId)
        .add("brittle", facts.toleratedRejections.has_value());
    if (facts.toleratedRejections) {
        line.add("tolerated_rejections", *facts.toleratedRejections);
    }
    gateway_.log().write(line, now);
}

bool RelayedCall::answersThisRequest(const Dialect::EndpointResponseMetadata &facts) const
{
    return facts.requestId == plan_.head.requestId
           || (facts.requestId.empty() && !call_->usedIdleConnection());
}

bool RelayedCall::handleHead(const ResponseHead &head)
{
    const auto self = shared_from_this();
    const auto facts = Platform::readAnswer(head.status, head.headers);
    if (!facts.requestId.empty() && facts.requestId != plan_.head.requestId) {
        EventLine line("foreign-answer");
        line.add("request", plan_.head.requestId)
            .add("answers", facts.requestId)
            .add("endpoint", endpoint_);
        gateway_.log().write(line, steadyNow());
        return false;
    }
    const auto now = steadyNow();
    if (facts.requestId.empty()) {
        (call_->usedIdleConnection() ? gateway_.metrics().unnamedAnswersOnUsedConnections
                                     : gateway_.metrics().unnamedAnswers)
            .add();
    }
    if (!answersThisRequest(facts)) {
        call_->cancel();
        handleFailure(CallFailure::Invalid,
                      "an answer without an id on a connection that has had others");
        return true;
    }
    if (facts.load && !endpoint_.empty()) {
        gateway_.scheduler().loadSeen(endpoint_, *facts.load, now);
        if (facts.load->workPercent) {
            gateway_.metrics().machineFigures.add();
        } else if (facts.load->invalidWorkPercent) {
            gateway_.metrics().machineFiguresIgnored.add();
        }
    }
    limitPerSecond_ = facts.limitPerSecond;
    recordLimit(facts, now);
    recordBrittleness(facts, now);
    recordEndpointState(facts, now);
    response_.status = head.status;
    response_.headers = Platform::callerHeaders(endToEndHeaders(head.headers));
    readPeerState(head);
    if (responseMode_ != ResponseMode::None) {
        return true;
    }
    if (facts.notRun && peer_.empty()) {
        responseMode_ = facts.wrongEndpoint ? ResponseMode::Replaced : ResponseMode::NotRun;
        lastReason_ = facts.wrongEndpoint ? "another endpoint has the address"
                                          : fmt::format("refused with {}", head.status);
        logNotRun(facts, now);
        return true;
    }
    if (isSuccess() && (!facts.sealed || facts.requestId.empty())) {
        // The response is not authenticated; a faulty endpoint may have produced it.
        call_->cancel();
        handleFailure(CallFailure::Invalid, "a success without the endpoint's signature");
        return true;
    }
    const bool stream = plan_.facts.kind == Dispatch::RequestKind::Stream && isSuccess();
    responseMode_ = stream ? ResponseMode::Streamed : ResponseMode::Buffered;
    if (call_->endsWithConnection()) {
        beginEndCheck(now);
    }
    if (!stream) {
        responding_ = true;
        gateway_.scheduler().answering(plan_.facts.id, now);
    }
    return true;
}

void RelayedCall::handleBody(const std::string &bytes)
{
    const auto self = shared_from_this();
    if (secondAnswer_.feed(bytes)) {
        failInvalid("a second answer begins inside the first one");
        return;
    }
    if (responseMode_ == ResponseMode::Streamed) {
        const auto events = cutter_.feed(bytes);
        if (!events.empty()) {
            passOnEvents(events);
        }
        if (cutter_.pendingBytes() > MaxBufferedResponseBytes) {
            failInvalid("an event is too large");
            return;
        }
    } else {
        lastEventAt_ = steadyNow();
        gateway_.scheduler().received(plan_.facts.id, lastEventAt_);
        response_.body += bytes;
        if (response_.body.size() > MaxBufferedResponseBytes) {
            failInvalid("the answer is too large");
            return;
        }
    }
    if (!finished_) {
        gateway_.holdAnswer(plan_.facts.id, heldBytes());
    }
}

std::size_t RelayedCall::heldBytes() const
{
    const auto kept = lastErrorResponse_ ? lastErrorResponse_->body.size() : 0;
    return response_.body.size() + cutter_.pendingBytes() + kept;
}

/// Assignment of an empty string would keep the memory of the body.
void RelayedCall::discardResponse()
{
    std::exchange(response_, {});
}

void RelayedCall::failInvalid(const std::string &reason)
{
    call_->cancel();
    discardResponse();
    handleFailure(CallFailure::Invalid, reason);
}

void RelayedCall::releaseAnswer()
{
    const auto self = shared_from_this();
    if (call_) {
        failInvalid("the answers in memory are too large");
    } else {
        lastErrorResponse_.reset();
        discardResponse();
    }
}

void RelayedCall::passOnEvents(const std::string &events)
{
    const auto now = steadyNow();
    const int newEvents = cutter_.events() - eventsPassedOn_;
    eventsPassedOn_ = cutter_.events();
    if (responding_) {
        gateway_.scheduler().progressed(plan_.facts.id, newEvents, now - lastEventAt_, now);
    }
    if (firstEventAfter_) {
        longestPause_ = std::max(longestPause_, now - lastEventAt_);
    } else {
        firstEventAfter_ = now - plan_.facts.arrivedAt;
    }
    lastEventAt_ = now;
    if (!responding_) {
        responding_ = true;
        gateway_.scheduler().answering(plan_.facts.id, now);
        gateway_.metrics().firstEvent.record(now - plan_.facts.arrivedAt);
    }
    if (!streamStarted_) {
        streamStarted_ = true;
        connection_->beginStream(response_.status, response_.headers);
    }
    connection_->sendPart(events);
    if (connection_->unsentBytes() > MaxUnsentBytes) {
        pauseReading(true);
        connection_->onDrained([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->call_) {
                self->pauseReading(false);
            }
        });
    }
}

} // namespace LaburnumChute::Relay
