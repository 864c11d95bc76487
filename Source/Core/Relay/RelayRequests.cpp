#include "Relay/RelayGateway.h"

#include <algorithm>

#include "Relay/HttpText.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

using Common::milliseconds;

/// A new process, or one that lacks the current configuration, gets it from a peer or the store
/// within half a second.
constexpr milliseconds UnknownConfigurationRetryAfter{500};
/// Bodies are kept in memory until their request ends, about a second.
constexpr milliseconds MemoryRetryAfter{1000};
/// Callers already have the address of another instance.
constexpr milliseconds StoppingRetryAfter{50};

std::optional<double> statedTokens(const Dialect::CallerMetadata &head)
{
    if (!head.statesTokens) {
        return std::nullopt;
    }
    return static_cast<double>(head.promptTokens) + static_cast<double>(head.maxOutputTokens);
}

/// Whether a request crashes endpoints depends on its content and not on the address from which it
/// comes: the repeats of one caller may pass through several addresses.
std::uint64_t fingerprintOf(const InboundRequest &request, const Common::CustomerName &customer)
{
    const auto head = fmt::format("{}\n{} {}", customer.text(), request.method, request.target);
    return Common::stableHash(*request.body, Common::stableHash(head));
}

/// Repeats may differ in their query, for example in a number of the attempt.
std::uint64_t contentFingerprintOf(const InboundRequest &request,
                                   const Common::CustomerName &customer)
{
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const auto head = fmt::format("{}\n{}", customer.text(), path);
    return Common::stableHash(*request.body, Common::stableHash(head));
}

/// Removes API keys, and headers by which a caller could pass for another instance.
Common::Headers callerHeadersToPassOn(const Common::Headers &headers)
{
    auto result = endToEndHeaders(headers);
    Platform::removeApiKeys(result);
    std::erase_if(result, [](const Common::Header &header) {
        return Common::sameHeaderName(header.name, ForwardHeader);
    });
    return result;
}

} // namespace

// Requests.

void RelayGateway::rejectRequest(const Connection &connection, unsigned status,
                                 const std::string &requestId, const std::string &detail,
                                 std::optional<milliseconds> retryAfter)
{
    const auto now = steadyNow();
    EventLine line("refused");
    line.add("request", requestId)
        .add("status", static_cast<std::int64_t>(status))
        .add("reason", detail)
        .add("configuration", static_cast<std::int64_t>(catalog_.version()))
        .add("store_answer_age", store_.answerAge(now));
    log_.write(line, now);
    auto headers = Platform::ownAnswerHeaders(requestId, retryAfter);
    headers.push_back({"Content-Type", "text/plain"});
    connection->respond(status, std::move(headers), detail);
}

/// A refusal that is final for the caller must be true. The route or the key may have been added
/// since an instance that is partitioned off received its configuration.
void RelayGateway::refuseAccess(const Connection &connection, const std::string &requestId,
                                const AccessRefusal &refusal, Common::Time now)
{
    if (refusal.mayChange && !isConfigurationCurrent(now)) {
        rejectRequest(connection, ServiceUnavailable, requestId,
                      "the configuration may be outdated", UnknownConfigurationRetryAfter);
        return;
    }
    rejectRequest(connection, refusal.status, requestId, std::string(refusal.reason),
                  refusal.retryAfter);
}

bool RelayGateway::exceedsBodyMemory(const InboundRequest &request) const
{
    return !memory_.admits(MemoryUse::Requests, request.body->size());
}

void RelayGateway::holdReceived(const Connection &connection, std::size_t bytes)
{
    const auto holder = reinterpret_cast<HeldMemory::Holder>(connection.get());
    memory_.set(MemoryUse::Receiving, holder, bytes);
    if (bytes == 0) {
        receiving_.erase(holder);
        return;
    }
    receiving_[holder] = connection;
    releaseExcess();
}

