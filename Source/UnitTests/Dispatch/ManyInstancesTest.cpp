#include "RegionSimulation.h"

namespace LaburnumChute::Dispatch {

namespace {

/// Permitted loss of many instances compared to a single one, which has exact data.
constexpr double Loss = 0.03;
constexpr std::size_t InstanceCounts[] = {1, 4, 12, 40, 120};

void expectAsGoodAsOneInstance(Load load)
{
    const auto one = RegionSimulation(load, 1).simulate();
    for (const auto instances : InstanceCounts) {
        const auto many = RegionSimulation(load, instances).simulate();
        EXPECT_GE(many.inTime / many.submitted, one.inTime / one.submitted - Loss) << instances;
        EXPECT_LE(many.rejected / many.submitted, one.rejected / one.submitted + Loss) << instances;
        if (load.longPerEngine > 0) {
            EXPECT_LE(many.sharedPrefills / many.longPrefills,
                      one.sharedPrefills / one.longPrefills + Loss)
                << instances;
        }
    }
}

/// Request rate as a multiple of the capacity.
constexpr double Overload = 1.4;

Load longPromptsBeyondTheCapacity()
{
    Load load;
    load.sharedParts = 0;
    load.prefillFraction = 0.33;
    load.shortPerEngine = 0;
    load.longPerEngine = Overload * load.prefillFraction * TokensPerMillisecond * 1000
                         / static_cast<double>(OwnTokens);
    return load;
}

void expectBusyEngines(Load load, double capacity)
{
    for (const auto instances : InstanceCounts) {
        const auto many = RegionSimulation(load, instances).simulate();
        EXPECT_GE(many.inTime, 0.85 * capacity) << instances;
    }
}

} // namespace

// Guards against dividing slots of engines among instances so that each has too few: requests would
// be rejected, and parts of prompts copied and prefilled again, while engines are half empty.
TEST(ManyInstancesTest, HalfOfTheSlotsServeAsManyAsOneInstanceWould)
{
    for (const int slots : {8, 16, 64}) {
        Load load;
        load.slots = slots;
        load.shortPerEngine = 0.5 * slots / 0.35;
        load.shortPerEngine = std::min(load.shortPerEngine, 40.0);
        load.longPerEngine = slots < 16 ? 1.0 : 1.5;
        expectAsGoodAsOneInstance(load);
    }
}

// Near the capacity each instance waits for slots that others fill and free.
TEST(ManyInstancesTest, NearTheCapacityAsManyAreServedAsByOneInstance)
{
    Load load;
    load.shortPerEngine = 0.75 * load.slots / 0.4;
    load.longPerEngine = 2;
    expectAsGoodAsOneInstance(load);
}

// Beyond the capacity, slots are kept busy with requests that will be in time.
TEST(ManyInstancesTest, BeyondTheCapacityTheSlotsAreKeptBusy)
{
    Load load;
    load.longPerEngine = 0;
    const auto hold = std::chrono::duration<double>(ShortHold + Floor).count() + 0.0095;
    const double perEngine = load.slots / hold;
    load.shortPerEngine = Overload * perEngine;
    expectBusyEngines(load, perEngine * load.engines * Common::toSeconds(Measured));
}

// Engines that generate answers prefill at a third of their idle speed, and no instance observes
// many of their answers. Prompts that are admitted according to the speed of idle engines are late.
TEST(ManyInstancesTest, BeyondTheCapacityLongPromptsThatAreLetInAreInTime)
{
    const auto load = longPromptsBeyondTheCapacity();
    for (const auto instances : InstanceCounts) {
        const auto many = RegionSimulation(load, instances).simulate();
        EXPECT_LE(many.submitted - many.inTime - many.rejected, Loss * many.submitted) << instances;
    }
}

// A hundred instances share a few slots for short calls. Load reports are outdated when they
// arrive, and each instance has too few calls of its own to estimate the load from.
TEST(ManyInstancesTest, SlotsOfAPlainServiceServeAsManyAsOneInstanceWould)
{
    for (const double use : {0.6, 0.85}) {
        Load load;
        load.plainCall = milliseconds(30);
        load.engines = 3;
        load.slots = 6;
        load.longPerEngine = 0;
        load.shortPerEngine = use * load.slots / Common::toSeconds(load.plainCall);
        expectAsGoodAsOneInstance(load);
    }
}

TEST(ManyInstancesTest, BeyondTheCapacitySlotsOfAPlainServiceAreKeptBusy)
{
    Load load;
    load.plainCall = milliseconds(30);
    load.engines = 3;
    load.slots = 6;
    load.longPerEngine = 0;
    const double perEndpoint = load.slots / Common::toSeconds(load.plainCall);
    load.shortPerEngine = Overload * perEndpoint;
    expectBusyEngines(load, perEndpoint * load.engines * Common::toSeconds(Measured));
}

} // namespace LaburnumChute::Dispatch
