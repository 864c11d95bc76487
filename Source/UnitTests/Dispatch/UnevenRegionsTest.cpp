#include <cmath>
#include <functional>

#include <gtest/gtest.h>

#include "Herd.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr milliseconds OneWay{60};
constexpr milliseconds Objective{500};
constexpr milliseconds Hold{60};
constexpr milliseconds WarmUp{2000};

struct Regions;

struct Region : Herd
{
    struct Origin
    {
        std::size_t region = 0;
        std::size_t instance = 0;
        CallId call = 0;
    };

    void forwarded(std::size_t instance, const Forward &forward) override;
    void ended(CallId call, AttemptOutcome outcome) override;

    Regions *all = nullptr;
    std::size_t index = 0;
    std::map<CallId, CallFacts> callers;
    std::map<CallId, Origin> origins;
};

/// Regions whose instances forward requests to each other and hear of each other half a second
/// late.
struct Regions
{
    Regions(std::size_t instances, std::vector<std::size_t> endpoints)
        : regions(endpoints.size())
    {
        for (std::size_t index = 0; index < regions.size(); ++index) {
            regions[index].build(instances, endpoints[index], HerdService, 6, name(index));
            regions[index].staggered_ = true;
            regions[index].all = this;
            regions[index].index = index;
            std::vector<RegionName> others;
            for (std::size_t other = 0; other < regions.size(); ++other) {
                if (other != index) {
                    others.emplace_back(name(other));
                }
            }
            for (auto &scheduler : regions[index].schedulers_) {
                scheduler->setFleet(regions[index].ids_, instances * regions.size(), others);
            }
        }
    }

    static std::string name(std::size_t index)
    {
        return "region-" + std::to_string(index);
    }

    /// @param rates requests per second of each region at a time since the start
    void simulate(milliseconds time, const std::function<double(std::size_t, Duration)> &rates)
    {
        const auto start = now;
        for (milliseconds elapsed(0); elapsed < time + seconds(2); elapsed += Step) {
            now = start + elapsed;
            measured = elapsed >= WarmUp;
            for (std::size_t index = 0; index < regions.size() && elapsed < time; ++index) {
                std::poisson_distribution<int> count(rates(index, elapsed)
                                                     * Common::toSeconds(Step));
                for (int left = count(random); left > 0; --left) {
                    arrive(regions[index]);
                }
            }
            exchange();
            for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin())) {
                due.begin()->second();
            }
            for (auto &region : regions) {
                region.advance(Step);
            }
        }
    }

    void arrive(Region &region)
    {
        const auto instances = region.schedulers_.size();
        std::vector<double> weights(instances, 1);
        weights.front() = std::max<double>(1, static_cast<double>(instances) - 1);
        std::discrete_distribution<std::size_t> instance(weights.begin(), weights.end());
        auto facts = region.request(Objective);
        facts.maxRuns = 2;
        region.callers[facts.id] = facts;
        submitted += measured ? 1 : 0;
        submit(region, instance(random), facts);
    }

    void submit(Region &region, std::size_t instance, const CallFacts &facts)
    {
        std::exponential_distribution<double> work(1 / Common::toSeconds(Hold));
        const std::chrono::duration<double> drawn(work(random));
        region.submit(instance, facts, std::chrono::duration_cast<Duration>(drawn));
    }

    void exchange()
    {
        for (std::size_t from = 0; from < regions.size(); ++from) {
            for (std::size_t sender = 0; sender < regions[from].schedulers_.size(); ++sender) {
                if (!regions[from].reportsNow(sender)) {
                    continue;
                }
                const auto report = regions[from].schedulers_[sender]->crossRegionLoadReport(now);
                due.emplace(now + milliseconds(500), [this, from, sender, report] {
                    for (auto &region : regions) {
                        for (auto &scheduler : region.schedulers_) {
                            if (region.index != from) {
                                scheduler->setCrossRegionLoadReport(RegionName(name(from)),
                                                                    regions[from].ids_[sender],
                                                                    report, now);
                            }
                        }
                    }
                });
            }
        }
    }

    static constexpr const char *HerdService = "desk";
    std::vector<Region> regions;
    std::multimap<Time, std::function<void()>> due;
    Time now = Time(seconds(1000));
    std::mt19937 random{5};
    bool measured = false;
    int submitted = 0;
    int inTime = 0;
    int rejected = 0;
    int forwards = 0;
    int refused = 0;
};

