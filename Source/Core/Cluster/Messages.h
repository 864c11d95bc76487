#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Cluster/Types.h"

namespace LaburnumChute::Cluster {

enum class Health : std::uint8_t { Alive, Suspect, Dead };

/// A membership update about one incarnation of a member. Only the member itself raises the
/// counter, to refute a suspicion. Leaving is never withdrawn within an incarnation.
struct MemberUpdate
{
    Common::InstanceId id;
    Common::Incarnation incarnation = 0;
    std::uint32_t counter = 0;
    Health health = Health::Alive;
    bool leaving = false;
    /// Present in the updates that introduce a member.
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

/// Asks the receiver to ping the target and to forward its ack (an indirect probe).
struct PingRequest
{
    std::uint32_t sequence = 0;
    Common::InstanceId target;
};

/// Has no body of its own; it only transports what every message piggybacks.
struct PiggybackOnly
{
};

/// Asks for the whole member table, unless the receiver's table has this hash.
struct MembersRequest
{
    std::uint64_t hash = 0;
};

struct MembersPage
{
    std::vector<MemberUpdate> updates;
};

/// The load of the sender, for the instance that publishes the summary of the region.
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

/// Versions of the region summaries that the sender holds (anti-entropy).
struct RegionsDigest
{
    std::vector<RegionVersion> versions;
    /// The receiver shall send back its own digest, so that both sides are updated.
    bool replyRequested = false;
};

struct RegionsPage
{
    std::vector<RegionSummary> summaries;
};

/// Asks for a range of a version, as a delta from the base if the receiver can compute one.
struct ConfigurationRequest
{
    ConfigurationDigest wanted;
    ConfigurationDigest base;
    /// Bytes of the transfer that the sender already holds.
    std::uint32_t offset = 0;
    /// Number of chunks that the receiver shall send.
    std::uint16_t chunks = 0;
};

struct ConfigurationChunk
{
    ConfigurationDigest version;
    /// If its number is 0, the transfer is the full content, otherwise a delta from this version.
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
    /// The version in force at the sender.
    ConfigurationDigest configuration;
    /// Hash of the sender's notices; if it differs, the receiver sends notices of its own.
    std::uint64_t noticesHash = 0;
    std::vector<MemberUpdate> updates;
    std::vector<Notice> notices;
    GossipBody body;
};

/// Maximum datagram size; small enough to pass any link without fragmentation.
inline constexpr std::size_t MaxDatagramBytes = 1200;

} // namespace LaburnumChute::Cluster