void RelayGateway::releaseExcess()
{
    while (const auto excess = memory_.excess()) {
        memory_.set(excess->use, excess->holder, 0);
        if (excess->use == MemoryUse::Answers) {
            const auto found = calls_.find(excess->holder);
            if (const auto call = found == calls_.end() ? nullptr : found->second) {
                relayMetrics_.answersGivenUp.add();
                call->releaseAnswer();
            }
            continue;
        }
        const auto found = receiving_.find(excess->holder);
        if (const auto connection = found == receiving_.end() ? nullptr : found->second.lock()) {
            relayMetrics_.requestsGivenUp.add();
            connection->rejectIncomplete();
        }
    }
}

Catalog::CallerLimits RelayGateway::callerLimits() const
{
    const auto routes = catalog_.routes();
    return routes ? routes->configuration().limits : Catalog::CallerLimits();
}

/// The sender has applied the limits of the configuration, which may be a later one than that known
/// here.
Catalog::CallerLimits RelayGateway::peerLimits() const
{
    // The note of the sender comes in a header of its own.
    constexpr std::uint32_t ForwardHeaderBytes = 16 * 1024;
    constexpr std::uint32_t MinHeaderBytes = 64 * 1024;
    auto limits = callerLimits();
    limits.headerBytes = std::max(limits.headerBytes + ForwardHeaderBytes, MinHeaderBytes);
    limits.bodyBytes =
        std::max<std::uint64_t>(limits.bodyBytes, memory_.limit(MemoryUse::Receiving));
    return limits;
}

Catalog::CallerLimits RelayGateway::controlLimits()
{
    constexpr std::uint64_t BodyBytes = 1024;
    Catalog::CallerLimits limits;
    limits.bodyBytes = BodyBytes;
    return limits;
}

void RelayGateway::waitForConfiguration(const Connection &connection, InboundRequest request,
                                        const std::string &requestId, Common::Time receivedAt)
{
    EarlyRequest early{connection, std::move(request), receivedAt};
    if (!startupQueue_.add(early)) {
        rejectRequest(connection, ServiceUnavailable, requestId, "no configuration is known yet",
                      UnknownConfigurationRetryAfter);
    }
}

void RelayGateway::serveEarlyRequests()
{
    for (auto &early : startupQueue_.takeAll()) {
        serveCaller(early.connection, std::move(early.request), early.receivedAt);
    }
}

void RelayGateway::rejectExpiredEarlyRequests(Common::Time now)
{
    for (const auto &early : startupQueue_.takeExpired(now)) {
        const auto head = Platform::readCallerHead(early.request.headers);
        rejectRequest(early.connection, ServiceUnavailable, head ? head->requestId : "",
                      "no configuration is known yet", UnknownConfigurationRetryAfter);
    }
}

void RelayGateway::serveCaller(const Connection &connection, InboundRequest request,
                               Common::Time receivedAt)
{
    const auto now = steadyNow();
    auto head = Platform::readCallerHead(request.headers);
    if (!head) {
        rejectRequest(connection, BadRequest, "", head.error().message, std::nullopt);
        return;
    }
    if (rejectsRequests(now)) {
        rejectRequest(connection, ServiceUnavailable, head->requestId, "this instance stops",
                      StoppingRetryAfter);
        return;
    }
    const auto routes = catalog_.routes();
    if (!routes) {
        waitForConfiguration(connection, std::move(request), head->requestId, receivedAt);
        return;
    }
    const auto access =
        decideAccess(*routes, {Common::findHeader(request.headers, "Host"), request.target,
                               Platform::readApiKeys(request.headers)});
    if (!access) {
        refuseAccess(connection, head->requestId, access.error(), now);
        return;
    }
    if (access->customer != nullptr && keysOutdated(now)) {
        rejectRequest(connection, ServiceUnavailable, head->requestId,
                      "API keys cannot be verified", UnknownConfigurationRetryAfter);
        return;
    }
    if (exceedsBodyMemory(request)) {
        rejectRequest(connection, ServiceUnavailable, head->requestId,
                      "too many requests in memory", MemoryRetryAfter);
        return;
    }
    relayMetrics_.requests.add();
    RelayPlan plan;
    if (access->customer != nullptr) {
        plan.customer = access->customer->name;
        plan.usage = Customers::usageOf(*access->customer, statedTokens(*head));
        if (!admitUsage(connection, head->requestId, *access->customer, plan.usage, now)) {
            return;
        }
    }
    const auto *route = access->route;
    auto &facts = plan.facts;
    facts.service = Catalog::serviceFor(*route, head->requestId);
    facts.kind = route->kind;
    facts.repeatable = route->repeatable();
    facts.priority = access->priority;
    facts.arrivedAt = receivedAt;
    facts.objectiveAt = receivedAt + route->objective;
    const auto callerTimeout = head->deadline.value_or(route->timeout);
    facts.deadline = receivedAt + std::min(callerTimeout, route->timeout);
    facts.patience = Platform::callerPatience(route->objective, route->gap);
    facts.parts = head->promptParts;
    facts.promptTokens = head->promptTokens;
    facts.outputTokens = head->expectedOutputTokens.value_or(head->maxOutputTokens);
    facts.allowedRegions = access->regions;
    facts.maxRuns = std::max(1, route->attempts);
    facts.fingerprint = fingerprintOf(request, plan.customer);
    facts.contentFingerprint = contentFingerprintOf(request, plan.customer);
    plan.head = std::move(*head);
    plan.headers = callerHeadersToPassOn(request.headers);
    plan.method = std::move(request.method);
    plan.target = std::move(request.target);
    plan.body = std::move(request.body);
    plan.resumable = route->resumable;
    plan.gap = route->gap;
    beginCall(std::move(plan), connection);
}

