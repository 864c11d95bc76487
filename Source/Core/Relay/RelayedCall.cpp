#include "Relay/RelayedCall.h"

#include <algorithm>
#include <cmath>

#include "Relay/HttpText.h"
#include "Relay/RelayGateway.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;
using Dispatch::AttemptOutcome;

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;

/// A request that may run only once uses a pooled connection only if it was in use this recently.
/// Endpoints close idle connections after 1 s or more; if one is closed during the write, it is
/// unknown whether the request has run.
constexpr milliseconds NonRepeatableMaxIdle{400};
constexpr milliseconds RepeatableMaxIdle{20000};
/// Peers keep idle connections open for at least the callers' idle timeout.
constexpr milliseconds PeerIdleTimeout{10000};
constexpr milliseconds PeerConnectTimeout{700};
/// Unsent bytes of a slow caller above which reading from the endpoint is paused.
constexpr std::size_t MaxUnsentBytes = 128 * 1024;
/// Size limit of responses that are buffered until they are complete, and of single events.
constexpr std::size_t MaxBufferedResponseBytes = 8u << 20;
/// Urgency sent to endpoints; higher numbers are less urgent. Endpoints default to 5, so requests
/// of low priority are placed behind requests without an urgency.
constexpr int HighestPriorityUrgency = 3;
constexpr int LowestUrgency = 9;
/// Factor above which an endpoint's machine is counted as slow in the metrics.
constexpr double SlowMachine = 1.5;

AttemptOutcome outcomeOf(CallFailure failure)
{
    switch (failure) {
    case CallFailure::NotConnected:
        return AttemptOutcome::NotConnected;
    case CallFailure::Refused:
        return AttemptOutcome::Refused;
    case CallFailure::Withheld:
        return AttemptOutcome::Withheld;
    case CallFailure::Invalid:
        return AttemptOutcome::Invalid;
    case CallFailure::Broken:
        break;
    }
    return AttemptOutcome::Broken;
}

bool sendsBody(const std::string &method, const std::string &body)
{
    return !body.empty() || method == "POST" || method == "PUT" || method == "PATCH";
}

} // namespace

RelayedCall::RelayedCall(RelayGateway &gateway, RelayPlan plan,
                         std::shared_ptr<InboundConnection> connection)
    : gateway_(gateway)
    , plan_(std::move(plan))
    , connection_(std::move(connection))
    , permit_(plan_.facts.repeatable)
{
}

RelayedCall::~RelayedCall()
{
    cancelCall();
}

void RelayedCall::cancelCall()
{
    if (endCheck_) {
        endCheck_->cancel();
        endCheck_.reset();
    }
    if (call_) {
        call_->cancel();
        call_.reset();
    }
}

void RelayedCall::start(Common::Time now)
{
    connection_->onDisconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->handleCallerDisconnect();
        }
    });
    gateway_.applyEffects(gateway_.scheduler().submit(plan_.facts, now), now);
}

milliseconds RelayedCall::timeLeft(Common::Time now) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(plan_.facts.deadline - now);
    return std::max(milliseconds(1), left);
}

Common::Duration RelayedCall::maxConnectionIdle() const
{
    return plan_.facts.repeatable ? RepeatableMaxIdle : NonRepeatableMaxIdle;
}

OutboundRequest RelayedCall::outboundRequest(const std::string &address,
                                             const Common::Headers &headers, Common::Time) const
{
    OutboundRequest request;
    request.address = address;
    auto framed = headers;
    if (sendsBody(plan_.method, *plan_.body)) {
        framed.push_back({"Content-Length", std::to_string(plan_.body->size())});
    }
    request.head = requestHead(plan_.method, plan_.target, framed);
    request.body = plan_.body;
    request.isHeadMethod = plan_.method == "HEAD";
    request.maxIdle = maxConnectionIdle();
    return request;
}

