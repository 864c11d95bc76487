#include "LoadTool/Overhead.h"

#include <fstream>
#include <iostream>
#include <list>

#include <nlohmann/json.hpp>

#include "LoadTool/AnswerCheck.h"
#include "LoadTool/HttpClient.h"
#include "LoadTool/ProcessUse.h"
#include "LoadTool/Report.h"
#include "LoadTool/SseEvents.h"

namespace LaburnumChute::LoadTool {

namespace {

constexpr std::size_t ReadBlock = 16UL * 1024;

Common::Time now()
{
    return std::chrono::steady_clock::now();
}

struct OverheadPlan
{
    explicit OverheadPlan(const nlohmann::json &json)
        : straight(json.at("straight"))
        , gateway(json.at("gateway"))
        , model(json.at("model"))
        , token(json.value("token", ""))
        , gatewayPid(json.at("gateway_pid"))
        , requests(json.value("requests", 500))
        , answerTokens(json.value("answer_tokens", 32))
        , connections(json.value("connections", 64))
        , loadTime(json.value("load_seconds", 5))
        , streams(json.value("streams", 9900))
        , timePhases(json.value("time", true))
        , memoryPhases(json.value("memory", true))
    {
    }

    std::string straight;
    std::string gateway;
    std::string model;
    std::string token;
    int gatewayPid;
    std::size_t requests;
    std::size_t answerTokens;
    std::size_t connections;
    Common::seconds loadTime;
    std::size_t streams;
    /// Which halves to run: times and processor use want a fast engine, memory a slow one.
    bool timePhases;
    bool memoryPhases;
};

/// What a way of calling gave, call after call.
struct Samples
{
    std::vector<Common::Duration> firstToken;
    std::vector<Common::Duration> total;
    std::vector<Common::Duration> gaps;
    std::size_t tokens = 0;
    std::size_t wrong = 0;
    /// Answers by status; 0 for connections that broke.
    std::map<std::string, std::size_t> statuses;
};

class OverheadRun
{
public:
    OverheadRun(asio::io_context &context, const OverheadPlan &plan)
        : context_(context)
        , plan_(plan)
        , connections_(context.get_executor())
    {
    }

    asio::awaitable<void> run()
    {
        if (plan_.timePhases) {
            co_await callOneByOne();
            co_await callTogether();
        }
        if (plan_.memoryPhases) {
            co_await holdIdle();
            co_await holdStreams();
        }
        context_.stop();
    }

    const nlohmann::json &result() const
    {
        return result_;
    }
    bool good() const
    {
        return wrong_ == 0;
    }

private:
    asio::awaitable<void> callOneByOne();
    asio::awaitable<void> callTogether();
    asio::awaitable<void> holdIdle();
    asio::awaitable<void> holdStreams();
    asio::awaitable<void> oneCall(std::string address, std::string model, std::size_t tokens,
                                  Samples &samples);
    asio::awaitable<void> callUntil(Common::Time end, Samples &samples, std::size_t &open);
    asio::awaitable<void> holdStream(Samples &samples, std::size_t &begun, std::size_t &open);
    asio::awaitable<void> pause(Common::Duration duration);