Common::Result<RelayPlan> RelayGateway::parseForwarded(const InboundRequest &request,
                                                       const std::string &metadataText,
                                                       Common::Time now) const
{
    const auto metadata = decodeForwardMetadata(metadataText);
    if (!metadata) {
        return tl::unexpected(metadata.error());
    }
    if (metadata->receiver != roster_.self().incarnation) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 "the request is not from an instance that knows this process");
    }
    auto head = Platform::readCallerHead(request.headers);
    if (!head) {
        return tl::unexpected(head.error());
    }
    RelayPlan plan;
    auto &facts = plan.facts;
    facts.service = Common::ServiceName(metadata->service);
    facts.kind = static_cast<Dispatch::RequestKind>(metadata->kind);
    facts.repeatable = facts.kind == Dispatch::RequestKind::Idempotent
                       || (facts.kind == Dispatch::RequestKind::Stream && metadata->resumable);
    facts.priority = metadata->priority;
    facts.objectiveAt = now + milliseconds(metadata->objectiveLeftMs);
    facts.arrivedAt = facts.objectiveAt - milliseconds(metadata->objectiveMs);
    facts.deadline = now + milliseconds(metadata->deadlineLeftMs);
    facts.parts = head->promptParts;
    facts.promptTokens = head->promptTokens;
    facts.outputTokens = head->expectedOutputTokens.value_or(head->maxOutputTokens);
    facts.forwarded = true;
    facts.handedOver = metadata->handedOver;
    facts.maxRuns = metadata->attempts;
    facts.fingerprint = metadata->fingerprint;
    facts.contentFingerprint = metadata->contentFingerprint;
    plan.customer = Common::CustomerName(metadata->customer);
    plan.head = std::move(*head);
    plan.resumable = metadata->resumable;
    if (metadata->gapMs > 0) {
        plan.gap = milliseconds(metadata->gapMs);
    }
    facts.patience = Platform::callerPatience(milliseconds(metadata->objectiveMs), plan.gap);
    plan.fromPeer = true;
    return plan;
}

/// The sender tries another instance.
void RelayGateway::rejectForwarded(const Connection &connection, const InboundRequest &request,
                                   const std::string &reason, Common::Time now)
{
    const auto head = Platform::readCallerHead(request.headers);
    const auto requestId = head ? head->requestId : std::string();
    EventLine line("forward-refused");
    line.add("request", requestId).add("reason", reason);
    log_.write(line, now);
    auto headers = Platform::ownAnswerHeaders(requestId, std::nullopt);
    headers.push_back({RunStateHeader, RunStateNotRun});
    connection->respond(ServiceUnavailable, std::move(headers), reason);
}

