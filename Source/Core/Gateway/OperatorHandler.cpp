#include "Gateway/OperatorHandler.h"

#include <charconv>

#include "Async/Async.h"

namespace LaburnumChute::Gateway {

namespace {

using nlohmann::json;

constexpr std::string_view TracePrefix = "/trace/";
constexpr std::string_view LogLevelPrefix = "/log-level/";
constexpr std::string_view PatchPath = "/configuration/patch";
constexpr std::string_view BaseQuery = "base=";

// gcc 12 cannot compile nested initializer lists in coroutines, so these functions build the
// documents.

json singleMember(const char *name, json value)
{
    json document = json::object();
    document[name] = std::move(value);
    return document;
}

json patchedDocument(Common::ConfigurationNumber follows, const std::string &content,
                     const Configuration::Problems &warnings)
{
    return {{"follows", follows},
            {"content", json::parse(content, nullptr, false)},
            {"warnings", Configuration::toString(warnings)}};
}

json traceDocument(const std::string &request, const std::vector<std::string> &decisions)
{
    return {{"request", request}, {"decisions", decisions}};
}

json logLevelDocument(Common::LogType part, Common::LogLevel level)
{
    return {{"part", Common::toString(part)}, {"level", Common::toString(level)}};
}

Common::Headers typeHeader(const char *contentType)
{
    return {{"Content-Type", contentType}};
}

asio::awaitable<void> sendJson(Entry::Exchange &exchange, unsigned status, json document)
{
    auto headers = typeHeader("application/json");
    co_await exchange.sendResponse(status, std::move(headers),
                                   document.dump(2, ' ', false, json::error_handler_t::replace)
                                       + "\n");
}

asio::awaitable<void> sendError(Entry::Exchange &exchange, Common::ErrorCode code,
                                std::string detail, json extra = json::object())
{
    auto problem = Entry::problemOf({code, std::move(detail)}, Common::RunState::NotRun);
    problem.extra = std::move(extra);
    co_await exchange.sendProblem(std::move(problem));
}

std::optional<Common::ConfigurationNumber> baseNumber(std::string_view target)
{
    const auto start = target.find(BaseQuery);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    const auto text = target.substr(start + BaseQuery.size());
    Common::ConfigurationNumber number = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

OperatorHandler::OperatorHandler(asio::io_context &control, Dispatcher &dispatcher,
                                 const RoutingTableCell &table,
                                 const Common::MetricsRegistry &metrics, Actions actions)
    : control_(control)
    , dispatcher_(dispatcher)
    , table_(table)
    , metrics_(metrics)
    , actions_(std::move(actions))
{
}

asio::awaitable<void> OperatorHandler::serve(Entry::Exchange &exchange)
{
    const auto &request = exchange.request();
    const auto path = request.target.substr(0, request.target.find('?'));
    if (request.method == "GET") {
        co_await serveGet(exchange, path);
    } else if (request.method == "POST" && path == "/drain") {
        actions_.drain();
        co_await sendJson(exchange, 202, singleMember("draining", true));
    } else if (request.method == "POST" && path == PatchPath) {
        co_await patch(exchange);
    } else if (request.method == "PUT" && path.rfind(LogLevelPrefix, 0) == 0) {
        co_await setLogLevel(exchange, path.substr(LogLevelPrefix.size()));
    } else {
        co_await sendError(exchange, Common::ErrorCode::NotFound,
                           "there is nothing for " + request.method + " " + path);
    }
}

asio::awaitable<void> OperatorHandler::serveGet(Entry::Exchange &exchange, std::string path)
{
    if (path == "/dump") {
        auto state = co_await Async::runOn(control_, actions_.dump);
        co_await sendJson(exchange, 200, std::move(state));
    } else if (path == "/metrics") {
        auto headers = typeHeader("text/plain; version=0.0.4");
        co_await exchange.sendResponse(200, std::move(headers), metrics_.prometheusText());
    } else if (path == "/health") {
        const bool ready =
            table_.read([](const RoutingTable &table) { return table.configuration != nullptr; });
        co_await sendJson(exchange, ready ? 200 : 503, singleMember("ready", ready));
    } else if (path == "/configuration") {
        auto content = co_await Async::runOn(control_, actions_.configurationContent);
        auto headers = typeHeader("application/json");
        co_await exchange.sendResponse(200, std::move(headers), std::move(content));
    } else if (path.rfind(TracePrefix, 0) == 0) {
        co_await trace(exchange, path.substr(TracePrefix.size()));
    } else {
        co_await sendError(exchange, Common::ErrorCode::NotFound, "there is nothing at " + path);
    }
}

asio::awaitable<void> OperatorHandler::patch(Entry::Exchange &exchange)
{
    const auto base = baseNumber(exchange.request().target);
    if (!base) {
        co_await sendError(exchange, Common::ErrorCode::InvalidArgument,
                           "base: expected the number of the version that the patch is made for");
        co_return;
    }
    const auto table = table_.share();
    // A separate variable: gcc 12 destroys an aggregate twice if a co_await is part of its
    // initialization, which crashed the process on every patch.
    const std::string content = co_await Async::runOn(control_, actions_.configurationContent);
    if (*base != table->configurationNumber) {
        co_await sendError(exchange, Common::ErrorCode::Conflict,
                           fmt::format("the patch is based on version {}, version {} is in force",
                                       *base, table->configurationNumber),
                           singleMember("current_number", table->configurationNumber));
        co_return;
    }
    const auto patched = Configuration::applyPatch(content, exchange.request().body);
    if (!patched) {
        co_await sendError(exchange, patched.error().code, patched.error().message);
        co_return;
    }
    auto report = Configuration::check(*patched);
    if (report.configuration && table->configuration) {
        report.problems = Configuration::checkChange(*table->configuration, *report.configuration);
    }
    if (!report.problems.empty()) {
        co_await sendError(exchange, Common::ErrorCode::InvalidArgument,
                           Configuration::toString(report.problems));
        co_return;
    }
    co_await sendJson(exchange, 200,
                      patchedDocument(table->configurationNumber, *patched, report.warnings));
}

asio::awaitable<void> OperatorHandler::trace(Entry::Exchange &exchange, std::string request)
{
    // Named variables: gcc 12 destroys the captures of a closure twice if the closure is a
    // temporary in a co_await expression.
    const Common::RequestId id(request);
    const auto explain = [this, id] { return dispatcher_.explain(id); };
    const auto lines = co_await Async::runOn(control_, explain);
    if (lines.empty()) {
        co_await sendError(exchange, Common::ErrorCode::NotFound,
                           "no decisions on request " + request + " are remembered");
        co_return;
    }
    co_await sendJson(exchange, 200, traceDocument(request, lines));
}

asio::awaitable<void> OperatorHandler::setLogLevel(Entry::Exchange &exchange, std::string path)
{
    const auto slash = std::min(path.find('/'), path.size());
    const auto part = Common::parseLogType(path.substr(0, slash));
    const auto level =
        Common::parseLogLevel(slash < path.size() ? path.substr(slash + 1) : std::string());
    if (!part || !level) {
        co_await sendError(exchange, Common::ErrorCode::InvalidArgument,
                           (!part ? part.error() : level.error()).message);
        co_return;
    }
    Common::setLogLevel(*part, *level);
    co_await sendJson(exchange, 200, logLevelDocument(*part, *level));
}

} // namespace LaburnumChute::Gateway
