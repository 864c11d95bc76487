#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Operator {

/// State of an endpoint according to one gateway.
struct EndpointView
{
    Common::EndpointId id;
    bool listed = false;
    bool leaving = false;
    /// The gateway currently sends it no requests.
    bool excluded = false;
    /// Requests of the gateway that it is running.
    std::uint64_t ownInFlight = 0;
};

/// State of the fleet according to the dump of one gateway.
struct InstanceView
{
    Common::InstanceId instance;
    Common::RegionName region;
    bool draining = false;
    Common::ConfigurationNumber configuration = 0;
    /// Reason why the latest version was not put in force; empty if it is in force.
    std::string lastRejection;
    std::uint64_t requestsInFlight = 0;
    /// Members of its own region, with "alive", "suspect", "dead" or "leaving".
    std::map<std::string, std::string> members;
    std::vector<EndpointView> endpoints;
};

/// Parses a dump. Members that are absent or have another type keep their defaults. A document that
/// is not a dump is a ProtocolViolation.
Common::Result<InstanceView> readInstanceView(std::string_view dump);

/// Response of a gateway: its state, or the reason why there is none.
struct AskedInstance
{
    std::string address;
    Common::Result<InstanceView> view;
};

/// Responses of all gateways.
class FleetStatus
{
public:
    explicit FleetStatus(std::vector<AskedInstance> asked);

    bool allAnswered() const;
    /// Whether all gateways that responded have the same configuration in force.
    bool sameConfiguration() const;

    std::string table() const;
    nlohmann::json document() const;

private:
    struct EndpointSummary
    {
        int views = 0;
        int listed = 0;
        int leaving = 0;
        int excluded = 0;
        std::uint64_t inFlight = 0;
    };

    std::map<std::string, EndpointSummary> endpoints() const;
    static std::string stateOf(const EndpointSummary &summary);
    std::string instanceTable() const;
    std::string memberTable() const;
    std::string endpointTable() const;

    std::vector<AskedInstance> asked_;
};

} // namespace LaburnumChute::Operator