void RelayGateway::servePeer(const Connection &connection, InboundRequest request)
{
    const auto now = steadyNow();
    if (const auto target = parsePeerTarget(request.target)) {
        servePeerQuery(connection, *target);
        return;
    }
    const auto *metadata = Common::findHeader(request.headers, ForwardHeader);
    if (metadata == nullptr) {
        rejectRequest(connection, BadRequest, "", "not a forwarded request", std::nullopt);
        return;
    }
    if (rejectsRequests(now)) {
        rejectForwarded(connection, request, "this instance stops", now);
        return;
    }
    if (exceedsBodyMemory(request)) {
        rejectForwarded(connection, request, "too many requests in memory", now);
        return;
    }
    auto plan = parseForwarded(request, *metadata, now);
    if (!plan) {
        rejectForwarded(connection, request, plan.error().message, now);
        return;
    }
    relayMetrics_.forwardedIn.add();
    auto headers = endToEndHeaders(request.headers);
    std::erase_if(headers, [](const Common::Header &header) {
        return Common::sameHeaderName(header.name, ForwardHeader);
    });
    plan->headers = std::move(headers);
    plan->method = std::move(request.method);
    plan->target = std::move(request.target);
    plan->body = std::move(request.body);
    beginCall(std::move(*plan), connection);
}

void RelayGateway::beginCall(RelayPlan plan, const Connection &connection)
{
    plan.facts.id = nextCallId_++;
    connection->setRequestId(plan.head.requestId);
    const auto call = std::make_shared<RelayedCall>(*this, std::move(plan), connection);
    memory_.set(MemoryUse::Requests, call->plan().facts.id, call->plan().body->size());
    calls_[call->plan().facts.id] = call;
    call->start(steadyNow());
}

std::optional<OutboundRequest> RelayGateway::healthCall(const Common::ServiceName &service,
                                                        const Common::EndpointId &endpoint,
                                                        const std::string &address) const
{
    const auto routes = catalog_.routes();
    if (!routes || endpoint.empty()) {
        return std::nullopt;
    }
    const auto &services = routes->configuration().services;
    const auto found = services.find(service);
    if (found == services.end() || found->second.healthPath.empty()) {
        return std::nullopt;
    }
    constexpr std::uint64_t MaxHealthAnswerBytes = 64 * 1024;
    OutboundRequest call;
    call.address = address;
    call.maxBodyBytes = MaxHealthAnswerBytes;
    call.head = requestHead("GET", found->second.healthPath,
                            Platform::healthCallHeaders(endpoint, address));
    call.body = std::make_shared<const std::string>();
    return call;
}

void RelayGateway::removeCall(Dispatch::CallId call)
{
    calls_.erase(call);
    memory_.set(MemoryUse::Requests, call, 0);
    memory_.set(MemoryUse::Answers, call, 0);
}

void RelayGateway::holdAnswer(Dispatch::CallId call, std::size_t bytes)
{
    memory_.set(MemoryUse::Answers, call, bytes);
    releaseExcess();
}

void RelayGateway::applyEffects(const Dispatch::Effects &effects, Common::Time now)
{
    const auto callOf = [this](Dispatch::CallId id) {
        const auto found = calls_.find(id);
        return found == calls_.end() ? nullptr : found->second;
    };
    struct Visitor
    {
        std::shared_ptr<RelayedCall> call;
        Common::Time now;

        void operator()(const Dispatch::Send &effect) const
        {
            call->send(effect, now);
        }
        void operator()(const Dispatch::Forward &effect) const
        {
            call->forward(effect, now);
        }
        void operator()(const Dispatch::Reject &effect) const
        {
            call->reject(effect, now);
        }
        void operator()(const Dispatch::Fail &) const
        {
            call->fail(now);
        }
        void operator()(const Dispatch::CancelAttempt &) const
        {
            call->abandonSilentAttempt(now);
        }
    };
    countTransfers();
    logRetryDecisions(now);
    for (const auto &effect : effects) {
        const auto id = std::visit([](const auto &each) { return each.call; }, effect);
        if (auto call = callOf(id)) {
            std::visit(Visitor{std::move(call), now}, effect);
        }
    }
    logCrashEvents(now);
    logSilenceChanges(now);
    // Sent immediately, since peers consider an engine that was just sent a long prompt to be the
    // least busy one until they receive the notice.
    sendPromptNotices();
}

} // namespace LaburnumChute::Relay
