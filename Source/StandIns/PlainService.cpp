#include "StandIns/PlainService.h"

#include <cstdlib>

namespace LaburnumChute::StandIns {

namespace {

std::uint64_t nowMs()
{
    return Common::toUnixMilliseconds(std::chrono::system_clock::now());
}

} // namespace

ServiceSettings::ServiceSettings(const nlohmann::json &json)
    : id(json.at("id"))
    , listen(json.value("listen", "127.0.0.1:0"))
{
    workers = json.value("workers", workers);
    serviceTime = Common::milliseconds(json.value("service_ms", serviceTime.count()));
    loadLag = Common::milliseconds(json.value("load_lag_ms", loadLag.count()));
}

PlainService::PlainService(asio::io_context &context, ServiceSettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , server_(context,
              [this](ConnectionPointer connection) { return handle(std::move(connection)); })
    , freed_(context.get_executor())
{
}

void PlainService::start()
{
    server_.listen(settings_.listen);
    load_ = loadReport();
    loadAt_ = std::chrono::steady_clock::now();
    asio::co_spawn(context_, sampleLoad(), asio::detached);
}

asio::awaitable<void> PlainService::handle(ConnectionPointer connection)
{
    const bool passed = co_await passFaults(context_, faults_, connection);
    if (!passed) {
        co_return;
    }
    const auto text = connection->request().target();
    const auto target = parseTarget(std::string_view(text.data(), text.size()));
    if (target.path == "/load") {
        auto load = load_;
        const auto age = std::chrono::steady_clock::now() - loadAt_;
        load["age_ms"] = std::chrono::duration_cast<Common::milliseconds>(age).count();
        co_await connection->respond(http::status::ok, load);
        co_return;
    }
    if (faults_.refuseNotStarted) {
        std::map<std::string, std::string> headers;
        headers["Engine-Run-State"] = "not-started";
        headers["X-Request-Id"] = connection->header("X-Request-Id");
        co_await connection->respond(http::status::service_unavailable, "{}", headers);
        co_return;
    }
    co_await work(connection, target);
}

asio::awaitable<void> PlainService::work(ConnectionPointer connection, Target target)
{
    RunRecord record;
    record.requestId = connection->header("X-Request-Id");
    record.idempotencyKey = connection->header("Idempotency-Key");
    record.model = target.path;
    record.startedAtMs = nowMs();
    const auto body = connection->request().body();
    const auto life = life_;
    ++waiting_;
    while (running_ >= settings_.workers && life == life_) {
        co_await freed_.wait();
    }
    if (life != life_) {
        co_return;
    }
    --waiting_;
    ++running_;
    // From here on the call has its effect, whatever becomes of the connection.
    const auto requestId = record.requestId;
    const auto index = records_.add(std::move(record));
    if (!faults_.poison.empty() && body.find(faults_.poison) != std::string::npos) {
        crash();
        co_return;
    }
    co_await sleepFor(context_, serviceTime(requestId));
    if (life != life_) {
        co_return;
    }
    --running_;
    freed_.notify();
    auto &done = records_.at(index);
    done.end = "finished";
    done.endedAtMs = nowMs();
    done.engineSeconds = static_cast<double>(done.endedAtMs - done.startedAtMs) / 1000;
    if (takeDroppedAnswer(faults_)) {
        done.answerDropped = true;
        connection->abort();
        co_return;
    }
    const auto method = connection->request().method_string();
    const nlohmann::json answer = {
        {"id", settings_.id},  {"request_id", requestId}, {"method", std::string(method)},
        {"path", target.path}, {"query", target.query},   {"received", body}};
    co_await connection->respond(http::status::ok, answer);
}

Common::Duration PlainService::serviceTime(const std::string &requestId) const
{
    constexpr std::uint64_t Steps = 1024;
    const auto place = Common::stableHash(requestId) % Steps;
    const double factor = 0.5 + static_cast<double>(place) / Steps;
    return std::chrono::duration_cast<Common::Duration>(settings_.serviceTime * factor
                                                        * faults_.slowFactor);
}

void PlainService::setFaults(const nlohmann::json &changes)
{
    faults_.merge(changes);
    if (changes.value("crash", false)) {
        crash();
    }
}

void PlainService::crash()
{
    if (faults_.exitOnCrash) {
        std::_Exit(134);
    }
    ++life_;
    running_ = 0;
    waiting_ = 0;
    freed_.notify();
    server_.stop();
    if (faults_.restartAfter.count() > 0) {
        asio::co_spawn(context_, restartLater(), asio::detached);
    }
}

asio::awaitable<void> PlainService::restartLater()
{
    const auto life = life_;
    co_await sleepFor(context_, faults_.restartAfter);
    if (life == life_) {
        server_.listenAgain();
    }
}

asio::awaitable<void> PlainService::sampleLoad()
{
    for (;;) {
        co_await sleepFor(context_, settings_.loadLag);
        load_ = loadReport();
        loadAt_ = std::chrono::steady_clock::now();
    }
}

nlohmann::json PlainService::loadReport() const
{
    return {{"id", settings_.id},
            {"running", running_},
            {"waiting", waiting_},
            {"workers", settings_.workers}};
}

nlohmann::json PlainService::record() const
{
    return {{"id", settings_.id},
            {"kind", "service"},
            {"life", life_},
            {"runs", records_.toJson(false)}};
}

void PlainService::clearRecord()
{
    records_.clear();
}

} // namespace LaburnumChute::StandIns
