// What happens to the fleet in a simulation: reports, summaries, ticks, losses.

#include <algorithm>

#include "SimulationParts.h"

namespace LaburnumChute::Experiments {

namespace {

using namespace Decisions;

constexpr double TickSeconds = 0.02;
constexpr double SummarySeconds = 0.5;
/// Cache events come with gaps.
constexpr double LostCacheEvents = 0.05;

} // namespace

void Simulation::listEndpoints()
{
    std::vector<EndpointFacts> list;
    for (const auto &engine : engines_) {
        if (engine->lost) {
            continue;
        }
        EndpointFacts facts;
        facts.id = EndpointId(engine->runner.id);
        facts.targets = {engine->runner.target};
        facts.region =
            RegionName(trace_.fleet.regions[static_cast<std::size_t>(engine->runner.region)]);
        list.push_back(std::move(facts));
    }
    for (auto &gateway : gateways_) {
        apply(*gateway, gateway->scheduler.updateEndpoints(list, now_));
    }
}

bool Simulation::lostEvent()
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < LostCacheEvents;
}

void Simulation::report()
{
    for (const auto &engine : engines_) {
        auto report = engine->fake.report();
        report.age = fromSeconds(options_.reportLagSeconds);
        const EndpointId id(engine->runner.id);
        auto events = engine->fake.takeCacheEvents();
        std::erase_if(events, [this](const auto & /*event*/) { return lostEvent(); });
        after(options_.reportLagSeconds, [this, id, report, events = std::move(events)] {
            for (auto &gateway : gateways_) {
                for (const auto &event : events) {
                    gateway->scheduler.cacheEvent(id, event.operation, event.block, 0, now_);
                }
                apply(*gateway, gateway->scheduler.reportLoad(id, report, now_));
            }
        });
    }
    after(options_.reportEverySeconds, [this] { report(); });
}

void Simulation::exchangeRegions()
{
    // One summary for each region and target: the mean of its instances' views.
    std::map<std::pair<RegionName, Target>, RegionSummary> summaries;
    for (const auto &gateway : gateways_) {
        for (auto &part : gateway->scheduler.regionSummary(now_)) {
            auto &sum = summaries[{part.region, part.target}];
            const double free =
                sum.freeTokensPerSecond + part.freeTokensPerSecond / options_.instancesPerRegion;
            const auto wait = sum.expectedWait + part.expectedWait / options_.instancesPerRegion;
            sum = part;
            sum.freeTokensPerSecond = free;
            sum.expectedWait = wait;
            sum.linkDelay = fromSeconds(RegionLinkSeconds);
            sum.linkMegabitsPerSecond = trace_.fleet.linkMegabitsPerSecond;
            sum.age = sum.linkDelay;
        }
    }
    std::vector<RegionSummary> list;
    for (const auto &[key, value] : summaries) {
        list.push_back(value);
    }
    after(RegionLinkSeconds, [this, list] {
        for (auto &gateway : gateways_) {
            apply(*gateway, gateway->scheduler.updateRegions(list, now_));
        }
    });
    after(SummarySeconds, [this] { exchangeRegions(); });
}

void Simulation::tickAll()
{
    for (auto &gateway : gateways_) {
        const auto wakeup = gateway->scheduler.nextWakeup();
        if (wakeup && *wakeup <= now_) {
            apply(*gateway, gateway->scheduler.tick(now_));
        }
    }
    after(TickSeconds, [this] { tickAll(); });
}

void Simulation::setLost(bool lost)
{
    const auto count =
        static_cast<std::size_t>(options_.lostShare * static_cast<double>(engines_.size()));
    // Runners are listed model by model and region by region: region 0 is lost first.
    std::vector<Engine *> byRegion;
    for (const auto &engine : engines_) {
        byRegion.push_back(engine.get());
    }
    std::stable_sort(byRegion.begin(), byRegion.end(), [](const auto *one, const auto *other) {
        return one->runner.region < other->runner.region;
    });
    for (std::size_t index = 0; index < count; ++index) {
        auto &engine = *byRegion[index];
        engine.lost = lost;
        const auto aboard = std::move(engine.gatewayOf);
        engine.gatewayOf.clear();
        for (const auto &[id, gateway] : aboard) {
            engine.fake.cancel(id);
            apply(*gateway, gateway->scheduler.finished(RequestId(id), EndpointId(engine.runner.id),
                                                        Outcome::EndpointDied, now_));
        }
    }
    listEndpoints();
}

} // namespace LaburnumChute::Experiments
