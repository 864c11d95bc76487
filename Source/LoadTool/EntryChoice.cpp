#include "LoadTool/EntryChoice.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

namespace LaburnumChute::LoadTool {

namespace {

constexpr Common::milliseconds AskAgain{500};
constexpr Common::seconds FailureMemory{3};
constexpr Common::seconds LongestLifetime{60};
constexpr double FailedFactor = 1e-6;

Common::Time now()
{
    return std::chrono::steady_clock::now();
}

} // namespace

EntryChoice::EntryChoice(asio::any_io_executor executor, ClientConnections &connections,
                         const Plan &plan)
    : executor_(std::move(executor))
    , connections_(connections)
    , plan_(plan)
{
}

bool EntryChoice::ready() const
{
    return !plan_.straight.empty() || (!advice_.empty() && !advice_.begin()->second.empty());
}

asio::awaitable<void> EntryChoice::keepAsking()
{
    std::set<std::string> regions;
    for (const auto &group : plan_.groups) {
        regions.insert(group.region);
    }
    asio::steady_timer timer(executor_);
    for (;;) {
        Common::Duration lifetime = LongestLifetime;
        for (const auto &region : regions) {
            const auto own = co_await ask(region);
            lifetime = std::min(lifetime, own);
        }
        timer.expires_after(lifetime);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<std::vector<std::string>> EntryChoice::askDirectory()
{
    auto request = makeRequest(http::verb::get, plan_.directory,
                               "/v1/directory?customer=" + plan_.customer, {}, "");
    const auto answer = co_await call(connections_, plan_.directory, std::move(request));
    std::vector<std::string> addresses;
    if (answer && answer->head.status == 200) {
        const auto body = nlohmann::json::parse(answer->body, nullptr, false);
        addresses = body.value("entries", addresses);
    }
    co_return addresses;
}

asio::awaitable<Common::Duration> EntryChoice::ask(std::string region)
{
    const auto listed = co_await askDirectory();
    if (!listed.empty()) {
        known_ = listed;
    }
    if (known_.empty()) {
        co_return AskAgain;
    }
    const auto address = known_[turn_++ % known_.size()];
    std::map<std::string, std::string> headers;
    if (!plan_.groups.empty() && !plan_.groups.front().token.empty()) {
        headers["Authorization"] = "Bearer " + plan_.groups.front().token;
    }
    auto request =
        makeRequest(http::verb::get, address, "/v1/entries?region=" + region, headers, "");
    const auto answer = co_await call(connections_, address, std::move(request));
    if (!answer || answer->head.status != 200) {
        co_return AskAgain;
    }
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (!body.is_object() || body.value("entries", nlohmann::json::array()).empty()) {
        co_return AskAgain;
    }
    auto &advice = advice_[region];
    advice.clear();
    for (const auto &entry : body.at("entries")) {
        advice.push_back({entry.value("address", ""), entry.value("weight", 1.0)});
    }
    co_return Common::milliseconds(body.value("lifetime_ms", AskAgain.count()));
}

bool EntryChoice::failedLately(const std::string &address) const
{
    const auto found = failures_.find(address);
    return found != failures_.end() && found->second + FailureMemory > now();
}

void EntryChoice::failed(const std::string &address)
{
    failures_[address] = now();
}

std::string EntryChoice::choose(const CallerGroup &group, std::mt19937_64 &random)
{
    std::vector<Entry> candidates;
    const auto straight = plan_.straight.find(group.target);
    if (straight != plan_.straight.end()) {
        for (const auto &address : straight->second) {
            candidates.push_back({address, 1});
        }
    } else {
        candidates = advice_[group.region];
    }
    std::vector<double> weights;
    double sum = 0;
    for (const auto &candidate : candidates) {
        // What failed of late is only taken when all did.
        const double factor = failedLately(candidate.address) ? FailedFactor : 1;
        weights.push_back(candidate.weight * factor);
        sum += weights.back();
    }
    if (sum <= 0) {
        return {};
    }
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    return candidates[draw(random)].address;
}

} // namespace LaburnumChute::LoadTool
