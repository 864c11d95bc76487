// The HTTP calls of the engine stand-in.

#include "StandIns/Engine.h"
#include "StandIns/TokenText.h"

namespace LaburnumChute::StandIns {

namespace {

/// Pause after which a stream says that it is alive.
constexpr Common::seconds Heartbeat{1};

nlohmann::json openAiError(const std::string &type, const std::string &message)
{
    return {
        {"error", {{"message", message}, {"type", type}, {"param", nullptr}, {"code", nullptr}}}};
}

std::size_t answerLimit(const nlohmann::json &body, std::size_t otherwise)
{
    for (const auto *name : {"max_completion_tokens", "max_tokens"}) {
        const auto found = body.find(name);
        if (found != body.end() && found->is_number_integer() && found->get<std::int64_t>() > 0) {
            return found->get<std::size_t>();
        }
    }
    return otherwise;
}

bool boolean(const nlohmann::json &body, const char *name)
{
    const auto found = body.find(name);
    return found != body.end() && found->is_boolean() && found->get<bool>();
}

std::uint64_t parseHex(const std::string &text)
{
    return std::strtoull(text.c_str(), nullptr, 16);
}

} // namespace

asio::awaitable<void> Engine::handle(ConnectionPointer connection)
{
    const bool passed = co_await passFaults(context_, faults_, connection);
    if (!passed) {
        co_return;
    }
    const auto method = connection->request().method();
    const auto text = connection->request().target();
    const auto target = parseTarget(std::string_view(text.data(), text.size()));
    const auto stream = target.after("/v1/streams/");
    const auto prefix = target.after("/v1/kv/");
    if (method == http::verb::post && target.path == "/v1/chat/completions") {
        co_await complete(connection, true);
    } else if (method == http::verb::post && target.path == "/v1/completions") {
        co_await complete(connection, false);
    } else if (stream && method == http::verb::delete_) {
        co_await cancel(connection, *stream);
    } else if (stream) {
        co_await resume(connection, *stream);
    } else if (prefix) {
        co_await keyValueCache(connection, *prefix);
    } else {
        const auto answer = report(target, connection->request().body());
        co_await connection->respond(answer.status, answer.body);
    }
}

EngineAnswer Engine::report(const Target &target, const std::string &body)
{
    if (target.path == "/v1/load") {
        auto load = load_;
        const auto age = std::chrono::steady_clock::now() - loadAt_;
        load["age_ms"] = std::chrono::duration_cast<Common::milliseconds>(age).count();
        return {http::status::ok, load};
    }
    if (target.path == "/v1/cache-events") {
        const auto after = std::strtoull(target.value("after", "0").c_str(), nullptr, 10);
        return {http::status::ok, cacheEvents(after)};
    }
    if (target.path == "/v1/orders") {
        const auto order = nlohmann::json::parse(body, nullptr, false);
        if (!order.is_object()) {
            return {http::status::bad_request,
                    openAiError("invalid_request_error", "not an order")};
        }
        return models_.order(order);
    }
    if (target.path == "/v1/state") {
        return {http::status::ok, models_.state()};
    }
    if (target.path == "/v1/models") {
        auto data = nlohmann::json::array();
        for (const auto &model : models_.readyModels()) {
            data.push_back({{"id", model}, {"object", "model"}, {"owned_by", "stand-in"}});
        }
        return {http::status::ok, {{"object", "list"}, {"data", data}}};
    }
    return {http::status::not_found, openAiError("invalid_request_error", "no such call")};
}

asio::awaitable<void> Engine::refuse(ConnectionPointer connection, std::string reason)
{
    std::map<std::string, std::string> headers;
    headers["Engine-Run-State"] = "not-started";
    headers["X-Request-Id"] = connection->header("X-Request-Id");
    headers["Retry-After"] = "1";
    co_await connection->respond(http::status::service_unavailable,
                                 openAiError("server_error", reason).dump(), headers);
}

asio::awaitable<void> Engine::complete(ConnectionPointer connection, bool chat)
{
    const auto body = nlohmann::json::parse(connection->request().body(), nullptr, false);
    if (!body.is_object() || !body.contains(chat ? "messages" : "prompt")) {
        co_await connection->respond(http::status::bad_request,
                                     openAiError("invalid_request_error", "malformed body"));
        co_return;
    }
    const auto model = body.value("model", std::string());
    if (faults_.refuseNotStarted || scheduler_.waiting() >= settings_.queueLimit) {
        co_await refuse(connection, "the engine is full");
        co_return;
    }
    if (!models_.serves(model)) {
        co_await refuse(connection, "the model is not loaded");
        co_return;
    }
    const auto stream = submit(*connection, body, chat);
    if (!stream) {
        co_await connection->respond(
            http::status::bad_request,
            openAiError("invalid_request_error", "longer than the context allows"));
        co_return;
    }
    if (!faults_.poison.empty() && promptText(body).find(faults_.poison) != std::string::npos) {
        crash();
        co_return;
    }
    if (boolean(body, "stream")) {
        co_await streamTo(connection, stream, 0);
    } else {
        co_await answerWhole(connection, stream);
    }
}

StreamPointer Engine::submit(const HttpConnection &connection, const nlohmann::json &body,
                             bool chat)
{
    const auto prompt = promptText(body);
    auto requestId = connection.header("X-Request-Id");
    if (requestId.empty()) {
        requestId = fmt::format("{}-{}", settings_.id, nextSequence_);
    }
    auto stream = std::make_shared<EngineStream>(context_.get_executor(), requestId);
    stream->sequence = nextSequence_++;
    stream->engineId = settings_.id;
    stream->model = body.value("model", std::string());
    stream->chat = chat;
    stream->seed = answerSeed(requestId, prompt, settings_.sampled ? settings_.id : "");
    stream->promptTokens = countTokens(prompt);
    stream->maxTokens = answerLimit(body, settings_.defaultMaxTokens);
    const auto options = body.find("stream_options");
    stream->includeUsage =
        options != body.end() && options->is_object() && boolean(*options, "include_usage");

    Sequence sequence;
    sequence.id = stream->sequence;
    const auto priority = body.find("priority");
    if (priority != body.end() && priority->is_number_integer()) {
        sequence.priority = priority->get<int>();
    }
    sequence.promptTokens = stream->promptTokens;
    sequence.chain = blockChain(prompt);
    sequence.maxTokens = stream->maxTokens;
    if (!scheduler_.submit(std::move(sequence))) {
        return nullptr;
    }

    RunRecord record;
    record.requestId = requestId;
    record.idempotencyKey = connection.header("Idempotency-Key");
    record.model = stream->model;
    record.promptTokens = stream->promptTokens;
    record.startedAtMs = Common::toUnixMilliseconds(std::chrono::system_clock::now());
    stream->createdAt = record.startedAtMs / 1000;
    stream->record = records_.add(std::move(record));
    active_[stream->sequence] = stream;
    byName_[requestId] = stream;
    work_.notify();
    return stream;
}

asio::awaitable<void> Engine::streamTo(ConnectionPointer connection, StreamPointer stream,
                                       std::size_t after)
{
    const auto reader = ++stream->reader;
    stream->readerGone = false;
    if (const auto former = stream->connection.lock()) {
        former->abort();
    }
    stream->connection = connection;
    connection->watchForClose([this, stream, reader] {
        readerLeft(stream, reader);
        stream->changed.notify();
    });
    std::map<std::string, std::string> headers;
    headers["Content-Type"] = "text/event-stream";
    headers["Cache-Control"] = "no-cache";
    headers["X-Request-Id"] = stream->requestId;
    const bool begun = co_await connection->beginStream(headers);
    if (begun) {
        co_await writeStream(connection, stream, after, reader);
    }
    if (!connection->isOpen()) {
        readerLeft(stream, reader);
    }
}

asio::awaitable<void> Engine::writeStream(ConnectionPointer connection, StreamPointer stream,
                                          std::size_t after, std::uint64_t reader)
{
    std::size_t written = after;
    for (;;) {
        if (!connection->isOpen() || stream->reader != reader) {
            co_return;
        }
        if (faults_.hang) {
            co_await sleepFor(context_, Common::milliseconds(10));
            continue;
        }
        if (written < stream->generated) {
            const auto upTo = stream->generated;
            const bool sent = co_await connection->writeChunk(streamEvents(*stream, written));
            if (!sent) {
                co_return;
            }
            written = upTo;
            scheduler_.setRead(stream->sequence, written);
            work_.notify();
            continue;
        }
        if (stream->end == StreamEnd::Finished) {
            break;
        }
        if (stream->end != StreamEnd::None) {
            // A cancelled stream ends without [DONE]; the connection can be used again.
            co_await connection->endStream();
            co_return;
        }
        const auto before = std::chrono::steady_clock::now();
        co_await stream->changed.waitFor(Heartbeat);
        if (std::chrono::steady_clock::now() - before >= Heartbeat) {
            co_await connection->writeChunk(": waiting\n\n");
        }
    }
    if (takeDroppedAnswer(faults_)) {
        records_.at(stream->record).answerDropped = true;
        connection->abort();
        co_return;
    }
    co_await connection->writeChunk(streamClosing(*stream));
    co_await connection->endStream();
}

asio::awaitable<void> Engine::answerWhole(ConnectionPointer connection, StreamPointer stream)
{
    const auto reader = ++stream->reader;
    connection->watchForClose([this, stream, reader] { readerLeft(stream, reader); });
    while (stream->end == StreamEnd::None || faults_.hang) {
        if (stream->end == StreamEnd::None) {
            // The whole answer is one read: a caller that waits for it is not behind.
            scheduler_.setRead(stream->sequence, stream->generated);
            co_await stream->changed.wait();
        } else {
            co_await sleepFor(context_, Common::milliseconds(10));
        }
    }
    if (stream->end == StreamEnd::Finished && takeDroppedAnswer(faults_)) {
        records_.at(stream->record).answerDropped = true;
        connection->abort();
        co_return;
    }
    if (!connection->isOpen()) {
        co_return;
    }
    if (stream->end != StreamEnd::Finished) {
        co_await connection->respond(http::status::conflict,
                                     openAiError("cancelled", "the request was cancelled"));
        co_return;
    }
    std::map<std::string, std::string> headers;
    headers["X-Request-Id"] = stream->requestId;
    co_await connection->respond(http::status::ok, wholeAnswer(*stream), headers);
}

asio::awaitable<void> Engine::resume(ConnectionPointer connection, std::string requestId)
{
    const auto found = byName_.find(requestId);
    if (found == byName_.end() || found->second->end == StreamEnd::Cancelled) {
        co_await connection->respond(http::status::not_found,
                                     openAiError("not_found", "no such stream"));
        co_return;
    }
    const auto stream = found->second;
    const auto last = std::strtoull(connection->header("Last-Event-ID").c_str(), nullptr, 10);
    co_await streamTo(connection, stream, std::min<std::size_t>(last, stream->generated));
}

asio::awaitable<void> Engine::cancel(ConnectionPointer connection, std::string requestId)
{
    const auto found = byName_.find(requestId);
    if (found == byName_.end()) {
        co_await connection->respond(http::status::not_found,
                                     openAiError("not_found", "no such stream"));
        co_return;
    }
    const auto stream = found->second;
    finish(*stream, StreamEnd::Cancelled, "cancelled");
    const nlohmann::json answer = {{"cancelled", true}, {"generated", stream->generated}};
    co_await connection->respond(http::status::ok, answer);
}

asio::awaitable<void> Engine::keyValueCache(ConnectionPointer connection, std::string prefix)
{
    // The first line names the chain of blocks, since an importer must know where it hangs; the
    // rest stands for the cache itself and only has its size.
    const auto now = std::chrono::steady_clock::now();
    if (connection->request().method() == http::verb::put) {
        const auto &body = connection->request().body();
        const auto head = nlohmann::json::parse(body.substr(0, body.find('\n')), nullptr, false);
        std::vector<std::uint64_t> chain;
        if (head.is_object() && head.contains("chain")) {
            for (const auto &hash : head["chain"]) {
                chain.push_back(parseHex(hash.get<std::string>()));
            }
        }
        if (chain.empty() || chain.back() != parseHex(prefix)) {
            co_await connection->respond(http::status::bad_request,
                                         openAiError("invalid_request_error", "no chain"));
            co_return;
        }
        scheduler_.cache().store(chain, now);
        co_await connection->respond(http::status::ok, nlohmann::json::object());
        co_return;
    }
    const auto chain = scheduler_.cache().chainTo(parseHex(prefix));
    if (chain.empty()) {
        co_await connection->respond(http::status::not_found,
                                     openAiError("not_found", "not cached"));
        co_return;
    }
    auto names = nlohmann::json::array();
    for (const auto hash : chain) {
        names.push_back(fmt::format("{:016x}", hash));
    }
    const nlohmann::json head = {{"chain", names}};
    std::string body = head.dump() + "\n";
    body.append(chain.size() * BlockTokens * settings_.kvBytesPerToken, 'k');
    std::map<std::string, std::string> headers;
    headers["Content-Type"] = "application/octet-stream";
    co_await connection->respond(http::status::ok, std::move(body), headers);
}

} // namespace LaburnumChute::StandIns
