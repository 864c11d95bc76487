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

/// What this instance knows beyond the members of its region: the platform's instance list and the
/// summaries of all regions.
///
/// The messages of a global member table would grow with the number of regions; a summary has about
/// 400 bytes regardless of the region's size.
class RegionDirectory
{
public:
    RegionDirectory(const ClusterOptions &options, Common::RegionName ownRegion);

    void setSeeds(const std::vector<Seed> &seeds);
    /// Returns true if the summary is newer than the stored one.
    bool apply(const RegionSummary &summary);
    /// Marks an instance as leaving; it is no longer chosen as a contact.
    void recordLeaving(const Common::InstanceId &id, Common::Incarnation incarnation);
    /// Records the incarnation of an instance that was heard from.
    void recordIncarnation(const Common::InstanceId &id, Common::Incarnation incarnation);

    bool seedsKnown() const
    {
        return !seeds_.empty();
    }
    /// Addresses of the platform's list take precedence, since a link may translate addresses.
    Address gossipAddress(const MemberInfo &info) const;
    MemberInfo withListedAddresses(MemberInfo info) const;
    /// Listed instances of the own region.
    std::vector<Seed> ownSeeds() const;
    /// Regions other than the own one, from the list and the summaries.
    std::vector<Common::RegionName> otherRegions() const;
    /// Returns the gossip address of a random usable instance of the region.
    std::optional<Address> contact(const Common::RegionName &region, std::mt19937_64 &random) const;
    std::optional<Common::Incarnation> newestIncarnation(const Common::InstanceId &id) const;

    /// The known summaries without contacts that are leaving.
    std::vector<RegionSummary> summaries() const;
    std::vector<RegionVersion> versions() const;
    /// Summaries that are newer than the given versions.
    std::vector<RegionSummary> newerThan(const std::vector<RegionVersion> &versions) const;
    /// Interval between the summaries of a region; it grows with the number of regions.
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
