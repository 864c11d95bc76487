#include "Dispatch/LoadEstimate.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace LaburnumChute::Dispatch {

namespace {

constexpr double MinResidenceSeconds = 1e-3;
/// Equal to the report interval. Not every report reaches every instance, so a notice that counted
/// until the next report received from its sender would outlive the request.
constexpr milliseconds NoticeLifetime{250};
/// Short streams that one instance may report even if others report none.
constexpr double UncheckedStreams = 8;

/// Endpoints of unknown size count as having one slot.
double slotsOf(const EndpointLoad &endpoint)
{
    return std::max(1, endpoint.slots);
}

/// Utilization of the endpoint as the other instances see it when they choose.
double utilizationOf(const EndpointLoad &endpoint)
{
    return (endpoint.reportedOwn + endpoint.known) / slotsOf(endpoint);
}

/// Slots that the other instances would still fill.
double spareSlotsOf(const EndpointLoad &endpoint)
{
    return std::max(0.0, slotsOf(endpoint) - endpoint.reportedOwn - endpoint.known);
}

double slotsFilledUpTo(const EndpointLoad &endpoint, double level)
{
    return std::clamp((level - utilizationOf(endpoint)) * slotsOf(endpoint), 0.0,
                      spareSlotsOf(endpoint));
}

/// Utilization up to which the amount fills the endpoints that have spare slots.
double levelFor(const std::vector<EndpointLoad> &endpoints, double amount, double highest)
{
    // After this many bisections the level is exact to a thousandth of a request.
    constexpr int Steps = 24;
    double low = 0;
    double high = highest;
    for (int step = 0; step < Steps; ++step) {
        const double middle = (low + high) / 2;
        double filled = 0;
        for (const auto &endpoint : endpoints) {
            filled += endpoint.acceptsRequests ? slotsFilledUpTo(endpoint, middle) : 0;
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

/// Fraction of the reported requests that are still on the endpoint.
double remainingFraction(Time at, Duration residenceTime, Time now)
{
    const double meanResidence = std::max(MinResidenceSeconds, Common::toSeconds(residenceTime));
    return std::exp(-Common::toSeconds(now - at) / meanResidence);
}

} // namespace

void spreadEvenly(std::vector<EndpointLoad> &endpoints, double amount)
{
    if (amount <= 0) {
        return;
    }
    double slots = 0;
    double spareSlots = 0;
    double highest = 0;
    for (const auto &endpoint : endpoints) {
        if (endpoint.acceptsRequests) {
            slots += slotsOf(endpoint);
            spareSlots += spareSlotsOf(endpoint);
            highest = std::max(highest, utilizationOf(endpoint) + 1);
        }
    }
    if (slots <= 0) {
        return;
    }
    const double level = levelFor(endpoints, std::min(amount, spareSlots), highest);
    // If all endpoints are full, no instance avoids any of them.
    const double excess = std::max(0.0, amount - spareSlots) / slots;
    for (auto &endpoint : endpoints) {
        if (endpoint.acceptsRequests) {
            endpoint.assumed = slotsFilledUpTo(endpoint, level) + excess * slotsOf(endpoint);
        }
    }
}

void LoadEstimate::reported(const InstanceId &instance, const RegionLoadReport &loadReport,
                            Time now)
{
    auto &report = reports_[instance];
    report.services = loadReport.services;
    report.at = now;
    report.uses.clear();
    for (const auto &use : loadReport.uses) {
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

double LoadEstimate::shortStreams(std::uint32_t service, double own) const
{
    std::vector<double> reported;
    double sum = own;
    for (const auto &[instance, report] : reports_) {
        const auto *work = find(report.services, service);
        reported.push_back(work != nullptr ? work->shortStreams : 0);
        sum += reported.back();
    }
    // A wrong report counts at most as much as all other instances together.
    double bounded = own;
    for (const double streams : reported) {
        bounded += std::min(streams, std::max(UncheckedStreams, sum - streams));
    }
    return bounded;
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

std::optional<Duration>
LoadEstimate::residenceTime(std::uint32_t service, const std::vector<EndpointLoad> &endpoints) const
{
    std::unordered_set<std::uint32_t> ids;
    for (const auto &endpoint : endpoints) {
        ids.insert(endpoint.endpoint);
    }
    double requestsInFlight = 0;
    double perSecond = 0;
    for (const auto &[instance, report] : reports_) {
        for (const auto &use : report.uses) {
            requestsInFlight += ids.count(use.endpoint) > 0 ? use.inFlight : 0;
        }
        const auto *work = find(report.services, service);
        perSecond += work != nullptr ? work->sentPerSecond : 0;
    }
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const std::chrono::duration<double> meanResidence(requestsInFlight / perSecond);
    return std::chrono::duration_cast<Duration>(meanResidence);
}

void LoadEstimate::estimate(std::uint32_t service, std::vector<EndpointLoad> &endpoints,
                            bool decayWithAge, Time now) const
{
    std::unordered_map<std::uint32_t, EndpointLoad *> byId;
    for (auto &endpoint : endpoints) {
        byId[endpoint.endpoint] = &endpoint;
    }
    const auto meanResidence = decayWithAge ? residenceTime(service, endpoints) : std::nullopt;
    double unlocated = 0;
    for (const auto &[instance, report] : reports_) {
        for (const auto &use : report.uses) {
            const auto found = byId.find(use.endpoint);
            const bool expired = use.noticed && now - use.at > NoticeLifetime;
            if (found != byId.end() && !expired) {
                const double remaining =
                    meanResidence ? remainingFraction(use.at, *meanResidence, now) : 1;
                found->second->known += use.inFlight * remaining;
                unlocated += use.inFlight * (1 - remaining);
            }
        }
    }
    spreadEvenly(endpoints, unlocated);
}

} // namespace LaburnumChute::Dispatch
