#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Fleet {

/// State that an instance announces about itself.
struct InstanceRecord
{
    Common::InstanceId id;
    /// Random number chosen at process start. Not derived from the wall clock, which may jump.
    std::uint64_t incarnation = 0;
    /// Incremented with every heartbeat of this incarnation.
    std::uint32_t sequence = 0;
    Common::RegionName region;
    Common::FailureDomainName failureDomain;
    /// Addresses in the form "ip:port".
    std::string callerAddress;
    std::string gossipAddress;
    std::string peerAddress;
    /// The instance can serve callers.
    bool ready = false;
    /// The instance is shutting down and accepts no new callers.
    bool leaving = false;
    /// The instance has applied all changes of the platform's store up to this revision.
    std::uint64_t knownRevision = 0;
    /// Version of the configuration in force.
    Common::ConfigurationNumber configuration = 0;
    /// Time since the instance's last response from the store, at most 65535 ms; empty if there was
    /// none.
    std::optional<std::uint16_t> storeAgeMs;
    /// The instance's calls to the store have succeeded without interruption for some seconds.
    bool storeSettled = false;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, incarnation, sequence, region, failureDomain, callerAddress, gossipAddress,
                peerAddress, ready, leaving, knownRevision, configuration, storeAgeMs,
                storeSettled);
    }
};

/// Compact identifier of an instance: a hash of its id.
std::uint32_t shortId(const Common::InstanceId &id);

/// Time since the sender last received evidence that another instance is alive.
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
    /// Records of instances that the receiver may not know.
    std::vector<InstanceRecord> instanceRecords;
    /// Encoded load report of the sender, in the format for its own region or for other regions.
    /// Not interpreted by this library.
    std::string loadReport;
    /// Encoded report on the usage of customers, likewise.
    std::string usageReport;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(self, heard, instanceRecords, loadReport, usageReport);
    }
};

} // namespace LaburnumChute::Fleet
