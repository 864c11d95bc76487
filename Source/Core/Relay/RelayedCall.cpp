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
using Dispatch::TryOutcome;

constexpr unsigned FirstSuccess = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned FirstServerError = 500;

/// A request that may run only once goes on a connection that was in use this recently: an endpoint
/// closes idle ones after a second at the least, and one that closes under the write leaves nobody
/// knowing whether it has run.
constexpr milliseconds OnceConnectionAge{400};
constexpr milliseconds AnyConnectionAge{20000};
/// Instances keep idle connections between them for at least the callers' idle timeout.
constexpr milliseconds PeerConnectionKeep{10000};
constexpr milliseconds PeerConnectTimeout{700};
/// Bytes that a slow caller may leave with this process before its endpoint is read no further.
constexpr std::size_t SlowCallerBytes = 128 * 1024;
/// Answers of plain services are kept whole up to this size.
constexpr std::size_t WholeAnswerLimit = 8u << 20;
/// A stream that pauses for so many of its usual longest pauses has stalled.
constexpr int StallGaps = 3;
constexpr milliseconds StallFloor{1000};
constexpr milliseconds TimeoutRetryAfter{700};
/// The endpoint's default urgency is 5; what is less urgent than most goes behind it.
constexpr int UrgencyOfHighest = 3;
constexpr int LeastUrgent = 9;

/// Statuses that promise that a request has not run.
bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
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
{
}

RelayedCall::~RelayedCall()
{
    if (call_) {
        call_->cancel();
    }
}

void RelayedCall::start(Common::Time now)
{
    connection_->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->callerGone();
        }
    });
    gateway_.carryOut(gateway_.scheduler().submit(plan_.facts, now), now);
}

milliseconds RelayedCall::timeLeft(Common::Time now) const
{
    const auto left = std::chrono::duration_cast<milliseconds>(plan_.facts.deadline - now);
    return std::max(milliseconds(1), left);
}

Common::Duration RelayedCall::connectionAge() const
{
    return plan_.facts.repeatable ? AnyConnectionAge : OnceConnectionAge;
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
    request.maxIdle = connectionAge();
    return request;
}

void RelayedCall::startCall(OutboundRequest request, Common::Time now)
{
    const auto self = shared_from_this();
    if (call_) {
        call_->cancel();
    }
    mode_ = Mode::None;
    kept_ = {};
    cutter_.restart();
    sentAt_ = now;
    lastEventAt_ = now;
    everSent_ = true;
    CallEvents events;
    // The endpoint may start leaving or be evacuated while the connection is being established.
    events.maySend = [this] { return gateway_.scheduler().maySend(plan_.facts.id); };
    events.head = [this](const AnswerHead &head) { return takeHead(head); };
    events.body = [this](const std::string &bytes) { takeBody(bytes); };
    events.end = [this] { takeEnd(); };
    events.failed = [this](CallFailure failure, const std::string &reason) {
        takeFailure(failure, reason);
    };
    call_ = std::make_shared<OutboundCall>(gateway_.pool(), std::move(request), std::move(events));
    call_->start(now);
}

/// A process that lacks processor time reads requests late, some of them after their callers have
/// given up: the close stands behind the request in the same socket. Sent on, they would take
/// places from requests that are still wanted, just when there are too few. Endpoints see requests
/// that are cancelled as soon as they begin.
bool RelayedCall::endedAsCallerLeft(Common::Time now)
{
    if (!connection_->otherSideLeft()) {
        return false;
    }
    const auto self = shared_from_this();
    callerGone_ = true;
    gateway_.metrics().abandoned.add();
    gateway_.scheduler().withdraw(plan_.facts.id, now);
    endTry(TryOutcome::Cancelled, false, now);
    return true;
}

