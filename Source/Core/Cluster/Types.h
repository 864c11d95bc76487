#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Ids.h"
#include "Common/Time.h"

namespace LaburnumChute::Cluster {

/// "ip:port".
using Address = Common::Name<struct AddressTag>;

/// What an instance says of itself. The incarnation is the wall clock in milliseconds at its start.
struct MemberInfo
{
    Common::InstanceId id;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    Common::Incarnation incarnation = 0;
    Address httpAddress;
    Address gossipAddress;
    Address channelAddress;
};

/// A line of the platform's instance list. Its addresses are those at which this viewer reaches the
/// instance, so they go before those that the instance gives of itself.
struct Seed
{
    Common::InstanceId id;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    Address httpAddress;
    Address gossipAddress;
    Address channelAddress;
    bool leaving = false;
};

enum class MemberState {
    Alive,
    /// It missed a probe and has not yet answered the suspicion.
    Suspect,
    /// It answered no one for the whole suspicion time, or was replaced.
    Dead,
    /// It said, or the platform says, that it leaves: no new work for it.
    Leaving,
};

std::string_view toString(MemberState state);

/// A member as this instance sees it.
struct MemberView
{
    MemberInfo info;
    MemberState state = MemberState::Alive;
};

/// Load of one model or service, as one instance or one region sees it.
struct ServiceLoad
{
    /// Model or service.
    std::string name;
    /// Requests in flight from the instance; added up over a region.
    std::uint32_t running = 0;
    /// Requests queued at the instance; added up over a region.
    std::uint32_t waiting = 0;
    /// Requests that the region's endpoints take at once; the largest view of a region's instances.
    std::uint32_t limit = 0;
    /// What another region needs to know before it sends work here. Each instance sees the same
    /// endpoints, so that a region's value is the mean of its instances' views.
    std::uint32_t freeTokensPerSecond = 0;
    std::uint32_t expectedWaitMs = 0;
    std::uint32_t prefillTokensPerSecond = 0;
    std::uint32_t utilisationPercent = 0;
};

using LoadSummary = std::vector<ServiceLoad>;

/// What other regions know of a region: a few contacts in place of all its members, and its load.
struct RegionSummary
{
    Common::RegionName region;
    /// Wall clock milliseconds of its making; a higher version replaces a lower one.
    std::uint64_t version = 0;
    std::uint32_t aliveMembers = 0;
    std::vector<MemberInfo> contacts;
    LoadSummary load;
};

enum class NoticeKind : std::uint8_t {
    /// The subject is the fingerprint of a request that is suspected to crash its endpoints.
    SuspectedPoison,
    /// The subject is an endpoint that leaves.
    EndpointLeaving,
    /// The subject is an endpoint that some instance has ejected.
    EndpointEjected,
    /// The subject is an instance of the system; the version is its incarnation.
    InstanceLeaving,
};

/// A small fact that all instances of all regions learn within a second or two and forget after its
/// lifetime. Kind and subject name it; a higher version replaces a lower one.
struct Notice
{
    NoticeKind kind = NoticeKind::SuspectedPoison;
    /// At most 255 bytes.
    std::string subject;
    /// At most 255 bytes, for the reader of the notice.
    std::string detail;
    std::uint64_t version = 0;
    /// False takes an earlier notice back.
    bool active = true;
    /// What is left of its lifetime.
    Common::milliseconds lifetime{0};
};

/// Names a version of the configuration together with its bytes.
struct ConfigurationDigest
{
    Common::ConfigurationNumber number = 0;
    /// Common::stableHash of the content.
    std::uint64_t hash = 0;

    bool operator==(const ConfigurationDigest &) const = default;
};

struct ConfigurationVersion
{
    Common::ConfigurationNumber number = 0;
    std::string content;
};

} // namespace LaburnumChute::Cluster
