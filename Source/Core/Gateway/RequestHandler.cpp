#include "Gateway/RequestHandler.h"

#include <nlohmann/json.hpp>

namespace LaburnumChute::Gateway {

namespace {

using nlohmann::json;
namespace L = LaburnumChute::Ledger;

constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ModelsPath = "/v1/models";
constexpr std::string_view EntriesPath = "/v1/entries";
constexpr std::string_view KeysPath = "/v1/idempotency-keys";
constexpr std::string_view ServicesPrefix = "/services/";

/// Instances of other regions can serve the caller too, but over a slow link and with cold caches.
/// They are listed as a fallback for the loss of all instances of the home region; the low weight
/// keeps nearly all callers away from them in normal operation.
constexpr double HomeRegionWeight = 1.0;
constexpr double OtherRegionWeight = 0.01;

std::string_view pathOf(const std::string &target)
{
    return std::string_view(target).substr(0, target.find('?'));
}

Entry::Problem notFound(const std::string &target)
{
    Entry::Problem problem;
    problem.status = 404;
    problem.code = Common::ErrorCode::NotFound;
    problem.detail = "there is nothing at " + target;
    return problem;
}

Entry::Problem wrongMethod(std::string_view expected)
{
    Entry::Problem problem;
    problem.status = 405;
    problem.code = Common::ErrorCode::InvalidArgument;
    problem.detail = "the method is not allowed here; expected " + std::string(expected);
    return problem;
}

asio::awaitable<void> sendJson(Entry::Exchange &exchange, unsigned status, const json &document)
{
    Common::Headers headers = {{"Content-Type", "application/json"}};
    co_await exchange.sendResponse(status, std::move(headers), document.dump());
}

// gcc 12 cannot compile nested initializer lists in coroutines, so these functions build the
// documents.

json modelList(const RoutingTable &table)
{
    json data = json::array();
    if (table.configuration) {
        for (const auto &entry : table.configuration->tables().models) {
            data.push_back({{"id", entry.first.text()},
                            {"object", "model"},
                            {"created", 0},
                            {"owned_by", "laburnumchute"}});
        }
    }
    return {{"object", "list"}, {"data", data}};
}

json entryAdvice(const RoutingTable &table, const Common::RegionName &home,
                 Common::milliseconds lifetime)
{
    json entries = json::array();
    for (const auto &entry : table.peers) {
        const auto &peer = entry.second;
        if (!peer.usable || peer.httpAddress.empty()) {
            continue;
        }
        entries.push_back({{"id", peer.id.text()},
                           {"region", peer.region.text()},
                           {"address", peer.httpAddress},
                           {"weight", peer.region == home ? HomeRegionWeight : OtherRegionWeight}});
    }
    return {{"lifetime_ms", lifetime.count()}, {"entries", entries}};
}

json mintedDocument(const MintedKey &minted, const Common::InstanceId &self)
{
    const auto lifetime = std::chrono::duration_cast<Common::milliseconds>(minted.lifetime);
    return {
        {"key", minted.key->text()}, {"entry", self.text()}, {"expires_in_ms", lifetime.count()}};
}

json keyDocument(const std::string &key, std::string_view state)
{
    return {{"key", key}, {"state", state}};
}

json remoteKeyDocument(const std::string &text, const L::IdempotencyKey &key,
                       const RoutingTable &table)
{
    auto document = keyDocument(text, "unknown");
    document["owner"] = key.owner.text();
    const auto *owner = table.peer(key.owner);
    if (owner != nullptr && owner->usable && owner->incarnation <= key.incarnation) {
        document["entry"] = owner->httpAddress;
    }
    return document;
}

/// The value of the query parameter "region".
std::optional<Common::RegionName> regionQuery(const std::string &target)
{
    constexpr std::string_view Name = "?region=";
    const auto start = target.find(Name);
    if (start == std::string::npos) {
        return std::nullopt;
    }
    return Common::RegionName(target.substr(start + Name.size()));
}

bool isForwardingLoop(const Peers::ForwardedRequest &forwarded, const Common::InstanceId &self)
{
    const auto &visited = forwarded.visited;
    return visited.size() != 1 || visited.front() == self;
}

} // namespace

RequestHandler::RequestHandler(const RunnerContext &context,
                               ConnectionPoolGetter threadConnectionPool,
                               Common::milliseconds adviceLifetime)
    : context_(context)
    , threadConnectionPool_(std::move(threadConnectionPool))
    , adviceLifetime_(adviceLifetime)
    , planner_(context.home)
{
}

asio::awaitable<void> RequestHandler::serve(Entry::Exchange &exchange)
{
    const auto &request = exchange.request();
    const auto path = pathOf(request.target);
    if (path == ChatPath || path == CompletionsPath) {
        if (request.method != "POST") {
            co_await exchange.sendProblem(wrongMethod("POST"));
            co_return;
        }
    } else if (path == ModelsPath) {
        co_return co_await serveModels(exchange);
    } else if (path == EntriesPath) {
        co_return co_await serveEntries(exchange);
    } else if (path.substr(0, KeysPath.size()) == KeysPath) {
        co_return co_await serveKeys(exchange);
    } else if (path.substr(0, ServicesPrefix.size()) != ServicesPrefix) {
        co_await exchange.sendProblem(notFound(request.target));
        co_return;
    }
    IncomingRequest incoming;
    incoming.id = exchange.id();
    incoming.method = request.method;
    incoming.target = request.target;
    incoming.headers = request.headers;
    incoming.body = request.body;
    co_await serveCall(std::move(incoming), Responder(exchange), threadConnectionPool_());
}

asio::awaitable<void>
RequestHandler::serveForwarded(std::shared_ptr<Peers::IncomingCall> call,
                               std::shared_ptr<Endpoints::ConnectionPool> pool)
{
    const auto &forwarded = std::get<Peers::ForwardedRequest>(call->request());
    Responder responder(call);
    if (isForwardingLoop(forwarded, context_.self)) {
        // Instances can have different views of the cluster, so a request forwarded more than once
        // could return to an earlier instance and circulate until its deadline.
        Entry::Problem problem;
        problem.status = 508;
        problem.code = Common::ErrorCode::ProtocolViolation;
        problem.detail = "the request has been forwarded before";
        co_await responder.sendProblem(std::move(problem));
        co_return;
    }
    IncomingRequest incoming;
    incoming.id = forwarded.request;
    incoming.method = forwarded.method;
    incoming.target = forwarded.target;
    incoming.headers = forwarded.headers;
    incoming.body = forwarded.body;
    incoming.forwarded = forwarded;
    co_await serveCall(std::move(incoming), std::move(responder), std::move(pool));
}

PlanResult RequestHandler::plan(const IncomingRequest &incoming, const RoutingTable &table) const
{
    const auto now = std::chrono::steady_clock::now();
    const auto path = pathOf(incoming.target);
    if (path.substr(0, ServicesPrefix.size()) == ServicesPrefix) {
        return planner_.planServiceCall(incoming, table, now);
    }
    const auto kind =
        path == ChatPath ? Entry::ModelCallKind::ChatCompletion : Entry::ModelCallKind::Completion;
    return planner_.planModelCall(kind, incoming, table, now);
}

asio::awaitable<void> RequestHandler::serveCall(IncomingRequest incoming, Responder responder,
                                                std::shared_ptr<Endpoints::ConnectionPool> pool)
{
    const auto table = context_.table.share();
    auto planned = plan(incoming, *table);
    if (!planned) {
        Common::logRequest(Common::LogType::Entry, Common::LogLevel::Info, incoming.id,
                           "refused: {}", planned.error().detail);
        co_await responder.sendProblem(planned.error());
        co_return;
    }
    const auto runner = std::make_shared<CallRunner>(context_, std::move(pool), std::move(incoming),
                                                     std::move(*planned), std::move(responder));
    co_await runner->run();
}

asio::awaitable<void> RequestHandler::serveModels(Entry::Exchange &exchange)
{
    const auto table = context_.table.share();
    co_await sendJson(exchange, 200, modelList(*table));
}

asio::awaitable<void> RequestHandler::serveEntries(Entry::Exchange &exchange)
{
    const auto table = context_.table.share();
    const auto region = regionQuery(exchange.request().target).value_or(context_.home);
    co_await sendJson(exchange, 200, entryAdvice(*table, region, adviceLifetime_));
}

asio::awaitable<void> RequestHandler::serveKeys(Entry::Exchange &exchange)
{
    const auto &request = exchange.request();
    const auto path = pathOf(request.target);
    if (path.size() > KeysPath.size() + 1) {
        if (request.method != "GET") {
            co_await exchange.sendProblem(wrongMethod("GET"));
            co_return;
        }
        co_await keyState(exchange, std::string(path.substr(KeysPath.size() + 1)));
        co_return;
    }
    if (request.method != "POST") {
        co_await exchange.sendProblem(wrongMethod("POST"));
        co_return;
    }
    co_await mintKey(exchange);
}

asio::awaitable<void> RequestHandler::mintKey(Entry::Exchange &exchange)
{
    const auto table = context_.table.share();
    const auto headers = Entry::parseCallerHeaders(exchange.request().headers);
    if (!headers || !table->configuration) {
        const auto error =
            headers ? Common::Error{Common::ErrorCode::Unavailable, "no configuration is known yet"}
                    : headers.error();
        co_await exchange.sendProblem(Entry::problemOf(error, Common::RunState::NotRun));
        co_return;
    }
    const auto customer = authenticate(*table->configuration, *headers);
    if (!customer) {
        auto problem = Entry::problemOf(customer.error(), Common::RunState::NotRun);
        problem.status = 401;
        co_await exchange.sendProblem(std::move(problem));
        co_return;
    }
    const auto minted = co_await context_.ledger.mint(*customer);
    if (!minted.key) {
        auto problem = Entry::problemOf(minted.key.error(), Common::RunState::NotRun);
        problem.retryAfter = Common::seconds(1);
        co_await exchange.sendProblem(std::move(problem));
        co_return;
    }
    co_await sendJson(exchange, 201, mintedDocument(minted, context_.self));
}

asio::awaitable<void> RequestHandler::keyState(Entry::Exchange &exchange, std::string keyText)
{
    const auto key = L::IdempotencyKey::parse(keyText);
    if (!key) {
        co_await exchange.sendProblem(Entry::problemOf(key.error(), Common::RunState::NotRun));
        co_return;
    }
    const auto state = co_await context_.ledger.state(*key);
    if (state != L::KeyState::Elsewhere) {
        co_await sendJson(exchange, 200, keyDocument(keyText, L::toString(state)));
        co_return;
    }
    const auto table = context_.table.share();
    co_await sendJson(exchange, 200, remoteKeyDocument(keyText, *key, *table));
}

} // namespace LaburnumChute::Gateway