void RelayedCall::send(const Dispatch::Send &effect, Common::Time now)
{
    if (endedAsCallerLeft(now)) {
        return;
    }
    gateway_.metrics().sends.add();
    endpoint_ = effect.endpoint;
    peer_ = Common::InstanceId();
    expected_ = effect.expected;
    Dialect::EndpointRequestMetadata order;
    order.requestId = plan_.head.requestId;
    order.deadline = timeLeft(now);
    order.endpoint = effect.endpoint;
    order.urgency = std::min(LeastUrgent, UrgencyOfHighest + plan_.facts.priority);
    order.copyCacheFrom = effect.copyCacheFrom;
    if (started_) {
        order.lastEventId = cutter_.lastId();
    }
    EventLine line("send");
    line.add("request", plan_.head.requestId)
        .add("endpoint", effect.endpoint)
        .add("waited", now - plan_.facts.arrivedAt)
        .add("expected", effect.expected)
        .add("prompt_tokens", plan_.facts.promptTokens)
        .add("tokens_to_read", effect.tokensToRead)
        .add("output_tokens", plan_.facts.outputTokens)
        .add("own_there", static_cast<std::int64_t>(effect.own))
        .add("others_there", static_cast<std::int64_t>(std::lround(effect.others)))
        .add("assumed_there", static_cast<std::int64_t>(std::lround(effect.assumed)))
        .add("copies_cache", effect.copyCacheFrom.has_value())
        .add("resumes", started_);
    gateway_.log().write(line, now);
    startCall(outboundRequest(effect.address, Platform::endpointHeaders(plan_.headers, order), now),
              now);
}

void RelayedCall::forward(const Dispatch::Forward &effect, Common::Time now)
{
    if (endedAsCallerLeft(now)) {
        return;
    }
    const auto peer = gateway_.peerIn(effect.region);
    EventLine line("forward");
    line.add("request", plan_.head.requestId)
        .add("region", effect.region)
        .add("instance", peer ? std::string_view(peer->id.text()) : "none")
        .add("waited", now - plan_.facts.arrivedAt);
    gateway_.log().write(line, now);
    if (!peer) {
        lastReason_ = "no instance of " + effect.region.text() + " can be reached";
        endTry(TryOutcome::NotConnected, true, now);
        return;
    }
    gateway_.metrics().forwards.add();
    endpoint_ = Common::EndpointId();
    peer_ = peer->id;
    ForwardNote note;
    const auto &facts = plan_.facts;
    const auto inMilliseconds = [](Common::Duration duration) {
        return std::chrono::duration_cast<milliseconds>(duration).count();
    };
    note.service = facts.service.text();
    note.kind = static_cast<std::uint8_t>(facts.kind);
    note.resumable = plan_.resumable;
    note.priority = facts.priority;
    note.attempts = effect.attempts;
    note.objectiveLeftMs = inMilliseconds(facts.objectiveAt - now);
    note.objectiveMs = inMilliseconds(facts.objectiveAt - facts.arrivedAt);
    note.deadlineLeftMs = timeLeft(now).count();
    note.gapMs = plan_.gap ? plan_.gap->count() : 0;
    note.fingerprint = facts.fingerprint;
    note.fromRegion = gateway_.settings().region.text();
    auto headers = plan_.headers;
    headers.push_back({ForwardHeader, encodeNote(note)});
    if (started_) {
        headers = Platform::resumedHeaders(headers, cutter_.lastId().value_or(""));
    }
    auto request = outboundRequest(peer->peerAddress, headers, now);
    request.maxIdle = PeerConnectionKeep;
    request.assumedKeep = PeerConnectionKeep;
    request.connectTimeout = PeerConnectTimeout;
    startCall(std::move(request), now);
}

bool RelayedCall::isSuccess() const
{
    return kept_.status >= FirstSuccess && kept_.status < FirstRedirect;
}

/// What another instance says of a request that it has not answered.
void RelayedCall::readPeerState(const AnswerHead &head)
{
    const auto *state = Common::findHeader(head.headers, RunStateHeader);
    if (!peer_.empty() && state != nullptr) {
        mode_ = *state == RunStateNotRun ? Mode::NotRun : Mode::Unknown;
    }
}

/// A missing limit counts only in sealed answers, which come from the endpoint itself.
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

bool RelayedCall::takeHead(const AnswerHead &head)
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
    if (facts.load && !endpoint_.empty()) {
        gateway_.scheduler().loadSeen(endpoint_, *facts.load, now);
    }
    limitPerSecond_ = facts.limitPerSecond;
    recordLimit(facts, now);
    kept_.status = head.status;
    kept_.headers = Platform::callerHeaders(endToEnd(head.headers));
    readPeerState(head);
    if (mode_ != Mode::None) {
        return true;
    }
    if (facts.notRun && peer_.empty()) {
        mode_ = Mode::NotRun;
        lastReason_ = facts.wrongEndpoint ? "another endpoint has the address"
                                          : fmt::format("refused with {}", head.status);
        return true;
    }
    if (isSuccess() && (!facts.sealed || facts.requestId.empty())) {
        // Nobody vouches for such an answer; bytes of a faulty endpoint may look like one.
        call_->cancel();
        takeFailure(CallFailure::Broken, "a success without the endpoint's signature");
        return true;
    }
    const bool stream = plan_.facts.kind == Dispatch::RequestKind::Stream && isSuccess();
    mode_ = stream ? Mode::Events : Mode::Whole;
    if (!stream) {
        answering_ = true;
        gateway_.scheduler().answering(plan_.facts.id, now);
    }
    return true;
}

