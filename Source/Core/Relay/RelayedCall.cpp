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

/// A request that may run only once uses a pooled connection only if it was in use this recently.
/// Endpoints close idle connections after 1 s or more; if one is closed during the write, it is
/// unknown whether the request has run.
constexpr milliseconds NonRepeatableMaxIdle{400};
constexpr milliseconds RepeatableMaxIdle{20000};
/// Peers keep idle connections open for at least the callers' idle timeout.
constexpr milliseconds PeerIdleTimeout{10000};
constexpr milliseconds PeerConnectTimeout{700};
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
    , secondAnswer_(plan_.head.requestId)
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
        call_->withdraw();
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
    request.requestKey = Common::stableHash(plan_.head.requestId);
    address_ = request.address;
    responseMode_ = ResponseMode::None;
    discardResponse();
    responseEnd_.reset();
    endCheckResult_.reset();
    incompleteEventBytes_ = 0;
    cutter_.restart();
    secondAnswer_.restart();
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

bool RelayedCall::endIfExitIsSooner(Common::Time now)
{
    const auto expected = gateway_.attemptTimes().longest(plan_.facts.service);
    if (!gateway_.exitsBefore(now + expected, now)) {
        return false;
    }
    endForExit(now);
    // Posted, since the scheduler then sends the next request, which may end in the same way.
    asio::post(gateway_.pool()->context(), [&gateway = gateway_, call = plan_.facts.id] {
        const auto later = steadyNow();
        gateway.applyEffects(
            gateway.scheduler().ended(call, AttemptOutcome::Cancelled, false, later), later);
    });
    return true;
}

void RelayedCall::send(const Dispatch::Send &effect, Common::Time now)
{
    if (abandonIfCallerLeft(now) || endIfExitIsSooner(now)) {
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
    if (abandonIfCallerLeft(now) || endIfExitIsSooner(now)) {
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
    if (Dispatch::isWhole(outcome)) {
        gateway_.attemptTimes().record(plan_.facts.service, now - sentAt_);
    }
    permit_.end(Dispatch::runStateAfter(outcome));
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
