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

/// The identity and addresses that an instance announces. The incarnation is its start time in wall
/// clock milliseconds.
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

/// An entry of the platform's instance list. Its addresses are those at which this viewer reaches
/// the instance, so they take precedence over the ones that the instance announces.
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
    /// It missed a probe and has not yet refuted the suspicion.
    Suspect,
    /// It did not refute the suspicion in time, or it was replaced.
    Dead,
    /// The instance itself or the platform announced that it leaves: it gets no new work.
    Leaving,
};

std::string_view toString(MemberState state);

/// The state of a member as seen by this instance.
struct MemberView
{
    MemberInfo info;
    MemberState state = MemberState::Alive;
};

/// Load of one model or service, as seen by one instance or one region.
struct ServiceLoad
{
    /// Name of the model or service.
    std::string name;
    /// Requests in flight from the instance; summed over a region.
    std::uint32_t running = 0;
    /// Requests queued at the instance; summed over a region.
    std::uint32_t waiting = 0;
    /// Concurrent requests that the region's endpoints accept; for a region, the maximum that any
    /// of its instances reports.
    std::uint32_t limit = 0;
    /// Lets another region decide whether to send requests here. All instances of a region see the
    /// same endpoints, so the region's value is the mean of what its instances report.
    std::uint32_t freeTokensPerSecond = 0;
    std::uint32_t expectedWaitMs = 0;
    std::uint32_t prefillTokensPerSecond = 0;
    std::uint32_t utilisationPercent = 0;
};

using LoadSummary = std::vector<ServiceLoad>;

/// What other regions know about a region: a few contacts instead of all its members, and its load.
struct RegionSummary
{
    Common::RegionName region;
    /// Creation time in wall clock milliseconds; a higher version replaces a lower one.
    std::uint64_t version = 0;
    std::uint32_t aliveMembers = 0;
    std::vector<MemberInfo> contacts;
    LoadSummary load;
};

enum class NoticeKind : std::uint8_t {
    /// The subject is the fingerprint of a request that is suspected to crash its endpoints.
    SuspectedPoison,
    /// The subject is an endpoint that is about to leave.
    EndpointLeaving,
    /// The subject is an endpoint that an instance has ejected.
    EndpointEjected,
    /// The subject is an instance that is about to leave; the version is its incarnation.
    InstanceLeaving,
};

/// A small piece of information that reaches all instances of all regions within a second or two
/// and expires after its lifetime. It is identified by kind and subject; a higher version replaces
/// a lower one.
struct Notice
{
    NoticeKind kind = NoticeKind::SuspectedPoison;
    /// At most 255 bytes.
    std::string subject;
    /// Free text for the recipient, at most 255 bytes.
    std::string detail;
    std::uint64_t version = 0;
    /// False withdraws an earlier notice.
    bool active = true;
    /// Remaining lifetime.
    Common::milliseconds lifetime{0};
};

/// Identifies a version of the configuration and its content.
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