void RelayedCall::takeBody(const std::string &bytes)
{
    const auto self = shared_from_this();
    if (mode_ == Mode::Events) {
        const auto events = cutter_.feed(bytes);
        if (!events.empty()) {
            passEvents(events);
        }
        return;
    }
    kept_.body += bytes;
    if (kept_.body.size() > WholeAnswerLimit) {
        call_->cancel();
        takeFailure(CallFailure::Broken, "the answer is too large");
    }
}

void RelayedCall::passEvents(const std::string &events)
{
    const auto now = steadyNow();
    const int more = cutter_.events() - eventsPassed_;
    eventsPassed_ = cutter_.events();
    if (answering_) {
        gateway_.scheduler().progressed(plan_.facts.id, more, now - lastEventAt_, now);
    }
    if (firstEventAfter_) {
        longestPause_ = std::max(longestPause_, now - lastEventAt_);
    } else {
        firstEventAfter_ = now - plan_.facts.arrivedAt;
    }
    lastEventAt_ = now;
    if (!answering_) {
        answering_ = true;
        gateway_.scheduler().answering(plan_.facts.id, now);
        gateway_.metrics().firstEvent.record(now - plan_.facts.arrivedAt);
    }
    if (!started_) {
        started_ = true;
        connection_->beginPieces(kept_.status, kept_.headers);
    }
    connection_->piece(events);
    if (connection_->unsent() > SlowCallerBytes) {
        call_->pause(true);
        connection_->onDrained([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->call_) {
                self->call_->pause(false);
            }
        });
    }
}

void RelayedCall::takeEnd()
{
    const auto self = shared_from_this();
    const auto now = steadyNow();
    switch (mode_) {
    case Mode::None:
    case Mode::NotRun:
        endTry(TryOutcome::NotRun, true, now);
        return;
    case Mode::Unknown:
        lastReason_ = "the other instance does not know what became of it";
        endTry(TryOutcome::Broken, !started_ || plan_.resumable, now);
        return;
    case Mode::Events: {
        const auto rest = cutter_.takeRest();
        if (!rest.empty() || !started_) {
            passEvents(rest);
        }
        connection_->endPieces();
        gateway_.metrics().completed.add();
        endTry(TryOutcome::Completed, false, now);
        finish("completed");
        return;
    }
    case Mode::Whole:
        break;
    }
    if (kept_.status < FirstServerError && !promisesNotRun(kept_.status)) {
        gateway_.metrics().completed.add();
        answerKept();
        endTry(TryOutcome::Completed, false, now);
        finish("completed");
        return;
    }
    lastReason_ = fmt::format("the endpoint answered {}", kept_.status);
    spare_ = std::move(kept_);
    endTry(TryOutcome::Error, !started_ || plan_.resumable, now);
}

void RelayedCall::takeFailure(CallFailure failure, const std::string &reason)
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
        .add("sent", failure == CallFailure::Broken)
        .add("events_passed", started_);
    gateway_.log().write(line, now);
    if (failure == CallFailure::NotConnected) {
        endTry(TryOutcome::NotConnected, !started_ || plan_.resumable, now);
        return;
    }
    endTry(TryOutcome::Broken, !started_ || plan_.resumable, now);
}

void RelayedCall::endTry(TryOutcome outcome, bool mayGoOn, Common::Time now)
{
    const auto self = shared_from_this();
    if (call_) {
        call_->cancel();
        call_.reset();
    }
    answering_ = false;
    const auto effects = gateway_.scheduler().ended(plan_.facts.id, outcome, mayGoOn, now);
    gateway_.carryOut(effects, now);
    if (callerGone_ && !over_) {
        finish("abandoned");
    }
}

void RelayedCall::takeBack(Common::Time now)
{
    lastReason_ = "the endpoint is silent";
    EventLine line("taken-back");
    line.add("request", plan_.head.requestId)
        .add("endpoint", endpoint_)
        .add("expected", expected_)
        .add("after", now - sentAt_);
    gateway_.log().write(line, now);
    endTry(TryOutcome::Silent, true, now);
}