void RelayedCall::startCall(OutboundRequest request, Common::Time now)
{
    const auto self = shared_from_this();
    cancelCall();
    if (std::find(addresses_.begin(), addresses_.end(), request.address) != addresses_.end()) {
        // An earlier answer to this request may arrive on the connection once more, and has its id.
        request.maxIdle = Common::Duration(0);
    }
    addresses_.push_back(request.address);
    responseMode_ = ResponseMode::None;
    discardResponse();
    responseEnd_.reset();
    endShown_ = true;
    incompleteEventBytes_ = 0;
    cutter_.restart();
    gateway_.holdAnswer(plan_.facts.id, heldBytes());
    sentAt_ = now;
    lastEventAt_ = now;
    everSent_ = true;
    CallEvents events;
    events.maySend = [this] { return maySend(); };
    events.head = [this](const ResponseHead &head) { return handleHead(head); };
    events.body = [this](const std::string &bytes) { handleBody(bytes); };
    events.end = [this](ResponseEnd end) { handleEnd(end); };
    events.failed = [this](CallFailure failure, const std::string &reason) {
        handleFailure(failure, reason);
    };
    call_ = std::make_shared<OutboundCall>(gateway_.pool(), std::move(request), std::move(events));
    call_->start(now);
}

bool RelayedCall::maySend()
{
    const auto now = steadyNow();
    // The endpoint may begin to leave or be evacuated while the connection is being established.
    if (!call_->usedIdleConnection() && !gateway_.scheduler().maySend(plan_.facts.id, now)) {
        return false;
    }
    if (permit_.take()) {
        return true;
    }
    gateway_.metrics().sendsWithheld.add();
    call_->cancel();
    handleFailure(CallFailure::Broken, "an earlier attempt may have run");
    return false;
}

/// A process that is short of CPU time reads some requests only after their callers have
/// disconnected: the close is queued behind the request in the same socket. Sending these requests
/// would take slots from others just when slots are scarce, and endpoints would see requests that
/// are cancelled as soon as they start.
bool RelayedCall::abandonIfCallerLeft(Common::Time now)
{
    if (!connection_->remoteClosed()) {
        return false;
    }
    const auto self = shared_from_this();
    callerDisconnected_ = true;
    gateway_.metrics().abandoned.add();
    gateway_.scheduler().withdraw(plan_.facts.id, now);
    endAttempt(AttemptOutcome::Cancelled, false, now);
    return true;
}

void RelayedCall::send(const Dispatch::Send &effect, Common::Time now)
{
    if (abandonIfCallerLeft(now)) {
        return;
    }
    auto &metrics = gateway_.metrics();
    metrics.sends.add();
    if (effect.statedWorkFactor > SlowMachine) {
        metrics.sendsToSlowMachines.add();
    }
    if (streamStarted_) {
        metrics.resumed.add();
    } else if (!everSent_) {
        metrics.queueTime.record(now - plan_.facts.arrivedAt);
    }
    endpoint_ = effect.endpoint;
    peer_ = Common::InstanceId();
    expected_ = effect.expected;
    Dialect::EndpointRequestMetadata order;
    order.requestId = plan_.head.requestId;
    order.deadline = timeLeft(now);
    order.endpoint = effect.endpoint;
    if (!plan_.customer.empty()) {
        order.customer = plan_.customer;
    }
    order.urgency = std::min(LowestUrgency, HighestPriorityUrgency + plan_.facts.priority);
    order.copyCacheFrom = effect.copyCacheFrom;
    if (streamStarted_) {
        order.lastEventId = cutter_.lastId();
    }
    if (effect.copy) {
        metrics.copies.at(effect.copy->path)->add();
        metrics.copiedBytes.add(static_cast<std::uint64_t>(effect.copy->bytes));
        metrics.copyWait.record(effect.copy->wait);
    } else if (effect.prefillsSooner) {
        metrics.copiesNotChosen.add();
    }
    const auto copy = effect.copy.value_or(Dispatch::CacheCopy());
    EventLine line("send");
    line.add("request", plan_.head.requestId)
        .add("endpoint", effect.endpoint)
        .add("waited", now - plan_.facts.arrivedAt)
        .add("expected", effect.expected)
        .add("prompt_tokens", plan_.facts.promptTokens)
        .add("tokens_to_read", effect.prefillTokens)
        .add("output_tokens", plan_.facts.outputTokens)
        .add("own_there", static_cast<std::int64_t>(effect.own))
        .add("others_there", static_cast<std::int64_t>(std::lround(effect.others)))
        .add("assumed_there", static_cast<std::int64_t>(std::lround(effect.assumed)))
        .add("copies_cache", effect.copyCacheFrom.has_value())
        .add("copy", copy.time)
        .add("copy_wait", copy.wait)
        .add("copy_source", copy.source)
        .add("copied_tokens", copy.tokens)
        .add("copy_path", effect.copy ? Dispatch::toString(copy.path) : "")
        .add("resumes", streamStarted_)
        .add("fingerprint", formatFingerprint(plan_.facts.fingerprint))
        .add("suspect_keys", formatSuspects(Dispatch::suspectKeys(plan_.facts)));
    if (effect.machinePercent) {
        line.add("machine_percent", static_cast<std::int64_t>(*effect.machinePercent))
            .add("machine_age", effect.machineAge);
    }
    gateway_.log().write(line, now);
    auto request =
        outboundRequest(effect.address, Platform::endpointHeaders(plan_.headers, order), now);
    if (effect.newConnection) {
        request.maxIdle = Common::Duration(0);
    }
    startCall(std::move(request), now);
}

