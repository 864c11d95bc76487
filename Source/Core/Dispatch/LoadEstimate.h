#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Dispatch/LoadReports.h"

namespace LaburnumChute::Dispatch {

/// Expected load of one endpoint of a service.
struct EndpointLoad
{
    std::uint32_t endpoint = 0;
    int slots = 0;
    /// Requests of this instance, as of its last load report.
    int reportedOwn = 0;
    /// Other instances send requests to it.
    bool acceptsRequests = true;
    /// Requests of other instances that were reported and are still running.
    double known = 0;
    /// Requests of other instances whose endpoint is not known from a report.
    double assumed = 0;
};

/// Queued work of a service.
struct WaitingWork
{
    /// Time for which it would occupy one engine, or one slot of a plain endpoint.
    Duration work{0};
    double calls = 0;
};

/// Estimates the load of a region's endpoints from load reports of different age.
///
/// Load pattern: many instances in front of the same endpoints, whose load reports are about as old
/// as a request takes. If reports were used unchanged, all instances would send to the endpoint
/// that was idle at that time; with a fixed part of the slots for each instance, endpoints would be
/// half empty. An instance is therefore assumed to have as many requests in flight as it reported,
/// but the locations that it reported lose weight with age: the remainder is spread over the
/// endpoints as if by instances that avoid the busiest ones. A single instance has exact data; a
/// hundred instances with old reports choose almost at random.
class LoadEstimate
{
public:
    void reported(const InstanceId &instance, const RegionLoadReport &loadReport, Time now);
    /// Records a request that the instance has sent there since its last report.
    void noticed(const InstanceId &instance, std::uint32_t endpoint, Time now);
    /// Removes the reports of instances that are not in the list.
    void keep(const std::vector<InstanceId> &instances);
    /// Queued work at the other instances.
    /// @param service short id of the service
    WaitingWork waitingAtOthers(std::uint32_t service) const;
    /// Short streams in progress at all instances of the region.
    /// @param service short id of the service
    /// @param own those of this instance
    double shortStreams(std::uint32_t service, double own) const;
    /// Requests per second that the instance sends to endpoints of the service, according to its
    /// last report; 0 without a report.
    /// @param service short id of the service
    double sentPerSecond(const InstanceId &instance, std::uint32_t service) const;

    /// Sets the known and assumed load of the endpoints of one service.
    /// @param service short id of the service
    /// @param decayWithAge reports lose weight with age; otherwise they are used at full weight
    void estimate(std::uint32_t service, std::vector<EndpointLoad> &endpoints, bool decayWithAge,
                  Time now) const;

private:
    /// Mean time that requests of the other instances stay on an endpoint: requests in flight
    /// divided by requests sent per second. Empty if none are sent.
    std::optional<Duration> residenceTime(std::uint32_t service,
                                          const std::vector<EndpointLoad> &endpoints) const;

    struct Use
    {
        std::uint32_t endpoint = 0;
        double inFlight = 0;
        Time at{};
        bool noticed = false;
    };
    struct Report
    {
        std::vector<Use> uses;
        std::vector<ServiceWork> services;
        Time at{};
    };

    std::map<InstanceId, Report> reports_;
};

/// Distributes requests over the endpoints that accept them so that the least utilized ones reach
/// the same utilization.
void spreadEvenly(std::vector<EndpointLoad> &endpoints, double amount);

} // namespace LaburnumChute::Dispatch