void RelayedCall::answerKept()
{
    connection_->answer(kept_.status, kept_.headers, kept_.body);
}

void RelayedCall::answerOwn(unsigned status, const std::string &detail,
                            std::optional<milliseconds> retryAfter, bool notRun)
{
    auto headers = Platform::ownAnswerHeaders(plan_.head.requestId, retryAfter);
    headers.push_back({"Content-Type", "text/plain"});
    if (plan_.fromPeer) {
        headers.push_back({RunStateHeader, notRun ? RunStateNotRun : RunStateUnknown});
    }
    connection_->answer(status, std::move(headers), detail);
}

void RelayedCall::reject(const Dispatch::Reject &effect, Common::Time now)
{
    const auto self = shared_from_this();
    if (started_) {
        connection_->abort();
        gateway_.metrics().failed.add();
        finish("broken off");
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
        .add("retry_after", effect.retryAfter);
    gateway_.log().write(line, now);
    gateway_.metrics().rejected.add();
    answerOwn(ServiceUnavailable, std::string(Dispatch::toString(effect.reason)), retryAfter, true);
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
        .add("events_passed", started_)
        .add("waited", now - plan_.facts.arrivedAt);
    gateway_.log().write(line, now);
    gateway_.metrics().failed.add();
    if (started_) {
        connection_->abort();
        finish("broken off");
        return;
    }
    if (spare_ && !promisesNotRun(spare_->status)) {
        connection_->answer(spare_->status, spare_->headers, spare_->body);
        finish("endpoint error");
        return;
    }
    answerOwn(BadGateway, "the outcome is unknown: " + lastReason_, std::nullopt, false);
    finish("unknown");
}

void RelayedCall::callerGone()
{
    const auto self = shared_from_this();
    const auto now = steadyNow();
    callerGone_ = true;
    gateway_.metrics().abandoned.add();
    gateway_.scheduler().withdraw(plan_.facts.id, now);
    // An order under way is seen through: its caller may ask what became of it.
    const bool seenThrough = call_ && plan_.facts.kind == Dispatch::RequestKind::AtMostOnce;
    if (seenThrough) {
        return;
    }
    if (call_) {
        endTry(TryOutcome::Cancelled, false, now);
    }
    if (!over_) {
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
        .add("events_passed", started_)
        .add("waited", now - plan_.facts.arrivedAt);
    gateway_.log().write(line, now);
    gateway_.metrics().timedOut.add();
    if (started_) {
        connection_->abort();
    } else if (everSent_) {
        answerOwn(GatewayTimeout, "no answer in time", std::nullopt, false);
    } else {
        answerOwn(ServiceUnavailable, "no place in time", TimeoutRetryAfter, true);
    }
    gateway_.scheduler().withdraw(plan_.facts.id, now);
    if (call_) {
        endTry(answering_ ? TryOutcome::Cancelled : TryOutcome::Silent, false, now);
    }
    if (!over_) {
        finish("timed out");
    }
}

void RelayedCall::tick(Common::Time now)
{
    const auto self = shared_from_this();
    if (call_) {
        call_->tick(now);
    }
    if (over_) {
        return;
    }
    if (now >= plan_.facts.deadline) {
        timeOut(now);
        return;
    }
    const auto gap = plan_.gap.value_or(milliseconds(0));
    const auto stall = std::max<Common::Duration>(StallFloor, gap * StallGaps);
    const bool stalled = call_ && started_ && plan_.resumable && now - lastEventAt_ > stall;
    if (stalled) {
        takeBack(now);
    }
}

void RelayedCall::finish(const char *outcome)
{
    if (over_) {
        return;
    }
    over_ = true;
    const auto now = steadyNow();
    EventLine line("request");
    line.add("request", plan_.head.requestId)
        .add("service", plan_.facts.service)
        .add("outcome", outcome)
        .add("endpoint", endpoint_)
        .add("instance_asked", peer_)
        .add("from_peer", plan_.fromPeer)
        .add("took", now - plan_.facts.arrivedAt);
    if (firstEventAfter_) {
        line.add("first_event", *firstEventAfter_).add("longest_pause", longestPause_);
    }
    if (limitPerSecond_) {
        line.add("limit_per_second", fmt::format("{:g}", *limitPerSecond_));
    }
    gateway_.log().write(line, now);
    if (call_) {
        call_->cancel();
        call_.reset();
    }
    gateway_.forget(plan_.facts.id);
}

} // namespace LaburnumChute::Relay
