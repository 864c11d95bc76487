#include "StandIns/Engine.h"

#include <cstdlib>

#include "StandIns/TokenText.h"

namespace LaburnumChute::StandIns {

namespace {

constexpr std::size_t MaxCacheEventsPerAnswer = 2000;

Common::Duration milliseconds(const nlohmann::json &json, const char *name,
                              Common::Duration otherwise)
{
    const auto found = json.find(name);
    if (found == json.end()) {
        return otherwise;
    }
    const std::chrono::duration<double, std::milli> value(found->get<double>());
    return std::chrono::duration_cast<Common::Duration>(value);
}

Common::milliseconds wholeMilliseconds(const nlohmann::json &json, const char *name,
                                       Common::milliseconds otherwise)
{
    return Common::milliseconds(json.value(name, otherwise.count()));
}

std::uint64_t nowMs()
{
    return Common::toUnixMilliseconds(std::chrono::system_clock::now());
}

Common::Time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

EngineSettings::EngineSettings(const nlohmann::json &json)
    : id(json.at("id"))
    , listen(json.value("listen", "127.0.0.1:0"))
    , models(json.at("models").get<std::vector<std::string>>())
    , version(json.value("version", "1"))
    , weightStore(json.value("weight_store", ""))
{
    adapters = json.value("adapters", adapters);
    queueLimit = json.value("queue_limit", queueLimit);
    defaultMaxTokens = json.value("default_max_tokens", defaultMaxTokens);
    checksFences = json.value("checks_fences", checksFences);
    sampled = json.value("sampled", sampled);
    loadLag = wholeMilliseconds(json, "load_lag_ms", loadLag);
    cacheEventDelay = wholeMilliseconds(json, "cache_event_delay_ms", cacheEventDelay);
    cacheEventGap = json.value("cache_event_gap", cacheEventGap);
    closeNotice = wholeMilliseconds(json, "close_notice_ms", closeNotice);
    streamRetention = wholeMilliseconds(json, "stream_retention_ms", streamRetention);
    kvBytesPerToken = json.value("kv_bytes_per_token", kvBytesPerToken);
    batch.batchLimit = json.value("batch_limit", batch.batchLimit);
    batch.stepBase = milliseconds(json, "step_base_ms", batch.stepBase);
    batch.stepPerSequence = milliseconds(json, "step_per_sequence_ms", batch.stepPerSequence);
    batch.prefillTokensPerSecond =
        json.value("prefill_tokens_per_second", batch.prefillTokensPerSecond);
    batch.prefillChunkTokens = json.value("prefill_chunk_tokens", batch.prefillChunkTokens);
    batch.kvLimitTokens = json.value("kv_limit_tokens", batch.kvLimitTokens);
    batch.pauseAheadTokens = json.value("pause_ahead_tokens", batch.pauseAheadTokens);
}

Engine::Engine(asio::io_context &context, EngineSettings settings)
    : context_(context)
    , settings_(std::move(settings))
    , scheduler_(settings_.batch)
    , models_(context, settings_.id, settings_.weightStore, settings_.checksFences)
    , server_(context,
              [this](ConnectionPointer connection) { return handle(std::move(connection)); })
    , work_(context.get_executor())
{
    for (const auto &model : settings_.models) {
        models_.preload(model, settings_.version);
    }
    for (const auto &adapter : settings_.adapters) {
        models_.preloadAdapter(adapter);
    }
}

void Engine::start()
{
    server_.listen(settings_.listen);
    load_ = loadReport();
    loadAt_ = now();
    asio::co_spawn(context_, run(), asio::detached);
    asio::co_spawn(context_, sampleLoad(), asio::detached);
}

asio::awaitable<void> Engine::run()
{
    asio::steady_timer timer(context_);
    auto next = now();
    for (;;) {
        const auto duration = faults_.hang ? std::nullopt : scheduler_.beginStep(now());
        if (!duration) {
            co_await work_.wait();
            next = now();
            continue;
        }
        // Steps follow each other without drift: a late wake-up is made good by the next step.
        next = std::max(next, now() - Common::milliseconds(50));
        next += std::chrono::duration_cast<Common::Duration>(*duration * faults_.slowFactor);
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        const auto at = now();
        for (const auto &event : scheduler_.finishStep(at)) {
            deliver(event, at);
        }
        forgetOldStreams();
    }
}

void Engine::deliver(const TokenEvent &event, Common::Time at)
{
    const auto found = active_.find(event.sequence);
    if (found == active_.end()) {
        return;
    }
    const auto stream = found->second;
    auto &record = records_.at(stream->record);
    stream->generated = event.index;
    record.tokens = event.index;
    record.tokensAfterClose += stream->readerGone ? 1 : 0;
    const auto since = nowMs() - record.startedAtMs;
    record.tokenTimes.push_back(static_cast<std::uint32_t>(since));
    if (event.last) {
        finish(*stream, StreamEnd::Finished, "finished");
    }
    stream->endedAt = at;
    stream->changed.notify();
}

void Engine::finish(EngineStream &stream, StreamEnd end, std::string recordEnd)
{
    if (stream.end != StreamEnd::None) {
        return;
    }
    auto &record = records_.at(stream.record);
    if (const auto sequence = scheduler_.remove(stream.sequence)) {
        record.engineSeconds = sequence->engineSeconds;
        record.cachedTokens = sequence->cachedTokens;
    }
    record.end = std::move(recordEnd);
    record.endedAtMs = nowMs();
    stream.end = end;
    stream.endedAt = now();
    stream.changed.notify();
    const auto found = active_.find(stream.sequence);
    if (found != active_.end()) {
        ended_.push_back(found->second);
        active_.erase(found);
    }
    work_.notify();
}

void Engine::forgetOldStreams()
{
    const auto limit = now() - settings_.streamRetention;
    while (!ended_.empty() && ended_.front()->endedAt < limit) {
        const auto found = byName_.find(ended_.front()->requestId);
        if (found != byName_.end() && found->second == ended_.front()) {
            byName_.erase(found);
        }
        ended_.pop_front();
    }
}

void Engine::readerLeft(const StreamPointer &stream, std::uint64_t reader)
{
    if (stream->reader != reader || stream->readerGone || stream->end != StreamEnd::None) {
        return;
    }
    stream->readerGone = true;
    stopAfterNotice(stream, reader);
}

void Engine::stopAfterNotice(const StreamPointer &stream, std::uint64_t reader)
{
    auto timer = std::make_shared<asio::steady_timer>(context_, settings_.closeNotice);
    timer->async_wait([this, stream, reader, timer](boost::system::error_code error) {
        if (!error && stream->reader == reader) {
            finish(*stream, StreamEnd::Cancelled, "closed");
        }
    });
}

void Engine::crash()
{
    Common::log(Common::LogType::StandIns, Common::LogLevel::Warning, "engine {} crashes",
                settings_.id);
    if (faults_.exitOnCrash) {
        std::_Exit(134);
    }
    const auto streams = active_;
    for (const auto &[sequence, stream] : streams) {
        finish(*stream, StreamEnd::Crashed, "crashed");
    }
    byName_.clear();
    ended_.clear();
    scheduler_.reset(now());
    server_.stop();
    ++life_;
    if (faults_.restartAfter.count() > 0) {
        asio::co_spawn(context_, restartLater(), asio::detached);
    }
}

asio::awaitable<void> Engine::restartLater()
{
    const auto life = life_;
    co_await sleepFor(context_, faults_.restartAfter);
    if (life == life_) {
        server_.listenAgain();
    }
}

asio::awaitable<void> Engine::sampleLoad()
{
    for (;;) {
        co_await sleepFor(context_, settings_.loadLag);
        load_ = loadReport();
        loadAt_ = now();
    }
}

nlohmann::json Engine::loadReport() const
{
    const std::chrono::duration<double, std::milli> step = scheduler_.lastStep();
    return {
        {"id", settings_.id},
        {"running", scheduler_.running()},
        {"waiting", scheduler_.waiting()},
        {"batch_limit", settings_.batch.batchLimit},
        {"kv_used_tokens", scheduler_.usedTokens()},
        {"kv_limit_tokens", settings_.batch.kvLimitTokens},
        {"step_ms", step.count() * faults_.slowFactor},
        {"prefill_tokens_per_second", settings_.batch.prefillTokensPerSecond / faults_.slowFactor}};
}

nlohmann::json Engine::cacheEvents(std::uint64_t after)
{
    const auto limit = now() - settings_.cacheEventDelay;
    auto events = nlohmann::json::array();
    std::uint64_t latest = after;
    for (const auto &event : scheduler_.cache().events()) {
        if (event.seq <= after) {
            continue;
        }
        if (event.at > limit || events.size() >= MaxCacheEventsPerAnswer) {
            break;
        }
        latest = event.seq;
        if (settings_.cacheEventGap != 0 && event.seq % settings_.cacheEventGap == 0) {
            continue;
        }
        events.push_back({{"seq", event.seq},
                          {"op", event.stored ? "stored" : "evicted"},
                          {"prefix", fmt::format("{:016x}", event.prefix)},
                          {"tokens", event.tokens}});
    }
    return {{"events", events}, {"latest", latest}};
}

nlohmann::json Engine::record(bool withTokenTimes) const
{
    return {{"id", settings_.id},
            {"kind", "engine"},
            {"life", life_},
            {"orders", models_.orders()},
            {"runs", records_.toJson(withTokenTimes)}};
}

void Engine::setFaults(const nlohmann::json &changes)
{
    faults_.merge(changes);
    work_.notify();
    if (changes.value("crash", false)) {
        crash();
    }
}

void Engine::clearRecord()
{
    records_.clear();
}

} // namespace LaburnumChute::StandIns