void RelayedCall::forward(const Dispatch::Forward &effect, Common::Time now)
{
    if (abandonIfCallerLeft(now)) {
        return;
    }
    const bool handsOver = !effect.instance.empty();
    const auto peer =
        handsOver ? gateway_.findPeer(effect.instance) : gateway_.findPeerIn(effect.region);
    EventLine line("forward");
    line.add("request", plan_.head.requestId)
        .add("region", effect.region)
        .add("instance", peer ? std::string_view(peer->id.text()) : "none")
        .add("waited", now - plan_.facts.arrivedAt)
        .add("reason", Dispatch::toString(effect.reason));
    gateway_.log().write(line, now);
    if (!peer) {
        lastReason_ = handsOver ? effect.instance.text() + " cannot be reached"
                                : "no instance of " + effect.region.text() + " can be reached";
        endAttempt(AttemptOutcome::NotConnected, true, now);
        return;
    }
    (handsOver ? gateway_.metrics().handedOver : gateway_.metrics().forwards).add();
    if (effect.reason == Dispatch::ForwardReason::Yield) {
        gateway_.metrics().yieldForwards.add();
    }
    endpoint_ = Common::EndpointId();
    peer_ = peer->id;
    ForwardMetadata metadata;
    const auto &facts = plan_.facts;
    const auto inMilliseconds = [](Common::Duration duration) {
        return std::chrono::duration_cast<milliseconds>(duration).count();
    };
    metadata.service = facts.service.text();
    metadata.kind = static_cast<std::uint8_t>(facts.kind);
    metadata.resumable = plan_.resumable;
    metadata.priority = facts.priority;
    metadata.attempts = effect.maxRuns;
    metadata.objectiveLeftMs = inMilliseconds(facts.objectiveAt - now);
    metadata.objectiveMs = inMilliseconds(facts.objectiveAt - facts.arrivedAt);
    metadata.deadlineLeftMs = timeLeft(now).count();
    metadata.gapMs = plan_.gap ? plan_.gap->count() : 0;
    metadata.fingerprint = facts.fingerprint;
    metadata.contentFingerprint = facts.contentFingerprint;
    metadata.fromRegion = gateway_.settings().region.text();
    metadata.customer = plan_.customer.text();
    metadata.receiver = peer->incarnation;
    metadata.handedOver = handsOver;
    auto headers = plan_.headers;
    headers.push_back({ForwardHeader, encodeForwardMetadata(metadata)});
    if (streamStarted_) {
        headers = Platform::resumedHeaders(headers, cutter_.lastId().value_or(""));
    }
    auto request = outboundRequest(peer->peerAddress, headers, now);
    request.maxIdle = PeerIdleTimeout;
    request.assumedIdleTimeout = PeerIdleTimeout;
    request.connectTimeout = PeerConnectTimeout;
    startCall(std::move(request), now);
}

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
    if (!stream) {
        responding_ = true;
        gateway_.scheduler().answering(plan_.facts.id, now);
    }
    return true;
}

