#include "Dispatch/StreamGrouping.h"

#include <algorithm>
#include <cmath>

#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Fraction of the slots of a group that its streams occupy on average. The rest is for fluctuation
/// and for long prompts whose parts are cached there.
constexpr double Fill = 0.5;
/// The same once the group would be more than half of the engines: with a group of nearly all
/// engines, no engine has few streams.
constexpr double DenseFill = 0.75;
/// Time within which the size follows a decrease to 1/e. Each engine that joins or leaves the group
/// makes parts that it has cached less useful, so short decreases are ignored.
constexpr seconds ShrinkTime{5};

} // namespace

bool isShortStream(const CallFacts &facts, const DispatchOptions &options)
{
    return facts.kind == RequestKind::Stream && facts.promptTokens < options.noticeTokens;
}

void StreamGrouping::began(const ServiceName &service)
{
    ++groups_[service].inProgress;
}

void StreamGrouping::ended(const ServiceName &service)
{
    auto &group = groups_[service];
    group.inProgress = std::max(0, group.inProgress - 1);
}

int StreamGrouping::inProgress(const ServiceName &service) const
{
    const auto found = groups_.find(service);
    return found == groups_.end() ? 0 : found->second.inProgress;
}

void StreamGrouping::resize(const ServiceName &service, double streams, std::size_t engines,
                            int slots, Time now)
{
    auto &group = groups_[service];
    const double age = Common::toSeconds(now - group.at) / Common::toSeconds(ShrinkTime);
    const double left = std::exp(-std::max(0.0, age));
    group.streams = std::max(streams, streams + (group.streams - streams) * left);
    group.at = now;
    const auto enginesAt = [&](double fill) {
        return static_cast<std::size_t>(std::ceil(group.streams / (std::max(1, slots) * fill)));
    };
    group.size = std::min(enginesAt(Fill), std::max((engines + 1) / 2, enginesAt(DenseFill)));
}

std::vector<const EndpointState *>
StreamGrouping::group(const ServiceName &service, const std::vector<EndpointState *> &engines,
                      Time now) const
{
    std::vector<std::pair<std::uint64_t, const EndpointState *>> ranked;
    for (const auto *engine : engines) {
        if (!engine->ejectedUntil && !engine->cold(now) && !engine->listed.missing
            && engine->rest.left(now) == Duration(0)) {
            ranked.emplace_back(
                Common::rendezvousWeight(service.text(), engine->listed.record.id.text()), engine);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), size(service)));
    std::vector<const EndpointState *> group;
    for (const auto &[weight, engine] : ranked) {
        group.push_back(engine);
    }
    return group;
}

std::size_t StreamGrouping::size(const ServiceName &service) const
{
    const auto found = groups_.find(service);
    return found == groups_.end() ? 0 : found->second.size;
}

} // namespace LaburnumChute::Dispatch
