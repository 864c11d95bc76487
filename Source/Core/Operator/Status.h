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

/// An endpoint as one gateway sees it.
struct EndpointView
{
    Common::EndpointId id;
    bool listed = false;
    bool leaving = false;
    /// Ejected: this gateway sends it nothing for now.
    bool excluded = false;
    /// Requests of this gateway on it.
    std::uint64_t ownInFlight = 0;
};

/// What the dump of one gateway says of the fleet.
struct InstanceView
{
    Common::InstanceId instance;
    Common::RegionName region;
    bool draining = false;
    Common::ConfigurationNumber configuration = 0;
    /// Why the newest version that was read is not in force; empty when there is no such thing.
    std::string lastRejection;
    std::uint64_t requestsInFlight = 0;
    /// Members of its own region, with "alive", "suspect", "dead" or "leaving".
    std::map<std::string, std::string> members;
    std::vector<EndpointView> endpoints;
};

/// Reads a dump. Members that are absent or of another type are left at their defaults; a document
/// that is no dump at all is a ProtocolViolation.
Common::Result<InstanceView> readInstanceView(std::string_view dump);

/// One gateway that was asked: its view, or why there is none.
struct AskedInstance
{
    std::string address;
    Common::Result<InstanceView> view;
};

/// All gateways that were asked.
class FleetStatus
{
public:
    explicit FleetStatus(std::vector<AskedInstance> asked);

    bool allAnswered() const;
    /// Whether those that answered have one configuration number in force.
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
