#include "Fleet/Population.h"

#include <algorithm>

namespace LaburnumChute::Fleet {

using Common::Duration;
using Common::milliseconds;
using Common::RegionName;
using Common::Time;

Population::Population(PopulationOptions options, RegionName ownRegion)
    : options_(options)
    , ownRegion_(std::move(ownRegion))
    , regions_({ownRegion_})
{
}

void Population::setRegions(const std::set<RegionName> &regions)
{
    regions_ = regions;
    regions_.insert(ownRegion_);
}

bool Population::valid(const Evidence &evidence, Time now) const
{
    return now - evidence.at <= options_.memory;
}

void Population::seen(const RegionName &region, std::size_t instances, Time at)
{
    if (!since_) {
        since_ = at;
    }
    auto &known = evidence_[region];
    const bool covered = std::any_of(known.begin(), known.end(), [&](const Evidence &each) {
        return each.instances >= instances && each.at >= at;
    });
    if (covered) {
        return;
    }
    std::erase_if(known, [&](const Evidence &each) {
        return (each.instances <= instances && each.at <= at) || !valid(each, at);
    });
    known.push_back({instances, at});
    std::sort(known.begin(), known.end(), [](const Evidence &one, const Evidence &other) {
        return one.instances > other.instances;
    });
}

void Population::merge(const std::vector<RegionPopulation> &reports, Time now)
{
    since_ = since_.value_or(now);
    for (const auto &report : reports) {
        toldOfOwnRegion_ = toldOfOwnRegion_ || report.region == ownRegion_;
        seen(report.region, report.instances, now - milliseconds(report.ageMs));
    }
}

std::vector<RegionPopulation> Population::reports(Time now) const
{
    std::vector<RegionPopulation> result;
    for (const auto &[region, known] : evidence_) {
        const auto largest = std::find_if(known.begin(), known.end(),
                                          [&](const Evidence &each) { return valid(each, now); });
        if (largest != known.end()) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - largest->at);
            result.push_back({region, static_cast<std::uint32_t>(largest->instances),
                              static_cast<std::uint32_t>(age.count())});
        }
    }
    return result;
}

void Population::postpone(Duration suspension)
{
    for (auto &[region, known] : evidence_) {
        for (auto &each : known) {
            each.at += suspension;
        }
    }
}

std::size_t Population::inRegion(const RegionName &region, Time now) const
{
    const auto found = evidence_.find(region);
    if (found == evidence_.end()) {
        return 0;
    }
    const auto &known = found->second;
    const auto largest = std::find_if(known.begin(), known.end(),
                                      [&](const Evidence &each) { return valid(each, now); });
    return largest == known.end() ? 0 : largest->instances;
}

bool Population::mayBeIncomplete(Time now) const
{
    return !since_ || now - *since_ <= options_.memory;
}

std::size_t Population::inOwnRegion(std::size_t unheardSeeds, Time now) const
{
    const auto instances = std::max<std::size_t>(1, inRegion(ownRegion_, now));
    const bool seedsCount = !toldOfOwnRegion_ && mayBeIncomplete(now);
    return instances + (seedsCount ? unheardSeeds : 0);
}

std::optional<std::size_t> Population::total(bool seedsUnheard, Time now) const
{
    const bool incomplete = mayBeIncomplete(now);
    if (incomplete && seedsUnheard && !toldOfOwnRegion_) {
        return std::nullopt;
    }
    std::size_t sum = 0;
    for (const auto &region : regions_) {
        const auto instances = inRegion(region, now);
        if (instances == 0 && incomplete) {
            return std::nullopt;
        }
        sum += instances;
    }
    return std::max<std::size_t>(1, sum);
}

} // namespace LaburnumChute::Fleet
