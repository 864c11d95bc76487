#include "StandIns/Platform.h"

#include <algorithm>

namespace LaburnumChute::StandIns {

namespace {

constexpr std::size_t SendBlock = 64UL * 1024;

Target targetOf(const HttpConnection &connection)
{
    const auto text = connection.request().target();
    return parseTarget(std::string_view(text.data(), text.size()));
}

Common::Time now()
{
    return std::chrono::steady_clock::now();
}

asio::awaitable<void> notFound(ConnectionPointer connection)
{
    co_await connection->respond(http::status::not_found, std::string("{}"));
}

} // namespace

ConfigurationService::ConfigurationService(asio::io_context &context,
                                           const nlohmann::json &settings)
    : context_(context)
    , listen_(settings.value("listen", "127.0.0.1:0"))
    , server_(context,
              [this](ConnectionPointer connection) { return handle(std::move(connection)); })
    , changed_(context.get_executor())
    , startedAt_(now())
{
    if (settings.contains("content")) {
        versions_[settings.value("number", std::uint64_t{1})] = settings.at("content");
    }
}

void ConfigurationService::start()
{
    server_.listen(listen_);
}

std::pair<http::status, nlohmann::json>
ConfigurationService::publish(const nlohmann::json &publication)
{
    const std::uint64_t newest = versions_.empty() ? 0 : versions_.rbegin()->first;
    if (publication.value("follows", std::uint64_t{0}) != newest
        || !publication.contains("content")) {
        return {http::status::conflict, {{"newest", newest}}};
    }
    versions_[newest + 1] = publication.at("content");
    changed_.notify();
    return {http::status::ok, {{"number", newest + 1}}};
}

void ConfigurationService::setFaults(const nlohmann::json &changes)
{
    down_ = changes.value("down", down_);
    hang_ = changes.value("hang", hang_);
    staleAt_ = changes.value("stale_at", staleAt_);
    revertTo_ = changes.value("revert_to", revertTo_);
    if (changes.contains("forged")) {
        forged_ = changes.at("forged");
    }
    changed_.notify();
}

nlohmann::json ConfigurationService::record() const
{
    const double elapsed = Common::toSeconds(now() - startedAt_);
    return {{"reads", reads_},
            {"reads_per_second", static_cast<double>(reads_) / std::max(elapsed, 0.001)},
            {"watching", watching_},
            {"newest", versions_.empty() ? 0 : versions_.rbegin()->first}};
}

std::uint64_t ConfigurationService::visibleNumber() const
{
    if (revertTo_ != 0) {
        return revertTo_;
    }
    const std::uint64_t newest = versions_.empty() ? 0 : versions_.rbegin()->first;
    return staleAt_ == 0 ? newest : std::min(newest, staleAt_);
}

nlohmann::json ConfigurationService::versionDocument(std::uint64_t number)
{
    const auto found = versions_.find(number);
    const bool forge = !forged_.is_null() && reads_ % 2 == 0;
    return {{"number", number},
            {"content", forge                      ? forged_
                        : found == versions_.end() ? nlohmann::json()
                                                   : found->second}};
}

asio::awaitable<void> ConfigurationService::handle(ConnectionPointer connection)
{
    ++reads_;
    if (down_) {
        connection->abort();
        co_return;
    }
    const auto target = targetOf(*connection);
    if (target.path != "/v1/configuration") {
        co_await notFound(connection);
        co_return;
    }
    ++watching_;
    co_await get(connection, target);
    --watching_;
}

asio::awaitable<void> ConfigurationService::get(ConnectionPointer connection, Target target)
{
    const auto after = std::strtoull(target.value("after", "0").c_str(), nullptr, 10);
    const Common::milliseconds wait(std::strtol(target.value("wait_ms", "0").c_str(), nullptr, 10));
    const auto deadline = now() + wait;
    const auto timeout = std::make_shared<asio::steady_timer>(context_, deadline);
    timeout->async_wait([this, timeout](boost::system::error_code) { changed_.notify(); });
    connection->watchForClose([this] { changed_.notify(); });
    for (;;) {
        if (down_ || !connection->isOpen()) {
            connection->abort();
            break;
        }
        const auto visible = visibleNumber();
        if (!hang_ && (visible > after || (revertTo_ != 0 && visible != after))) {
            co_await connection->respond(http::status::ok, versionDocument(visible));
            break;
        }
        if (!hang_ && now() >= deadline) {
            co_await connection->respond(http::status::not_modified, std::string());
            break;
        }
        co_await changed_.wait();
    }
    timeout->cancel();
}

InstanceList::InstanceList(asio::io_context &context, const nlohmann::json &settings)
    : listen_(settings.value("listen", "127.0.0.1:0"))
    , server_(context,
              [this](ConnectionPointer connection) { return handle(std::move(connection)); })
{
    lag_ = Common::milliseconds(settings.value("lag_ms", lag_.count()));
    // What a scenario starts with has always been true.
    history_.push_back({Common::Time(), 0, settings});
}

void InstanceList::start()
{
    server_.listen(listen_);
}

void InstanceList::setTruth(nlohmann::json truth)
{
    history_.push_back(
        {now(), Common::toUnixMilliseconds(std::chrono::system_clock::now()), std::move(truth)});
}

void InstanceList::setFaults(const nlohmann::json &changes)
{
    down_ = changes.value("down", down_);
    lag_ = Common::milliseconds(changes.value("lag_ms", lag_.count()));
    if (changes.contains("viewer_lag_ms")) {
        for (const auto &[viewer, lag] : changes.at("viewer_lag_ms").items()) {
            viewerLag_[viewer] = Common::milliseconds(lag.get<std::int64_t>());
        }
    }
}

nlohmann::json InstanceList::record() const
{
    return {{"reads", reads_}};
}

asio::awaitable<void> InstanceList::handle(ConnectionPointer connection)
{
    ++reads_;
    if (down_) {
        connection->abort();
        co_return;
    }
    const auto target = targetOf(*connection);
    if (target.path != "/v1/instances") {
        co_await notFound(connection);
        co_return;
    }
    co_await connection->respond(http::status::ok, view(target.value("viewer")));
}

nlohmann::json InstanceList::view(const std::string &viewer) const
{
    const auto own = viewerLag_.find(viewer);
    const auto lag = own == viewerLag_.end() ? lag_ : own->second;
    const auto limit = now() - lag;
    const auto *seen = &history_.front();
    for (const auto &snapshot : history_) {
        if (snapshot.from <= limit) {
            seen = &snapshot;
        }
    }
    auto instances = nlohmann::json::array();
    for (auto instance : seen->truth.value("instances", nlohmann::json::array())) {
        const auto via = instance.value("via", nlohmann::json::object());
        instance.erase("via");
        if (via.contains(viewer)) {
            instance.update(via.at(viewer));
        }
        instances.push_back(std::move(instance));
    }
    const auto asOf = std::chrono::system_clock::now() - lag;
    return {{"as_of_ms", Common::toUnixMilliseconds(asOf)},
            {"instances", instances},
            {"endpoints", seen->truth.value("endpoints", nlohmann::json::array())}};
}

Directory::Directory(asio::io_context &context, const nlohmann::json &settings)
    : listen_(settings.value("listen", "127.0.0.1:0"))
    , server_(context,
              [this](ConnectionPointer connection) { return handle(std::move(connection)); })
    , entries_(settings.value("entries", nlohmann::json::object()))
{
}

void Directory::start()
{
    server_.listen(listen_);
}

void Directory::setEntries(nlohmann::json entries)
{
    entries_ = std::move(entries);
}

asio::awaitable<void> Directory::handle(ConnectionPointer connection)
{
    const auto target = targetOf(*connection);
    if (target.path != "/v1/directory") {
        co_await notFound(connection);
        co_return;
    }
    const nlohmann::json answer = {
        {"entries", entries_.value(target.value("customer"), nlohmann::json::array())}};
    co_await connection->respond(http::status::ok, answer);
}

WeightStore::WeightStore(asio::io_context &context, const nlohmann::json &settings)
    : context_(context)
    , listen_(settings.value("listen", "127.0.0.1:0"))
    , server_(context,
              [this](ConnectionPointer connection) { return handle(std::move(connection)); })
    , loadsPerMinute_(settings.value("loads_per_minute", std::size_t{6}))
    , megabitsPerSecond_(settings.value("megabits_per_second", 100.0))
    , modelBytes_(settings.value("model_bytes", std::size_t{20'000'000}))
    , adapterBytes_(settings.value("adapter_bytes", std::size_t{1'000'000}))
{
}

void WeightStore::start()
{
    server_.listen(listen_);
}

asio::awaitable<void> WeightStore::handle(ConnectionPointer connection)
{
    const auto target = targetOf(*connection);
    if (target.path == "/v1/limits") {
        const nlohmann::json limits = {{"loads_per_minute", loadsPerMinute_},
                                       {"megabits_per_second", megabitsPerSecond_}};
        co_await connection->respond(http::status::ok, limits);
        co_return;
    }
    if (!target.after("/v1/weights/")) {
        co_await notFound(connection);
        co_return;
    }
    while (!loads_.empty() && loads_.front() + std::chrono::minutes(1) <= now()) {
        loads_.pop_front();
    }
    if (loads_.size() >= loadsPerMinute_) {
        ++refused_;
        const auto left = loads_.empty() ? Common::Duration() : loads_.front() - now();
        const auto wait = std::chrono::ceil<Common::seconds>(left + std::chrono::minutes(1));
        std::map<std::string, std::string> headers;
        headers["Retry-After"] = std::to_string(wait.count());
        co_await connection->respond(http::status::too_many_requests, "{}", headers);
        co_return;
    }
    loads_.push_back(now());
    ++served_;
    co_await send(connection, target.value("adapter").empty() ? modelBytes_ : adapterBytes_);
}

asio::awaitable<void> WeightStore::send(ConnectionPointer connection, std::size_t bytes)
{
    std::map<std::string, std::string> headers;
    headers["Content-Type"] = "application/octet-stream";
    bool sending = co_await connection->beginStream(headers);
    while (sending && bytes > 0) {
        const auto block = std::min(bytes, SendBlock);
        const std::chrono::duration<double> time(static_cast<double>(block) * 8
                                                 / (megabitsPerSecond_ * 1e6));
        // All downloads queue for the one rate.
        sendFreeAt_ =
            std::max(sendFreeAt_, now()) + std::chrono::duration_cast<Common::Duration>(time);
        co_await sleepFor(context_, sendFreeAt_ - now());
        sending = co_await connection->writeChunk(std::string(block, 'w'));
        bytes -= block;
    }
    if (sending) {
        co_await connection->endStream();
    }
}

nlohmann::json WeightStore::record() const
{
    return {{"served", served_}, {"refused", refused_}};
}

} // namespace LaburnumChute::StandIns
