#include "Gateway/CallPlan.h"

#include <random>

namespace LaburnumChute::Gateway {

namespace {

namespace C = LaburnumChute::Configuration;

constexpr std::string_view ServicesPrefix = "/services/";
constexpr Common::seconds ShortDeadline{10};
constexpr Common::seconds LongDeadline{30};
/// Work charged for a service call, which has no token count.
constexpr std::int64_t ServiceWorkTokens = 1;

/// Makes a unique id for use inside the system and at the endpoints. Callers resend a request under
/// the same id; with that id alone, resuming or cancelling a stream could hit the stream of another
/// submission.
Common::RequestId makeInternalId(const Common::RequestId &callerId)
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return Common::RequestId(
        fmt::format("{}.{:08x}", callerId, static_cast<std::uint32_t>(generator())));
}

Entry::Problem makeProblem(unsigned status, Common::ErrorCode code, std::string detail)
{
    Entry::Problem problem;
    problem.status = status;
    problem.code = code;
    problem.detail = std::move(detail);
    return problem;
}

Decisions::Patience patienceOf(Common::Duration deadline)
{
    if (deadline <= ShortDeadline) {
        return Decisions::Patience::Short;
    }
    return deadline >= LongDeadline ? Decisions::Patience::Long : Decisions::Patience::Normal;
}

/// False for hop-by-hop headers and headers that are addressed to the gateway itself.
bool isForwardedHeader(const Common::Header &header)
{
    static constexpr std::array<std::string_view, 13> Dropped = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Transfer-Encoding",
                                                                 "Content-Length",
                                                                 "Host",
                                                                 "Expect",
                                                                 "Upgrade",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "X-Request-Id",
                                                                 "Idempotency-Key",
                                                                 "Authorization",
                                                                 "Proxy-Authorization"};
    return std::none_of(Dropped.begin(), Dropped.end(), [&](std::string_view name) {
        return Common::sameHeaderName(header.name, name);
    });
}

std::vector<Common::RegionName> allowedRegions(const C::Configuration &configuration,
                                               const C::ResidencyRule &routeRule,
                                               const C::ResidencyRule *requestRule,
                                               const Common::RegionName &callerHome)
{
    std::vector<Common::RegionName> allowed;
    for (const auto &entry : configuration.tables().regions) {
        const auto &region = entry.first;
        if (routeRule.allows(callerHome, region)
            && (requestRule == nullptr || requestRule->allows(callerHome, region))) {
            allowed.push_back(region);
        }
    }
    return allowed;
}

} // namespace

/// A partially built plan, with data that is needed only while it is built.
struct CallPlanner::Draft
{
    CallPlan plan;
    Entry::CallerHeaders headers;
    const C::Customer *customer = nullptr;
    const C::Configuration *configuration = nullptr;
};

Common::Result<Common::CustomerName> authenticate(const C::Configuration &configuration,
                                                  const Entry::CallerHeaders &headers)
{
    const auto *byToken =
        headers.bearerToken ? configuration.customerByToken(*headers.bearerToken) : nullptr;
    if (byToken != nullptr) {
        return byToken->name;
    }
    const auto *byName = headers.customer ? configuration.customer(*headers.customer) : nullptr;
    if (byName != nullptr && byName->bearerTokens.empty()) {
        return byName->name;
    }
    return Common::makeError(Common::ErrorCode::InvalidArgument,
                             "Authorization: no customer has this token");
}

tl::expected<CallPlanner::Draft, Entry::Problem>
CallPlanner::createDraft(const IncomingRequest &incoming, const RoutingTable &table) const
{
    if (!table.configuration) {
        auto problem = makeProblem(503, Common::ErrorCode::Unavailable,
                                   "no version of the configuration is known yet");
        problem.retryAfter = Common::seconds(1);
        return tl::unexpected(std::move(problem));
    }
    const auto headers = Entry::parseCallerHeaders(incoming.headers);
    if (!headers) {
        return tl::unexpected(Entry::problemOf(headers.error(), Common::RunState::NotRun));
    }
    Draft draft;
    draft.headers = *headers;
    draft.configuration = table.configuration.get();
    const auto customer = incoming.forwarded
                              ? Common::Result<Common::CustomerName>(incoming.forwarded->customer)
                              : authenticate(*table.configuration, draft.headers);
    if (!customer) {
        return tl::unexpected(
            makeProblem(401, Common::ErrorCode::InvalidArgument, customer.error().message));
    }
    draft.customer = table.configuration->customer(*customer);
    if (draft.customer == nullptr) {
        return tl::unexpected(makeProblem(401, Common::ErrorCode::InvalidArgument,
                                          "the configuration has no customer " + customer->text()));
    }
    draft.plan.customer = *customer;
    draft.plan.callerId = incoming.id;
    draft.plan.method = incoming.method;
    draft.plan.facts.id = makeInternalId(incoming.id);
    draft.plan.facts.customer = *customer;
    draft.plan.facts.supersedes = draft.headers.supersedes;
    draft.plan.facts.fingerprint =
        Common::stableHash(incoming.body, Common::stableHash(incoming.target));
    for (const auto &header : incoming.headers) {
        if (isForwardedHeader(header)) {
            draft.plan.headers.push_back(header);
        }
    }
    return draft;
}

