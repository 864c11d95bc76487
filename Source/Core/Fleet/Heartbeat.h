#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
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
    /// Time since the instance's copy of the store was known to be up to date, through its own
    /// calls or those of others, at most 65535 ms; empty if it never was.
    std::optional<std::uint16_t> storeAgeMs;
    /// Time since the last failed call to the store that the instance knows of, its own or that of
    /// another instance of the region, at most 65535 ms; empty if it knows of none.
    std::optional<std::uint16_t> storeFailureAgeMs;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(id, incarnation, sequence, region, failureDomain, callerAddress, gossipAddress,
                peerAddress, ready, leaving, knownRevision, configuration, storeAgeMs,
                storeFailureAgeMs);
    }
};

/// Compact identifier of an instance: a hash of its id and incarnation.
std::uint32_t shortId(const InstanceRecord &record);

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

/// Number of instances of a region that were alive at the same time, and when.
struct RegionPopulation
{
    Common::RegionName region;
    std::uint32_t instances = 0;
    std::uint32_t ageMs = 0;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(region, instances, ageMs);
    }
};

/// State of the sender, for instances of its region. Instances of other regions get one only on the
/// first contact and when the sender leaves.
struct Heartbeat
{
    InstanceRecord self;
    std::vector<HeardInstance> heard;
    /// Records of instances that the receiver may not know.
    std::vector<InstanceRecord> instanceRecords;
    /// Instances whose records the sender lacks and asks the receiver for.
    std::vector<std::uint32_t> wantedRecords;
    /// What the sender knows of the number of instances.
    std::vector<RegionPopulation> populations;
    /// Encoded load report of the sender. Not interpreted by this library.
    std::string loadReport;
    /// Encoded report on the usage of customers, likewise.
    std::string usageReport;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(self, heard, instanceRecords, wantedRecords, populations, loadReport, usageReport);
    }
};

/// State of a region, for the instances of other regions. A few instances of each region send it to
/// some instances of the others, which relay it within their region.
struct RegionDigest
{
    /// The instance that made the digest. Its sequence orders the digests of one incarnation.
    InstanceRecord speaker;
    /// Time since the digest was made, as far as the relaying instances know.
    std::uint32_t ageMs = 0;
    /// Number of instances of the region that are alive.
    std::uint32_t aliveInstances = 0;
    /// Other instances of the region that accept requests.
    std::vector<InstanceRecord> contacts;
    /// What the speaker knows of the number of instances of all regions.
    std::vector<RegionPopulation> populations;
    /// Encoded reports of the region. Not interpreted by this library.
    std::string loadReport;
    std::string usageReport;

    /// For cereal.
    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(speaker, ageMs, aliveInstances, contacts, populations, loadReport, usageReport);
    }
};

/// What one datagram of this library contains.
using Message = std::variant<Heartbeat, RegionDigest>;

} // namespace LaburnumChute::Fleet
