#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Fleet {

/// What an instance says of itself.
struct InstanceRecord
{
    Common::InstanceId id;
    /// Drawn at the start of the process. Not taken from the clock: the time of day may jump.
    std::uint64_t incarnation = 0;
    /// Grows with every heartbeat of this incarnation.
    std::uint32_t sequence = 0;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    /// "ip:port" each.
    std::string callerAddress;
    std::string gossipAddress;
    std::string peerAddress;
    /// It serves callers.
    bool ready = false;
    /// It is about to stop and takes no new callers.
    bool leaving = false;
    /// All changes of the platform's store up to here are known to it.
    std::uint64_t knownRevision = 0;
    /// Time since the store last answered it, bounded by a minute; nothing when it never has.
    std::optional<std::uint16_t> storeAgeMs;
    /// The store has answered it without a break for some seconds.
    bool storeSettled = false;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, incarnation, sequence, region, failureDomain, callerAddress, gossipAddress,
                peerAddress, ready, leaving, knownRevision, storeAgeMs, storeSettled);
    }
};

/// Names an instance in few bytes.
std::uint32_t shortId(const Common::InstanceId &id);

/// When the sender last heard of another instance.
struct HeardInstance
{
    std::uint32_t instance = 0;
    std::uint16_t ageMs = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(instance, ageMs);
    }
};

/// One datagram between two instances.
struct Heartbeat
{
    InstanceRecord self;
    std::vector<HeardInstance> heard;
    /// Instances that the receiver may not know.
    std::vector<InstanceRecord> introductions;
    /// What the sender tells instances of its region, or those of others, of its work; for another
    /// part of the program to read.
    std::string share;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(self, heard, introductions, share);
    }
};

} // namespace LaburnumChute::Fleet
