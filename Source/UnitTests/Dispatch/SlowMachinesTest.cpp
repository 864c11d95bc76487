#include <gtest/gtest.h>

#include "RegionSimulation.h"

namespace LaburnumChute::Dispatch::RegionLoad {

namespace {

/// Of the engines, 15% are 2.5 times slow for 600 ms at a time.
Load engines()
{
    Load load;
    load.slowFraction = 0.15;
    load.warmUp = milliseconds(12000);
    load.measured = milliseconds(8000);
    load.shortObjective = milliseconds(600);
    load.longObjective = milliseconds(1000);
    load.tokensPerMillisecond = 16;
    load.longPerEngine = 1;
    return load;
}

/// The same with endpoints of a plain service, at nine tenths of their capacity.
Load plainEndpoints()
{
    auto load = engines();
    load.plainCall = milliseconds(60);
    load.engines = 6;
    load.slots = 6;
    load.longPerEngine = 0;
    load.shortPerEngine = 73;
    return load;
}

struct Outcomes
{
    double submitted = 0;
    double inTime = 0;
    double late = 0;
};

/// Sums over several courses of the machines' speeds.
Outcomes simulate(Load load, Figures figures, std::size_t instances)
{
    load.figures = figures;
    Outcomes sum;
    for (load.speedSeed = 11; load.speedSeed <= 15; ++load.speedSeed) {
        const auto outcome = RegionSimulation(load, instances).simulate();
        sum.submitted += outcome.submitted;
        sum.inTime += outcome.inTime;
        sum.late += outcome.shortLate;
    }
    return sum;
}

void expectFiguresHelp(const Load &load, std::size_t instances)
{
    constexpr double LateRatio = 0.8;
    constexpr double Loss = 0.01;
    const auto none = simulate(load, Figures::None, instances);
    const auto exact = simulate(load, Figures::True, instances);
    const auto wrong = simulate(load, Figures::False, instances);
    EXPECT_LE(exact.late, LateRatio * none.late) << instances;
    EXPECT_GE(exact.inTime / exact.submitted, none.inTime / none.submitted) << instances;
    EXPECT_GE(wrong.inTime / wrong.submitted, none.inTime / none.submitted - Loss) << instances;
}

} // namespace

// Guards against sending short prompts behind long ones on machines that are known to be slow, and
// against harm by false figures.
TEST(SlowMachinesTest, FewerShortPromptsAreLateThanWithoutFigures)
{
    auto load = engines();
    load.shortPerEngine = 9.3;
    expectFiguresHelp(load, 8);
    // A single instance has exact data: prompts are late only with more load.
    load.shortPerEngine = 20;
    expectFiguresHelp(load, 1);
}

TEST(SlowMachinesTest, FewerPlainCallsAreLateThanWithoutFigures)
{
    expectFiguresHelp(plainEndpoints(), 1);
    expectFiguresHelp(plainEndpoints(), 8);
}

} // namespace LaburnumChute::Dispatch::RegionLoad