void RelayedCall::handleBody(const std::string &bytes)
{
    const auto self = shared_from_this();
    if (responseMode_ == ResponseMode::Streamed) {
        const auto events = cutter_.feed(bytes);
        if (!events.empty()) {
            passOnEvents(events);
        }
        if (cutter_.pendingBytes() > MaxBufferedResponseBytes) {
            failTooLarge("an event is too large");
            return;
        }
    } else {
        lastEventAt_ = steadyNow();
        gateway_.scheduler().received(plan_.facts.id, lastEventAt_);
        response_.body += bytes;
        if (response_.body.size() > MaxBufferedResponseBytes) {
            failTooLarge("the answer is too large");
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

void RelayedCall::failTooLarge(const std::string &reason)
{
    call_->cancel();
    discardResponse();
    handleFailure(CallFailure::Invalid, reason);
}

void RelayedCall::releaseAnswer()
{
    const auto self = shared_from_this();
    if (call_) {
        failTooLarge("the answers in memory are too large");
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

void RelayedCall::pauseReading(bool paused)
{
    const auto now = steadyNow();
    lastEventAt_ = now;
    gateway_.scheduler().readingPaused(plan_.facts.id, paused, now);
    call_->pause(paused);
}

void RelayedCall::handleFailure(CallFailure failure, const std::string &reason)
{
    const auto self = shared_from_this();
    const auto now = steadyNow();
    lastReason_ = reason;
    EventLine line("try-failed");
    line.add("request", plan_.head.requestId)
        .add("endpoint", endpoint_)
        .add("instance_asked", peer_)
        .add("reason", reason)
        .add("after", now - sentAt_)
        .add("sent", failure == CallFailure::Broken || failure == CallFailure::Invalid)
        .add("events_passed", streamStarted_);
    gateway_.log().write(line, now);
    endAttempt(outcomeOf(failure), !streamStarted_ || plan_.resumable, now);
}

void RelayedCall::endAttempt(AttemptOutcome outcome, bool mayRetry, Common::Time now)
{
    const auto self = shared_from_this();
    cancelCall();
    permit_.end(outcome);
    responding_ = false;
    const auto effects = gateway_.scheduler().ended(plan_.facts.id, outcome, mayRetry, now);
    gateway_.applyEffects(effects, now);
    if (callerDisconnected_ && !finished_) {
        finish("abandoned");
    }
}

void RelayedCall::abandonSilentAttempt(Common::Time now)
{
    if (!gateway_.scheduler().confirmCancel(plan_.facts.id, now)) {
        return;
    }
    lastReason_ = "the endpoint is silent";
    EventLine line("taken-back");
    line.add("request", plan_.head.requestId)
        .add("endpoint", endpoint_)
        .add("expected", expected_)
        .add("after", now - sentAt_)
        .add("events_passed", streamStarted_)
        .add("silent", now - lastEventAt_);
    gateway_.log().write(line, now);
    call_->withdraw();
    endAttempt(AttemptOutcome::Silent, true, now);
}

void RelayedCall::tick(Common::Time now)
{
    const auto self = shared_from_this();
    if (call_) {
        call_->tick(now);
    }
    if (endCheck_) {
        endCheck_->tick(now);
    }
    if (finished_) {
        return;
    }
    if (now >= plan_.facts.deadline) {
        timeOut(now);
    }
}

} // namespace LaburnumChute::Relay
