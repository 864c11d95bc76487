#include <gtest/gtest.h>

#include "CrashSimulation.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::ptrdiff_t AllowedLateArrivals = 3;
constexpr milliseconds Played{20000};

class CrashingRequestTest : public testing::TestWithParam<std::size_t>
{
protected:
    static std::string describe(const CrashOutcome &outcome)
    {
        return fmt::format("{} crashes, {} arrivals, {} of {} ordinary requests quarantined",
                           outcome.crashes, outcome.arrivals.size(), outcome.ordinaryQuarantined,
                           outcome.ordinary);
    }
    /// Plays the setting with several seeds.
    static std::vector<CrashOutcome> simulate(const CrashSetting &setting)
    {
        constexpr unsigned Seeds = 5;
        std::vector<CrashOutcome> outcomes;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            outcomes.push_back(CrashSimulation(setting, seed).simulate(Played));
        }
        return outcomes;
    }
    static void expectStopped(const CrashSetting &setting)
    {
        for (const auto &outcome : simulate(setting)) {
            EXPECT_LE(outcome.lateArrivals(), AllowedLateArrivals) << describe(outcome);
        }
    }
    static CrashSetting setting()
    {
        CrashSetting setting;
        setting.instancesPerRegion = GetParam();
        setting.enginesPerRegion = std::max<std::size_t>(4, GetParam() / 8);
        return setting;
    }
};

// All requests on a busy engine break at once when it crashes. Guards against crashes that are
// attributed to no request, since the endpoint is ejected before a connection to it is refused.
TEST_P(CrashingRequestTest, StopsReachingBusyEngines)
{
    expectStopped(setting());
}

// Nothing but the crashing request uses the service. Guards against a crash that is never noticed,
// since no further connection is attempted before the engine is replaced.
TEST_P(CrashingRequestTest, StopsReachingIdleEngines)
{
    auto idle = setting();
    idle.ordinaryPerEngine = 0;
    idle.crashingInterval = milliseconds(700);
    expectStopped(idle);
}

// Each attempt runs once, at any instance. Guards against deaths that are known to one instance
// each.
TEST_P(CrashingRequestTest, StopsAlthoughEachInstanceSeesOneCrash)
{
    auto once = setting();
    once.maxRuns = 1;
    expectStopped(once);
}

// Copies arrive together at several instances. Guards against copies that run before the crash
// under the first one is known.
TEST_P(CrashingRequestTest, StopsWhenCopiesArriveTogether)
{
    auto copies = setting();
    copies.copies = 3;
    copies.crashingInterval = milliseconds(600);
    expectStopped(copies);
}

// Guards against a request that is sent to engines anew by each instance that was restarted.
TEST_P(CrashingRequestTest, StopsAgainAfterAllInstancesWereRestarted)
{
    auto restart = setting();
    restart.restartAllAt = milliseconds(11000);
    expectStopped(restart);
}

// Each repeat has another query, and no request breaks off twice. Guards against evidence that is
// kept for the whole target only.
TEST_P(CrashingRequestTest, StopsAlthoughItsQueryChanges)
{
    auto varying = setting();
    varying.queryVaries = true;
    expectStopped(varying);
}

// Guards against a crash that is known in its own region only until a second one follows there.
TEST_P(CrashingRequestTest, StopsWhenEachRegionHasOneEngine)
{
    auto single = setting();
    single.regions = 3;
    single.enginesPerRegion = 1;
    single.maxRuns = 1;
    expectStopped(single);
}

// Processes that were restarted do not have the crashed engines in their list. Guards against
// reported breaks that are neither confirmed nor refuted there and expire.
TEST_P(CrashingRequestTest, StopsWhenRegionsAreCutAfterARestart)
{
    auto cut = setting();
    cut.restartAllAt = milliseconds(3600);
    cut.regionsCutAt = milliseconds(3800);
    cut.maxRuns = 1;
    expectStopped(cut);
}

// Requests that ran beside the crashing one are attempted again. Guards against a quarantine of
// requests that only shared engines with it.
TEST_P(CrashingRequestTest, SpareRequestsThatSharedAnEngine)
{
    for (const auto &outcome : simulate(setting())) {
        EXPECT_LE(outcome.ordinaryQuarantined, outcome.ordinary / 200) << describe(outcome);
    }
}

// No instance hears from any other. Guards against one instance after another that lets the request
// crash two engines.
TEST(CutCrashingRequestTest, StopsWhenNoInstanceHearsFromAnother)
{
    CrashSetting cut;
    cut.instancesPerRegion = 2;
    cut.allCutAt = milliseconds(0);
    cut.crashingInterval = milliseconds(1000);
    cut.maxRuns = 1;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        const auto outcome = CrashSimulation(cut, seed).simulate(Played);
        EXPECT_LE(outcome.lateArrivals(), AllowedLateArrivals) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Instances, CrashingRequestTest, testing::Values(2, 12, 40));

} // namespace

} // namespace LaburnumChute::Dispatch
