#include "Dispatch/EndpointRuns.h"

#include <algorithm>

namespace LaburnumChute::Dispatch {

namespace {

/// How long it is remembered that a run ended or answered.
constexpr seconds RunMemory{60};
/// How long a failed connection shows that the paths may be lost.
constexpr seconds UnconnectedMemory{6};
/// The maps of times have thousands of entries.
constexpr seconds ForgetInterval{1};
/// With this many endpoints that do not accept connections, the cause may be the paths to them.
constexpr std::size_t DoubtfulConnections = 2;

std::optional<Time> find(const std::unordered_map<RunId, Time> &times, RunId run)
{
    const auto found = times.find(run);
    return found == times.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

RunId runId(const Catalog::EndpointRecord &record)
{
    return Common::stableHash(record.id.text(), static_cast<std::uint64_t>(record.startedAt));
}

EndpointRuns::Ends EndpointRuns::answered(RunId run, Time sentAt)
{
    auto &latest = answeredAt_[run];
    latest = std::max(latest, sentAt);
    const auto ended = endedAt_.find(run);
    if (ended != endedAt_.end() && ended->second < sentAt) {
        endedAt_.erase(ended);
    }
    unconnected_.erase(run);
    Ends ends;
    std::erase_if(unconnected_, [&](const auto &item) {
        const bool earlier = item.second.at <= sentAt;
        if (earlier && item.second.refused) {
            ends.emplace_back(item.first, item.second.at);
        }
        return earlier;
    });
    return ends;
}

EndpointRuns::Ends EndpointRuns::notConnected(RunId run, bool refused, Time now)
{
    auto &entry = unconnected_[run];
    entry.at = now;
    entry.refused = entry.refused || refused;
    if (!entry.refused || pathsDoubtful()) {
        return {};
    }
    entry.refused = false;
    return {{run, now}};
}

void EndpointRuns::ended(RunId run, Time at)
{
    endedAt_[run] = at;
}

void EndpointRuns::expire(Time now)
{
    std::erase_if(unconnected_,
                  [now](const auto &item) { return now - item.second.at > UnconnectedMemory; });
    if (now - forgottenAt_ < ForgetInterval) {
        return;
    }
    forgottenAt_ = now;
    for (auto *times : {&endedAt_, &answeredAt_}) {
        std::erase_if(*times, [now](const auto &item) { return now - item.second > RunMemory; });
    }
}

std::optional<Time> EndpointRuns::endedAt(RunId run) const
{
    return find(endedAt_, run);
}

std::optional<Time> EndpointRuns::answeredAt(RunId run) const
{
    return find(answeredAt_, run);
}

bool EndpointRuns::pathsDoubtful() const
{
    return unconnected_.size() >= DoubtfulConnections;
}

} // namespace LaburnumChute::Dispatch