    asio::io_context &context_;
    const OverheadPlan &plan_;
    ClientConnections connections_;
    nlohmann::json result_ = nlohmann::json::object();
    std::size_t wrong_ = 0;
    std::uint64_t nextId_ = 0;
    std::list<ConnectionPointer> held_;
};

asio::awaitable<void> OverheadRun::pause(Common::Duration duration)
{
    asio::steady_timer timer(context_, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> OverheadRun::oneCall(std::string address, std::string model,
                                           std::size_t tokens, Samples &samples)
{
    const auto id = fmt::format("o{}", ++nextId_);
    const nlohmann::json body = {
        {"model", model}, {"prompt", "measure"}, {"stream", true}, {"max_tokens", tokens}};
    std::map<std::string, std::string> headers;
    headers["X-Request-Id"] = id;
    headers["Authorization"] = "Bearer " + plan_.token;
    const auto message =
        makeRequest(http::verb::post, address, "/v1/completions", headers, body.dump());
    const auto connection = co_await connections_.take(address, true);
    const auto start = now();
    AnswerCheck check(id, "measure");
    SseEvents events;
    std::vector<char> block(ReadBlock);
    std::optional<ResponseHead> head;
    if (connection) {
        const bool sent = co_await connection->send(message);
        if (sent) {
            head = co_await connection->readHead();
        }
    }
    if (!head || head->status != 200) {
        ++samples.wrong;
        co_return;
    }
    auto last = start;
    for (;;) {
        const auto got = co_await connection->readSome(block.data(), block.size());
        if (!got || *got == 0) {
            break;
        }
        const auto at = now();
        for (const auto &event : events.feed({block.data(), *got})) {
            const auto part = parsePart(event.data);
            if (!part || part->text.empty()) {
                continue;
            }
            check.take(part->id, part->engine, part->text);
            (last == start ? samples.firstToken : samples.gaps).push_back(at - last);
            last = at;
        }
    }
    samples.total.push_back(now() - start);
    samples.tokens += check.tokens();
    samples.wrong += check.fault().empty() && check.tokens() == tokens ? 0 : 1;
    connections_.giveBack(address, connection);
}

double microseconds(Common::Duration duration)
{
    return Common::toSeconds(duration) * 1e6;
}

/// How much later the gateway's quantile is than the straight one, in microseconds.
nlohmann::json added(const std::vector<Common::Duration> &straight,
                     const std::vector<Common::Duration> &gateway)
{
    nlohmann::json json;
    for (const auto &[name, fraction] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
        const auto before = quantile(straight, fraction);
        const auto after = quantile(gateway, fraction);
        json[name] = {{"straight_us", microseconds(before)},
                      {"gateway_us", microseconds(after)},
                      {"added_us", microseconds(after - before)}};
    }
    return json;
}

asio::awaitable<void> OverheadRun::callOneByOne()
{
    constexpr std::size_t WarmUp = 20;
    Samples warm;
    for (std::size_t i = 0; i < WarmUp; ++i) {
        co_await oneCall(plan_.straight, plan_.model, plan_.answerTokens, warm);
        co_await oneCall(plan_.gateway, plan_.model, plan_.answerTokens, warm);
    }
    Samples straight;
    Samples gateway;
    for (std::size_t i = 0; i < plan_.requests; ++i) {
        co_await oneCall(plan_.straight, plan_.model, plan_.answerTokens, straight);
        co_await oneCall(plan_.gateway, plan_.model, plan_.answerTokens, gateway);
    }
    result_["one_by_one"] = {{"requests_each", plan_.requests},
                             {"tokens_a_request", plan_.answerTokens},
                             {"first_token", added(straight.firstToken, gateway.firstToken)},
                             {"between_tokens", added(straight.gaps, gateway.gaps)},
                             {"whole_request", added(straight.total, gateway.total)},
                             {"wrong", straight.wrong + gateway.wrong}};
    wrong_ += straight.wrong + gateway.wrong;
}

asio::awaitable<void> OverheadRun::callUntil(Common::Time end, Samples &samples, std::size_t &open)
{
    while (now() < end) {
        co_await oneCall(plan_.gateway, plan_.model, plan_.answerTokens, samples);
    }
    --open;
}

asio::awaitable<void> OverheadRun::callTogether()
{
    Samples samples;
    std::size_t open = plan_.connections;
    const auto before = processUse(plan_.gatewayPid);
    const auto start = now();
    for (std::size_t i = 0; i < plan_.connections; ++i) {
        asio::co_spawn(context_, callUntil(start + plan_.loadTime, samples, open), asio::detached);
    }
    // The calls under way, which run on this thread, count it down. NOLINTNEXTLINE
    while (open > 0) {
        co_await pause(Common::milliseconds(20));
    }
    const double elapsed = Common::toSeconds(now() - start);
    const auto after = processUse(plan_.gatewayPid);
    const double cpu = Common::toSeconds(after.processorTime - before.processorTime);
    const auto requests = static_cast<double>(samples.total.size());
    const auto tokens = static_cast<double>(samples.tokens);
    result_["together"] = {{"connections", plan_.connections},
                           {"requests_per_second", requests / elapsed},
                           {"tokens_per_second", tokens / elapsed},
                           {"gateway_processor_seconds", cpu},
                           {"requests_per_core_second", requests / cpu},
                           {"tokens_per_core_second", tokens / cpu},
                           {"processor_us_per_token", cpu * 1e6 / tokens},
                           {"wrong", samples.wrong}};
    wrong_ += samples.wrong;
}

asio::awaitable<void> OverheadRun::holdIdle()
{
    const auto before = processUse(plan_.gatewayPid);
    std::size_t open = 0;
    for (std::size_t i = 0; i < plan_.streams; ++i) {
        const auto connection = std::make_shared<ClientConnection>(context_.get_executor());
        const bool connected = co_await connection->connect(parseEndpoint(plan_.gateway));
        if (connected) {
            ++open;
            held_.push_back(connection);
        }
    }
    co_await pause(Common::seconds(1));
    const auto after = processUse(plan_.gatewayPid);
    const auto grown =
        static_cast<double>(after.residentBytes) - static_cast<double>(before.residentBytes);
    result_["idle_connections"] = {{"open", open},
                                   {"kilobytes_each", grown / 1024 / static_cast<double>(open)}};
    for (const auto &connection : held_) {
        connection->close();
    }
    held_.clear();
    co_await pause(Common::seconds(2));
}

asio::awaitable<void> OverheadRun::holdStream(Samples &samples, std::size_t &begun,
                                              std::size_t &open)
{
    constexpr std::size_t StreamTokens = 1000;
    const auto id = fmt::format("s{}", ++nextId_);
    const nlohmann::json body = {{"model", plan_.model},
                                 {"prompt", "measure"},
                                 {"stream", true},
                                 {"max_tokens", StreamTokens}};
    std::map<std::string, std::string> headers;
    headers["X-Request-Id"] = id;
    headers["Authorization"] = "Bearer " + plan_.token;
    const auto message =
        makeRequest(http::verb::post, plan_.gateway, "/v1/completions", headers, body.dump());
    const auto connection = co_await connections_.take(plan_.gateway, false);
    if (connection) {
        held_.push_back(connection);
        const bool sent = co_await connection->send(message);
        std::optional<ResponseHead> head;
        if (sent) {
            head = co_await connection->readHead();
        }
        const bool streaming = head && head->status == 200;
        ++samples.statuses[std::to_string(head ? head->status : 0)];
        samples.wrong += streaming ? 0 : 1;
        begun += streaming ? 1 : 0;
        std::vector<char> block(512);
        bool reading = streaming;
        while (reading) {
            const auto got = co_await connection->readSome(block.data(), block.size());
            reading = got && *got > 0;
        }
    } else {
        ++samples.statuses["0"];
        ++samples.wrong;
    }
    --open;
}

asio::awaitable<void> OverheadRun::holdStreams()
{
    constexpr Common::seconds LongestStart{60};
    constexpr std::size_t StartTogether = 200;
    Samples samples;
    std::size_t begun = 0;
    std::size_t open = 0;
    const auto before = processUse(plan_.gatewayPid);
    const auto start = now();
    for (std::size_t i = 0; i < plan_.streams; ++i) {
        ++open;
        asio::co_spawn(context_, holdStream(samples, begun, open), asio::detached);
        if (i % StartTogether == 0) {
            co_await pause(Common::milliseconds(20));
        }
    }
    while (begun + samples.wrong < plan_.streams && now() < start + LongestStart) {
        co_await pause(Common::milliseconds(50));
    }
    co_await pause(Common::seconds(3));
    const auto after = processUse(plan_.gatewayPid);
    const auto grown =
        static_cast<double>(after.residentBytes) - static_cast<double>(before.residentBytes);
    result_["open_streams"] = {{"open", begun},
                               {"by_status", samples.statuses},
                               {"kilobytes_each", grown / 1024 / static_cast<double>(begun)},
                               {"resident_megabytes", after.residentBytes >> 20U}};
    for (const auto &connection : held_) {
        connection->close();
    }
    wrong_ += samples.wrong;
    while (open > 0 && now() < start + 2 * LongestStart) {
        co_await pause(Common::milliseconds(50));
    }
}

} // namespace

int measureOverhead(const std::string &planPath)
{
    std::ifstream file(planPath);
    const OverheadPlan plan(nlohmann::json::parse(file));
    asio::io_context context(1);
    OverheadRun run(context, plan);
    asio::co_spawn(context, run.run(), asio::detached);
    context.run();
    std::cout << run.result().dump(2) << '\n';
    return run.good() ? 0 : 1;
}

} // namespace LaburnumChute::LoadTool
