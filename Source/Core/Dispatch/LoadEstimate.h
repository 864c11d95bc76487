#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Dispatch/Shares.h"

namespace LaburnumChute::Dispatch {

/// One endpoint of a service, and what is expected on it.
struct EndpointLoad
{
    std::uint32_t endpoint = 0;
    int slots = 0;
    /// Requests of this instance, as it last told the others.
    int toldOwn = 0;
    /// Other instances send requests there.
    bool takesWork = true;
    /// Requests of other instances that were told of and are still there.
    double known = 0;
    /// Requests of other instances that nobody has told of.
    double assumed = 0;
};

/// Work of a service that waits at instances.
struct WaitingWork
{
    /// In time of one engine or of one place of a plain endpoint.
    Duration work{0};
    double calls = 0;
};

/// Load of a region's endpoints, from what the other instances told at different times.
///
/// Load pattern: many instances before the same endpoints, whose reports are about as old as a
/// request lasts. Taken at their word, all instances would send to the endpoint that was idle at
/// the time; with a fixed part of the places for each, endpoints would stand half empty. An
/// instance is taken to have as many requests under way as it told, but what it told of their
/// places loses weight with age: the rest is spread over the endpoints as instances that avoid the
/// busiest would do. One instance alone knows everything; a hundred with old reports choose almost
/// at random.
class LoadEstimate
{
public:
    void reported(const InstanceId &instance, const RegionLoadReport &share, Time now);
    /// The instance has sent a request there since its last report.
    void noticed(const InstanceId &instance, std::uint32_t endpoint, Time now);
    /// Forgets instances that are not in the list.
    void keep(const std::vector<InstanceId> &instances);
    /// What waits at the other instances.
    /// @param service its short id
    WaitingWork waitingAtOthers(std::uint32_t service) const;
    /// Requests per second that the instance sends to endpoints of the service, according to its
    /// last report; 0 without a report.
    /// @param service its short id
    double sentPerSecond(const InstanceId &instance, std::uint32_t service) const;

    /// Fills in what is known and assumed of the endpoints of one service.
    /// @param service its short id
    /// @param weighsAge reports lose weight with age; else they are taken at their word
    void estimate(std::uint32_t service, std::vector<EndpointLoad> &endpoints, bool weighsAge,
                  Time now) const;

private:
    /// Mean time that a request of the other instances spends at an endpoint: those under way by
    /// those sent a second. Nothing while none are sent.
    std::optional<Duration> stay(std::uint32_t service,
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

/// Spreads an amount of requests over the endpoints that take work, so that the least busy ones are
/// brought to the same load for each of their slots.
void spreadEvenly(std::vector<EndpointLoad> &endpoints, double amount);

} // namespace LaburnumChute::Dispatch
