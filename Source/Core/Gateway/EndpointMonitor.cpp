#include "Gateway/EndpointMonitor.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "Common/Json.h"

namespace LaburnumChute::Gateway {

namespace {

namespace D = LaburnumChute::Decisions;
using nlohmann::json;

/// Single reads fail occasionally. Three consecutive failures, one load interval apart, mean that
/// the endpoint is unreachable; the platform's list reports that much later.
constexpr int FailedReadsLimit = 3;
constexpr std::size_t ReportLimitBytes = 256 * 1024;

/// A number that an endpoint states; sums and products of such numbers must not overflow.
template <typename Number>
Number numberOf(const json &document, const char *member)
{
    constexpr double Highest = 1e9;
    const auto found = document.find(member);
    const double value = found != document.end() && found->is_number() ? found->get<double>() : 0.0;
    return static_cast<Number>(std::clamp(value, 0.0, Highest));
}

Common::Duration millisecondsOf(const json &document, const char *member)
{
    return std::chrono::duration_cast<Common::Duration>(
        std::chrono::duration<double, std::milli>(numberOf<double>(document, member)));
}

std::uint64_t eventNumberOf(const json &document, const char *member)
{
    const auto found = document.find(member);
    const bool valid = found != document.end() && found->is_number_unsigned();
    return valid ? found->get<std::uint64_t>() : 0;
}

D::LoadReport reportOf(const json &document)
{
    D::LoadReport report;
    report.running = numberOf<std::int64_t>(document, "running");
    report.waiting = numberOf<std::int64_t>(document, "waiting");
    report.batchLimit = numberOf<std::int64_t>(document, "batch_limit")
                        + numberOf<std::int64_t>(document, "workers");
    report.kvUsedTokens = numberOf<std::int64_t>(document, "kv_used_tokens");
    report.kvLimitTokens = numberOf<std::int64_t>(document, "kv_limit_tokens");
    report.stepTime = millisecondsOf(document, "step_ms");
    report.prefillTokensPerSecond = numberOf<double>(document, "prefill_tokens_per_second");
    report.age = millisecondsOf(document, "age_ms");
    return report;
}

struct CacheEvent
{
    D::CacheOperation operation = D::CacheOperation::Stored;
    std::uint64_t prefix = 0;
    std::int64_t tokens = 0;
};

std::optional<CacheEvent> cacheEventOf(const json &document)
{
    const auto prefix = document.is_object() ? document.value("prefix", json()) : json();
    if (!prefix.is_string()) {
        return std::nullopt;
    }
    CacheEvent event;
    const auto text = prefix.get<std::string>();
    const auto *end = text.data() + text.size();
    if (std::from_chars(text.data(), end, event.prefix, 16).ptr != end) {
        return std::nullopt;
    }
    event.tokens = numberOf<std::int64_t>(document, "tokens");
    event.operation = document.value("op", json()) == "evicted" ? D::CacheOperation::Evicted
                                                                : D::CacheOperation::Stored;
    return event;
}

} // namespace

EndpointMonitor::EndpointMonitor(asio::io_context &context, EndpointMonitorOptions options,
                                 Endpoints::ConnectionPoolOptions poolOptions,
                                 Async::ByteBudget &budget, Dispatcher &dispatcher)
    : context_(context)
    , options_(options)
    , pool_(std::make_shared<Endpoints::ConnectionPool>(poolOptions, context.get_executor()))
    , budget_(budget)
    , dispatcher_(dispatcher)
{
}

void EndpointMonitor::watch(std::vector<Readers::ListedEndpoint> endpoints)
{
    asio::post(context_, [this, endpoints = std::move(endpoints)] {
        std::map<Common::EndpointId, std::shared_ptr<WatchedEndpoint>> next;
        for (const auto &endpoint : endpoints) {
            const auto known = watched_.find(endpoint.id);
            const bool same =
                known != watched_.end() && known->second->endpoint.http == endpoint.http;
            next[endpoint.id] =
                same ? known->second
                     : std::make_shared<WatchedEndpoint>(WatchedEndpoint{endpoint, 0, false});
            if (!same) {
                asio::co_spawn(context_, poll(next[endpoint.id]), asio::detached);
            }
        }
        for (const auto &entry : watched_) {
            const auto kept = next.find(entry.first);
            entry.second->stopped = kept == next.end() || kept->second != entry.second;
        }
        watched_ = std::move(next);
    });
}

asio::awaitable<void> EndpointMonitor::poll(std::shared_ptr<WatchedEndpoint> watched)
{
    auto nextCacheEvents = std::chrono::steady_clock::now();
    while (!watched->stopped) {
        co_await readLoad(watched);
        const bool engine = watched->endpoint.kind == Readers::EndpointKind::Engine;
        if (engine && std::chrono::steady_clock::now() >= nextCacheEvents) {
            nextCacheEvents = std::chrono::steady_clock::now() + options_.cacheEventInterval;
            co_await readCacheEvents(watched);
        }
        co_await Async::sleepFor(options_.loadInterval);
    }
}

asio::awaitable<Common::Result<std::string>> EndpointMonitor::get(const WatchedEndpoint &watched,
                                                                  std::string target)
{
    Endpoints::EndpointRequest request;
    request.endpoint = watched.endpoint.id;
    request.address = watched.endpoint.http;
    request.request = Common::RequestId("load-report");
    request.method = "GET";
    request.target = std::move(target);
    request.answersStateId = false;
    Endpoints::EndpointStreamOptions streamOptions;
    streamOptions.serviceTimeout = options_.timeout;
    Endpoints::EndpointStream stream(std::move(request), pool_, streamOptions, budget_);
    // The time limits of the stream are limits of its silence.
    const Async::TimeLimit limit(pool_->executor(), options_.timeout,
                                 [&stream] { stream.abort(); });
    const auto head = co_await stream.open();
    if (!head) {
        co_return Common::makeError(head.error().code, head.error().message);
    }
    std::string body;
    while (body.size() <= ReportLimitBytes) {
        auto piece = co_await stream.next();
        if (!piece) {
            co_return Common::makeError(piece.error().code, piece.error().message);
        }
        body += piece->bytes;
        if (piece->last) {
            co_return body;
        }
    }
    co_return Common::makeError(Common::ErrorCode::TooLarge, "the response is too large");
}

asio::awaitable<void> EndpointMonitor::readLoad(std::shared_ptr<WatchedEndpoint> watched)
{
    const bool engine = watched->endpoint.kind == Readers::EndpointKind::Engine;
    const auto body = co_await get(*watched, engine ? "/v1/load" : "/load");
    updateReachability(*watched, body.has_value());
    if (!body) {
        Common::log(Common::LogType::Endpoints, Common::LogLevel::Debug,
                    "cannot read the load report: {}", body.error().message);
        co_return;
    }
    const auto document = Common::parseJson(*body);
    if (!document.is_object()) {
        co_return;
    }
    dispatcher_.command([id = watched->endpoint.id,
                         report = reportOf(document)](D::Scheduler &scheduler, Common::Time now) {
        return scheduler.reportLoad(id, report, now);
    });
}

void EndpointMonitor::updateReachability(WatchedEndpoint &watched, bool answered)
{
    watched.failedReads = answered ? 0 : watched.failedReads + 1;
    const bool reachable = watched.failedReads < FailedReadsLimit;
    if (reachable == watched.reachable) {
        return;
    }
    watched.reachable = reachable;
    Common::log(Common::LogType::Endpoints, Common::LogLevel::Warning, "{} {}", watched.endpoint.id,
                reachable ? "is reachable again" : "is unreachable");
    dispatcher_.command(
        [id = watched.endpoint.id, reachable](D::Scheduler &scheduler, Common::Time now) {
            return scheduler.reachability(id, reachable, now);
        });
}

asio::awaitable<void> EndpointMonitor::readCacheEvents(std::shared_ptr<WatchedEndpoint> watched)
{
    const auto body =
        co_await get(*watched, fmt::format("/v1/cache-events?after={}", watched->lastCacheEvent));
    const auto document = body ? Common::parseJson(*body) : json();
    if (!document.is_object() || !document.contains("events") || !document["events"].is_array()) {
        co_return;
    }
    std::vector<CacheEvent> events;
    for (const auto &entry : document["events"]) {
        if (const auto event = cacheEventOf(entry)) {
            events.push_back(*event);
        }
    }
    watched->lastCacheEvent = eventNumberOf(document, "latest");
    dispatcher_.command([id = watched->endpoint.id,
                         events = std::move(events)](D::Scheduler &scheduler, Common::Time now) {
        D::Effects effects;
        for (const auto &event : events) {
            auto more = scheduler.cacheEvent(id, event.operation, event.prefix, event.tokens, now);
            effects.insert(effects.end(), more.begin(), more.end());
        }
        return effects;
    });
}

} // namespace LaburnumChute::Gateway
