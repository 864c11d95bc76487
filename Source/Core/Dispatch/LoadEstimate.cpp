#include "Dispatch/LoadEstimate.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace LaburnumChute::Dispatch {

namespace {

/// In seconds.
constexpr double ShortestStay = 1e-3;
/// Equal to the report interval. Not every report reaches every instance, so a notice that counted
/// until the next report received from its sender would outlive the request.
constexpr milliseconds NoticeLifetime{250};

/// Endpoints of unknown size count as having one slot.
double slotsOf(const EndpointLoad &endpoint)
{
    return std::max(1, endpoint.slots);
}

/// How busy the other instances take the endpoint to be, as they choose by it.
double useOf(const EndpointLoad &endpoint)
{
    return (endpoint.toldOwn + endpoint.known) / slotsOf(endpoint);
}

/// Places that others would still take there.
double roomOf(const EndpointLoad &endpoint)
{
    return std::max(0.0, slotsOf(endpoint) - endpoint.toldOwn - endpoint.known);
}

double filledUpTo(const EndpointLoad &endpoint, double level)
{
    return std::clamp((level - useOf(endpoint)) * slotsOf(endpoint), 0.0, roomOf(endpoint));
}

/// The level up to which endpoints are filled by an amount that has room there.
double levelFor(const std::vector<EndpointLoad> &endpoints, double amount, double highest)
{
    // Halved so often, the level is exact to a thousandth of a request.
    constexpr int Steps = 24;
    double low = 0;
    double high = highest;
    for (int step = 0; step < Steps; ++step) {
        const double middle = (low + high) / 2;
        double filled = 0;
        for (const auto &endpoint : endpoints) {
            filled += endpoint.takesWork ? filledUpTo(endpoint, middle) : 0;
        }
        (filled < amount ? low : high) = middle;
    }
    return low;
}

const ServiceWork *find(const std::vector<ServiceWork> &services, std::uint32_t service)
{
    const auto found = std::find_if(services.begin(), services.end(),
                                    [&](const auto &work) { return work.service == service; });
    return found == services.end() ? nullptr : &*found;
}

/// Share of what was told at that time that still holds.
double stillThere(Time at, Duration stay, Time now)
{
    const double mean = std::max(ShortestStay, Common::toSeconds(stay));
    return std::exp(-Common::toSeconds(now - at) / mean);
}

} // namespace

void spreadEvenly(std::vector<EndpointLoad> &endpoints, double amount)
{
    double slots = 0;
    double room = 0;
    double highest = 0;
    for (const auto &endpoint : endpoints) {
        if (endpoint.takesWork) {
            slots += slotsOf(endpoint);
            room += roomOf(endpoint);
            highest = std::max(highest, useOf(endpoint) + 1);
        }
    }
    if (slots <= 0) {
        return;
    }
    const double level = levelFor(endpoints, std::min(amount, room), highest);
    // Where all are full nobody avoids anyone.
    const double excess = std::max(0.0, amount - room) / slots;
    for (auto &endpoint : endpoints) {
        if (endpoint.takesWork) {
            endpoint.assumed = filledUpTo(endpoint, level) + excess * slotsOf(endpoint);
        }
    }
}

void LoadEstimate::reported(const InstanceId &instance, const RegionLoadReport &share, Time now)
{
    auto &report = reports_[instance];
    report.services = share.services;
    report.at = now;
    report.uses.clear();
    for (const auto &use : share.uses) {
        report.uses.push_back({use.endpoint, static_cast<double>(use.inFlight), now, false});
    }
}

void LoadEstimate::noticed(const InstanceId &instance, std::uint32_t endpoint, Time now)
{
    reports_[instance].uses.push_back({endpoint, 1, now, true});
}

void LoadEstimate::keep(const std::vector<InstanceId> &instances)
{
    const std::set<InstanceId> kept(instances.begin(), instances.end());
    std::erase_if(reports_, [&](const auto &item) { return kept.count(item.first) == 0; });
}

WaitingWork LoadEstimate::waitingAtOthers(std::uint32_t service) const
{
    WaitingWork sum;
    for (const auto &[instance, report] : reports_) {
        if (const auto *work = find(report.services, service)) {
            sum.calls += work->waiting;
            sum.work += milliseconds(work->waitingMs);
        }
    }
    return sum;
}

double LoadEstimate::sentPerSecond(const InstanceId &instance, std::uint32_t service) const
{
    const auto report = reports_.find(instance);
    if (report == reports_.end()) {
        return 0;
    }
    const auto *work = find(report->second.services, service);
    return work != nullptr ? work->sentPerSecond : 0;
}

std::optional<Duration> LoadEstimate::stay(std::uint32_t service,
                                           const std::vector<EndpointLoad> &endpoints) const
{
    std::unordered_set<std::uint32_t> ids;
    for (const auto &endpoint : endpoints) {
        ids.insert(endpoint.endpoint);
    }
    double underWay = 0;
    double perSecond = 0;
    for (const auto &[instance, report] : reports_) {
        for (const auto &use : report.uses) {
            underWay += ids.count(use.endpoint) > 0 ? use.inFlight : 0;
        }
        const auto *work = find(report.services, service);
        perSecond += work != nullptr ? work->sentPerSecond : 0;
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> mean(underWay / perSecond);
    return std::chrono::duration_cast<Duration>(mean);
}

void LoadEstimate::estimate(std::uint32_t service, std::vector<EndpointLoad> &endpoints,
                            bool weighsAge, Time now) const
{
    std::unordered_map<std::uint32_t, EndpointLoad *> byId;
    for (auto &endpoint : endpoints) {
        byId[endpoint.endpoint] = &endpoint;
    }
    const auto mean = weighsAge ? stay(service, endpoints) : std::nullopt;
    double unknown = 0;
    for (const auto &[instance, report] : reports_) {
        for (const auto &use : report.uses) {
            const auto found = byId.find(use.endpoint);
            const bool expired = use.noticed && now - use.at > NoticeLifetime;
            if (found != byId.end() && !expired) {
                const double left = mean ? stillThere(use.at, *mean, now) : 1;
                found->second->known += use.inFlight * left;
                unknown += use.inFlight * (1 - left);
            }
        }
    }
    spreadEvenly(endpoints, unknown);
}

} // namespace LaburnumChute::Dispatch