tl::expected<void, Entry::Problem> CallPlanner::applyRoute(Draft &draft,
                                                           const IncomingRequest &incoming,
                                                           const C::Route &route, bool repeatable,
                                                           Common::Time now) const
{
    const auto &configuration = *draft.configuration;
    auto &plan = draft.plan;
    auto &facts = plan.facts;
    const auto requestedRule = draft.headers.residency
                                   ? std::optional(C::ResidencyRuleName(*draft.headers.residency))
                                   : draft.customer->defaultResidency;
    const auto *requestRule = requestedRule ? configuration.residencyRule(*requestedRule) : nullptr;
    if (requestedRule && requestRule == nullptr) {
        return tl::unexpected(makeProblem(400, Common::ErrorCode::InvalidArgument,
                                          "Laburnumchute-Residency: there is no rule \""
                                              + requestedRule->text() + "\""));
    }
    const auto entryRegion = incoming.forwarded ? incoming.forwarded->fromRegion : home_;
    const auto callerHome = draft.headers.homeRegion.value_or(entryRegion);
    if (configuration.region(callerHome) == nullptr) {
        return tl::unexpected(makeProblem(400, Common::ErrorCode::InvalidArgument,
                                          "Laburnumchute-Home-Region: there is no region \""
                                              + callerHome.text() + "\""));
    }
    facts.allowedRegions = allowedRegions(
        configuration, *configuration.residencyRule(route.residency), requestRule, callerHome);
    facts.forwardedFrom =
        incoming.forwarded ? incoming.forwarded->fromRegion : Common::RegionName();

    const auto priorityName =
        draft.headers.priority ? C::PriorityName(*draft.headers.priority) : route.priority;
    const auto *priority = configuration.priority(priorityName);
    if (priority == nullptr) {
        return tl::unexpected(makeProblem(400, Common::ErrorCode::InvalidArgument,
                                          "Laburnumchute-Priority: there is no priority \""
                                              + priorityName.text() + "\""));
    }
    const auto *highest = configuration.priority(draft.customer->highestPriority);
    facts.priority = std::max(priority->level, highest != nullptr ? highest->level : 0);

    auto wait = draft.headers.deadline ? Common::Duration(*draft.headers.deadline) : route.deadline;
    if (incoming.forwarded && incoming.forwarded->deadlineMs) {
        wait = Common::milliseconds(*incoming.forwarded->deadlineMs);
    }
    plan.deadline = now + wait;
    facts.deadline = plan.deadline;
    facts.patience = patienceOf(wait);

    facts.repeatable = repeatable && draft.headers.repeatable.value_or(true);
    if (!facts.repeatable) {
        const auto methodAndTarget = incoming.method + " " + incoming.target;
        const auto bodyFingerprint =
            Common::stableHash(incoming.body, Common::stableHash(methodAndTarget));
        const auto orderFingerprint = Common::stableHash(plan.customer.text(), bodyFingerprint);
        plan.atMostOnce = AtMostOncePlan{draft.headers.idempotencyKey.value_or(""), bodyFingerprint,
                                         orderFingerprint, draft.headers.allowDuplicate};
    }
    return {};
}

PlanResult CallPlanner::planModelCall(Entry::ModelCallKind kind, const IncomingRequest &incoming,
                                      const RoutingTable &table, Common::Time now) const
{
    auto draft = createDraft(incoming, table);
    if (!draft) {
        return tl::unexpected(draft.error());
    }
    const auto call = Entry::parseModelCall(kind, incoming.body);
    if (!call) {
        return tl::unexpected(Entry::problemOf(call.error(), Common::RunState::NotRun));
    }
    const auto path = incoming.target.substr(0, incoming.target.find('?'));
    const auto *route = draft->configuration->route(path, call->model);
    if (route == nullptr) {
        return tl::unexpected(makeProblem(404, Common::ErrorCode::NotFound,
                                          "/model: there is no route to the model \""
                                              + call->model.text() + "\" on this path"));
    }
    const auto applied = applyRoute(*draft, incoming, *route, route->repeatable, now);
    if (!applied) {
        return tl::unexpected(applied.error());
    }
    auto &plan = draft->plan;
    plan.model = kind;
    plan.stream = call->stream;
    plan.facts.continuable = plan.facts.repeatable;
    plan.target = path;
    plan.body = Entry::engineBody(incoming.body, plan.facts.priority);
    plan.facts.target = Decisions::Target::model(call->model, call->adapter);
    plan.facts.promptTokens = Entry::tokenCount(call->promptText);
    plan.facts.expectedOutputTokens = call->maxTokens;
    plan.facts.prefixBlocks = Entry::prefixHashes(call->promptText);
    return std::move(plan);
}

PlanResult CallPlanner::planServiceCall(const IncomingRequest &incoming, const RoutingTable &table,
                                        Common::Time now) const
{
    auto draft = createDraft(incoming, table);
    if (!draft) {
        return tl::unexpected(draft.error());
    }
    const auto rest = incoming.target.substr(ServicesPrefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const Common::ServiceName service(rest.substr(0, slash));
    const auto servicePath = slash == rest.size() ? std::string("/") : rest.substr(slash);
    const auto pathOnly = servicePath.substr(0, servicePath.find('?'));
    const auto *route = draft->configuration->route(service, pathOnly);
    if (route == nullptr) {
        return tl::unexpected(makeProblem(404, Common::ErrorCode::NotFound,
                                          "there is no route to this path of the service \""
                                              + service.text() + "\""));
    }
    const bool repeatable = draft->configuration->isRepeatable(*route, incoming.method, pathOnly);
    const auto applied = applyRoute(*draft, incoming, *route, repeatable, now);
    if (!applied) {
        return tl::unexpected(applied.error());
    }
    auto &plan = draft->plan;
    plan.target = servicePath;
    plan.body = incoming.body;
    plan.facts.target = Decisions::Target::service(service);
    plan.facts.expectedOutputTokens = ServiceWorkTokens;
    return std::move(plan);
}

} // namespace LaburnumChute::Gateway
