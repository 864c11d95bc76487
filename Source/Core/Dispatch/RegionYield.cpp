#include "Dispatch/RegionYield.h"

#include <algorithm>
#include <limits>

namespace LaburnumChute::Dispatch {

namespace {

/// Time for which a load report of another instance counts, and for which the region goes on to
/// yield. Each report reaches only some of the instances, so that one of a given instance arrives
/// about once a second where there are several dozen.
constexpr milliseconds HoldTime{1000};
/// Time for which a rejection counts.
constexpr milliseconds RejectionTime{1000};
/// Fraction of the requests sent per second that have to lack capacity. A prompt that yields is
/// prefilled without the parts that are cached here, which is not worth it for fewer of them.
constexpr double MinFraction = 0.01;

std::uint16_t bounded(int count)
{
    return static_cast<std::uint16_t>(
        std::min<int>(count, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace

void RegionYield::setWaiting(const std::map<std::uint32_t, int> &waiting)
{
    for (auto &[service, state] : services_) {
        state.waiting = 0;
    }
    for (const auto &[service, count] : waiting) {
        services_[service].waiting = count;
    }
}

void RegionYield::rejected(std::uint32_t service, Time now)
{
    auto &state = services_[service];
    ownRejections(state, now);
    state.rejections.push_back(now);
}

void RegionYield::reported(const InstanceId &instance, const std::vector<ServiceWork> &services,
                           Time now)
{
    auto &report = reports_[instance];
    report.at = now;
    report.lacks.clear();
    for (const auto &work : services) {
        if (work.restrictedWaiting > 0 || work.restrictedRejected > 0) {
            report.lacks.push_back({work.service, work.restrictedWaiting, work.restrictedRejected});
        }
    }
}

void RegionYield::keep(const std::vector<InstanceId> &instances)
{
    std::erase_if(reports_, [&](const auto &entry) {
        return std::find(instances.begin(), instances.end(), entry.first) == instances.end();
    });
}

void RegionYield::fill(ServiceWork &work, Time now)
{
    const auto found = services_.find(work.service);
    if (found != services_.end()) {
        work.restrictedWaiting = bounded(found->second.waiting);
        work.restrictedRejected = bounded(ownRejections(found->second, now));
    }
}

int RegionYield::ownRejections(State &state, Time now)
{
    while (!state.rejections.empty() && now - state.rejections.front() > RejectionTime) {
        state.rejections.pop_front();
    }
    return static_cast<int>(state.rejections.size());
}

RegionYield::Region RegionYield::region(std::uint32_t service, State &state, Time now) const
{
    Region region;
    region.lacking = state.waiting + ownRejections(state, now);
    for (const auto &[instance, report] : reports_) {
        if (now - report.at > HoldTime) {
            continue;
        }
        ++region.instances;
        for (const auto &lack : report.lacks) {
            region.lacking += lack.service == service ? lack.waiting + lack.rejected : 0;
        }
    }
    return region;
}

void RegionYield::update(std::uint32_t service, double sentPerSecond, Time now)
{
    auto &state = services_[service];
    if (state.updatedAt < state.yieldsUntil) {
        state.yielded += std::min(now, state.yieldsUntil) - state.updatedAt;
    }
    state.updatedAt = now;
    // The other instances' rates are taken to be equal to the own one: a rate that is reported too
    // high must not end the yielding.
    const auto known = region(service, state, now);
    if (known.lacking > 0 && known.lacking >= MinFraction * sentPerSecond * known.instances) {
        state.yieldsUntil = now + HoldTime;
    }
}

bool RegionYield::yields(std::uint32_t service, Time now) const
{
    const auto found = services_.find(service);
    return found != services_.end() && now < found->second.yieldsUntil;
}

std::uint64_t RegionYield::takeSeconds(std::uint32_t service)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return 0;
    }
    const auto whole = std::chrono::duration_cast<seconds>(found->second.yielded);
    found->second.yielded -= whole;
    return static_cast<std::uint64_t>(whole.count());
}

nlohmann::json RegionYield::dump(std::uint32_t service, Time now)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return nullptr;
    }
    auto &state = found->second;
    const auto known = region(service, state, now);
    if (known.lacking <= 0 && state.yieldsUntil == Time()) {
        return nullptr;
    }
    return {{"yields", yields(service, now)},
            {"waiting", state.waiting},
            {"rejected", state.rejections.size()},
            {"lacking_in_region", known.lacking},
            {"reporting_instances", known.instances}};
}

} // namespace LaburnumChute::Dispatch
