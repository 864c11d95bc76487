#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

enum class Health : std::uint8_t { Alive, Suspect, Dead };

/// A statement about one incarnation of a member. The member alone raises the counter, to refute a
/// suspicion. Leaving is never taken back within an incarnation.
struct MemberUpdate
{
    Common::InstanceId id;
    Common::Incarnation incarnation = 0;
    std::uint32_t counter = 0;
    Health health = Health::Alive;
    bool leaving = false;
    /// Present in the claims by which a member becomes known.
    std::optional<MemberInfo> info;
};

struct Ping
{
    std::uint32_t sequence = 0;
};

struct Ack
{
    std::uint32_t sequence = 0;
};

/// Asks the receiver to ping the target and to pass on its answer.
struct PingRequest
{
    std::uint32_t sequence = 0;
    Common::InstanceId target;
};

/// Carries only what every message carries.
struct PiggybackOnly
{
};

/// Asks for all members, unless the receiver's view has this hash.
struct MembersRequest
{
    std::uint64_t hash = 0;
};

struct MembersPage
{
    std::vector<MemberUpdate> updates;
};

/// The load of the sender, for the instance that makes the summary of the region.
struct LoadReport
{
    LoadSummary load;
};

struct RegionVersion
{
    /// Common::stableHash of the region's name.
    std::uint64_t region = 0;
    std::uint64_t version = 0;
};

/// Versions of the region summaries that the sender holds.
struct RegionsDigest
{
    std::vector<RegionVersion> versions;
    /// The receiver shall send its own digest back, so that both learn from each other.
    bool answerWanted = false;
};

struct RegionsPage
{
    std::vector<RegionSummary> summaries;
};

/// Asks for a part of a version, as a delta from the base if the receiver can make one.
struct ConfigurationRequest
{
    ConfigurationDigest wanted;
    ConfigurationDigest base;
    /// Bytes of the transfer that the sender holds already.
    std::uint32_t offset = 0;
    /// Chunks that the receiver shall send.
    std::uint16_t chunks = 0;
};

struct ConfigurationChunk
{
    ConfigurationDigest version;
    /// Number 0: the transfer is the whole content, else a delta from this version.
    ConfigurationDigest base;
    std::uint32_t transferSize = 0;
    std::uint32_t offset = 0;
    std::string bytes;
};

using GossipBody =
    std::variant<PiggybackOnly, Ping, Ack, PingRequest, MembersRequest, MembersPage, LoadReport,
                 RegionsDigest, RegionsPage, ConfigurationRequest, ConfigurationChunk>;

/// One datagram between two instances.
struct GossipMessage
{
    Common::InstanceId sender;
    Common::Incarnation incarnation = 0;
    Common::RegionName region;
    /// The version that the sender has in force.
    ConfigurationDigest configuration;
    /// Hash of the notices that the sender holds; a difference makes the receiver send its own.
    std::uint64_t noticesHash = 0;
    std::vector<MemberUpdate> updates;
    std::vector<Notice> notices;
    GossipBody body;
};

/// Largest datagram: it passes any link without fragments.
inline constexpr std::size_t MaxDatagramBytes = 1200;

} // namespace LaburnumChute::Cluster