void Region::forwarded(std::size_t instance, const Forward &forward)
{
    ++all->forwards;
    all->due.emplace(all->now + OneWay, [this, instance, forward] {
        auto &to = *std::find_if(all->regions.begin(), all->regions.end(), [&](const auto &region) {
            return Regions::name(region.index) == forward.region.text();
        });
        auto facts = callers.at(forward.call);
        facts.id = to.nextId_++;
        facts.forwarded = true;
        to.origins[facts.id] = {index, instance, forward.call};
        const std::uniform_int_distribution<std::size_t>::param_type range(0, to.schedulers_.size()
                                                                                  - 1);
        std::uniform_int_distribution<std::size_t> any(range);
        all->submit(to, any(all->random), facts);
    });
}

void Region::ended(CallId call, AttemptOutcome outcome)
{
    const auto origin = origins.find(call);
    if (origin != origins.end()) {
        all->refused += outcome == AttemptOutcome::NotRun ? 1 : 0;
        all->due.emplace(all->now + OneWay, [this, from = origin->second, outcome] {
            auto &home = all->regions[from.region];
            auto &scheduler = *home.schedulers_[from.instance];
            if (outcome == AttemptOutcome::Completed) {
                scheduler.answering(from.call, all->now);
                home.ended(from.call, outcome);
            }
            home.apply(from.instance, scheduler.ended(from.call, outcome, true, all->now));
        });
        return;
    }
    const auto &facts = callers.at(call);
    if (facts.arrivedAt < Time(seconds(1000)) + WarmUp) {
        return;
    }
    all->rejected += outcome == AttemptOutcome::NotRun ? 1 : 0;
    all->inTime += outcome == AttemptOutcome::Completed && now_ <= facts.objectiveAt ? 1 : 0;
}

/// Fraction of calls that may be late: those that take longer than what is left of the objective
/// after the wait up to which calls are sent at once.
const double LateByChance = std::exp(-((1 - DispatchOptions().objectiveFraction) * Objective + Hold)
                                     / Common::Duration(Hold));

void expectServed(const Regions &regions, std::size_t instances)
{
    EXPECT_GE(regions.inTime, regions.submitted * (1 - LateByChance)) << instances;
}

/// Requests per second: of a rush beyond the capacity of three endpoints, of one that needs most of
/// the other regions' spare capacity, and of an idle region.
constexpr double Rush = 340;
constexpr double GreatRush = 450;
constexpr double Idle = 0.2 * 120;

} // namespace

// Guards against an even division of spare capacity among instances: half of the rush arrives at
// one of them, and the others hold what it needs.
TEST(UnevenRegionsTest, OtherRegionsServeTheRushOfOne)
{
    for (const double rush : {Rush, GreatRush}) {
        for (const std::size_t instances : {1, 8}) {
            Regions regions(instances, {3, 2, 2});
            regions.simulate(seconds(8), [&](std::size_t region, Duration) {
                return region == 0 ? rush : Idle;
            });
            expectServed(regions, instances);
        }
    }
}

// Guards against holding on to a region whose own rush begins.
TEST(UnevenRegionsTest, TheRushMovesFromOneRegionToTheNext)
{
    for (const std::size_t instances : {1, 8}) {
        Regions regions(instances, {3, 3, 3});
        regions.simulate(seconds(14), [](std::size_t region, Duration at) {
            return region == static_cast<std::size_t>(at / seconds(4)) % 3 ? Rush : Idle;
        });
        expectServed(regions, instances);
        EXPECT_LE(regions.refused, regions.forwards / 50) << instances;
    }
}

} // namespace LaburnumChute::Dispatch
