#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "Cluster/Messages.h"
#include "Cluster/Options.h"

namespace LaburnumChute::Cluster {

/// What this instance knows beyond the members of its region: the platform's list, and the
/// summaries of all regions.
///
/// With 2,900 instances a table of all members everywhere would take each instance 29 times the
/// messages of its own region; a summary is about 400 bytes for a region of any size.
class RegionDirectory
{
public:
    RegionDirectory(const ClusterOptions &options, Common::RegionName ownRegion);

    void setSeeds(const std::vector<Seed> &seeds);
    /// True when the summary is newer than the one held.
    bool apply(const RegionSummary &summary);
    /// A contact that was heard to leave is chosen no more.
    void recordLeaving(const Common::InstanceId &id, Common::Incarnation incarnation);
    /// Remembers the incarnation under which an instance was heard.
    void recordIncarnation(const Common::InstanceId &id, Common::Incarnation incarnation);

    bool seedsKnown() const
    {
        return !seeds_.empty();
    }
    /// The platform's list has precedence, since a link may translate addresses.
    Address gossipAddress(const MemberInfo &info) const;
    MemberInfo withListedAddresses(MemberInfo info) const;
    /// Listed instances of the own region.
    std::vector<Seed> ownSeeds() const;
    /// Regions other than the own one, from the list and the summaries.
    std::vector<Common::RegionName> otherRegions() const;
    /// Where to reach some instance of the region.
    std::optional<Address> contact(const Common::RegionName &region, std::mt19937_64 &random) const;
    std::optional<Common::Incarnation> newestIncarnation(const Common::InstanceId &id) const;

    /// Without the contacts that were heard to leave.
    std::vector<RegionSummary> summaries() const;
    std::vector<RegionVersion> versions() const;
    /// Summaries that are newer than what the digest names.
    std::vector<RegionSummary> newerThan(const std::vector<RegionVersion> &versions) const;
    /// How often a region makes a summary, given how many regions there are.
    Common::Duration summaryInterval() const;

private:
    bool usable(const Common::InstanceId &id) const;

    ClusterOptions options_;
    Common::RegionName ownRegion_;
    std::map<Common::InstanceId, Seed> seeds_;
    std::map<Common::RegionName, std::vector<Common::InstanceId>> seedsByRegion_;
    std::map<Common::RegionName, RegionSummary> summaries_;
    std::map<Common::InstanceId, Common::Incarnation> incarnations_;
    std::map<Common::InstanceId, Common::Incarnation> leaving_;
};

} // namespace LaburnumChute::Cluster
