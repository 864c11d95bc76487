#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Fleet/Heartbeat.h"

namespace LaburnumChute::Fleet {

struct PopulationOptions
{
    /// Instances count for this long after they were last known to be alive. Longer than a
    /// partition usually lasts; after a region has shrunk for good, the others use less of a shared
    /// bound than they may for as long.
    Common::milliseconds memory{600000};
};

/// How many instances may be using a bound that applies to all of them together.
///
/// Load pattern: instances that are partitioned from each other, that have just started, or whose
/// messages are late hear from few others or from none. If each of them divided a bound by the
/// instances that it hears from, all together would exceed it by a multiple. This number therefore
/// only follows an increase at once: it is the largest number of instances that were alive at the
/// same time within the memory, as far as anyone has told. Reports carry the age of the evidence,
/// so that instances cannot keep a number alive by repeating it to each other.
///
/// An instance that has just started does not know the number until it has been told of each
/// region.
class Population
{
public:
    Population(PopulationOptions options, Common::RegionName ownRegion);

    /// Regions in which there may be instances.
    void setRegions(const std::set<Common::RegionName> &regions);
    /// So many instances of a region were alive at the same time.
    void seen(const Common::RegionName &region, std::size_t instances, Common::Time at);
    /// Evidence from another instance.
    void merge(const std::vector<RegionPopulation> &reports, Common::Time now);
    /// The largest number of each region.
    std::vector<RegionPopulation> reports(Common::Time now) const;
    /// The process was suspended for this time, in which it could not hear of anyone.
    void postpone(Common::Duration suspension);

    /// Instances of the own region, including this one.
    /// @param unheardSeeds seeds of which nothing has been heard yet; they may be in this region
    std::size_t inOwnRegion(std::size_t unheardSeeds, Common::Time now) const;
    /// Instances of all regions, including this one; nothing while that is not known.
    /// @param seedsUnheard there are seeds of which nothing has been heard yet
    std::optional<std::size_t> total(bool seedsUnheard, Common::Time now) const;

private:
    /// Zero if nothing is known of the region.
    std::size_t inRegion(const Common::RegionName &region, Common::Time now) const;
    /// There may be instances that nobody has told of since the start of this process.
    bool mayBeIncomplete(Common::Time now) const;
    struct Evidence
    {
        std::size_t instances = 0;
        Common::Time at{};
    };

    bool valid(const Evidence &evidence, Common::Time now) const;

    PopulationOptions options_;
    Common::RegionName ownRegion_;
    std::set<Common::RegionName> regions_;
    /// In order of falling numbers of instances; the larger ones are older.
    std::map<Common::RegionName, std::vector<Evidence>> evidence_;
    /// Another instance has told of this one's region.
    bool toldOfOwnRegion_ = false;
    /// Time of the first evidence.
    std::optional<Common::Time> since_;
};

} // namespace LaburnumChute::Fleet
