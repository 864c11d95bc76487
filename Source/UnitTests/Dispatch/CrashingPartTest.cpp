#include <gtest/gtest.h>

#include "CrashSimulation.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::ptrdiff_t AllowedLateArrivals = 3;
constexpr milliseconds Played{24000};
/// The users' rule for ordinary requests after the crashes, as a share of those before.
constexpr double LeastBegunShare = 0.5;

class CrashingPartTest : public testing::TestWithParam<std::size_t>
{
protected:
    static CrashSetting setting()
    {
        CrashSetting setting;
        setting.instancesPerRegion = GetParam();
        setting.enginesPerRegion = std::max<std::size_t>(4, GetParam() / 8);
        setting.crashingInterval = milliseconds(400);
        setting.prompts = PromptSetting();
        return setting;
    }
    static void expectStopped(const CrashSetting &setting)
    {
        const unsigned seeds = setting.instancesPerRegion > 12 ? 1 : 3;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            SCOPED_TRACE(fmt::format("seed {}", seed));
            const auto outcome = CrashSimulation(setting, seed).simulate(Played);
            EXPECT_GE(outcome.crashes, 1) << "nothing was played";
            EXPECT_LE(outcome.mostLateArrivalsOfAPart(), AllowedLateArrivals)
                << outcome.crashes << " crashes";
            expectSoundRequestsServed(outcome);
        }
    }
    static void expectNoneCondemned(std::size_t soundParts)
    {
        auto sound = setting();
        sound.copies = 0;
        sound.otherCrashes = milliseconds(700);
        sound.prompts->soundParts = soundParts;
        const unsigned seeds = GetParam() > 12 ? 1 : 3;
        for (unsigned seed = 1; seed <= seeds; ++seed) {
            const auto outcome = CrashSimulation(sound, seed).simulate(Played);
            EXPECT_LE(outcome.ordinaryQuarantined, outcome.ordinary / 200) << "seed " << seed;
        }
    }
    static void expectSoundRequestsServed(const CrashOutcome &outcome)
    {
        const auto settled = outcome.settledAt();
        if (!settled) {
            return;
        }
        const Time begun = Time(seconds(1000));
        const auto before = outcome.begunShare(begun, begun + CrashesBegin);
        const auto after = outcome.begunShare(*settled, begun + Played - seconds(1));
        EXPECT_GE(after, LeastBegunShare * before);
    }
};

// Guards against evidence that is kept for whole requests only.
TEST_P(CrashingPartTest, StopsReachingBusyEngines)
{
    expectStopped(setting());
}

// Guards against a sound part that is condemned, since hardly any request shows that it is sound.
TEST_P(CrashingPartTest, StopsAmongFewSoundRequests)
{
    auto idle = setting();
    idle.ordinaryPerEngine = 6.0 / static_cast<double>(idle.enginesPerRegion);
    expectStopped(idle);
}

// Guards against requests that crash one engine each.
TEST_P(CrashingPartTest, StopsAlthoughNoRequestIsRetried)
{
    auto once = setting();
    once.maxRuns = 1;
    expectStopped(once);
}

// Guards against condemning the first part, which all crashes have in common.
TEST_P(CrashingPartTest, StopsWithTwoBadParts)
{
    auto two = setting();
    two.prompts->badParts = 2;
    two.crashingInterval = milliseconds(250);
    expectStopped(two);
}

// Guards against evidence that only the crashed engines' own answers would refute or confirm.
TEST_P(CrashingPartTest, StopsAmidOtherCrashes)
{
    auto others = setting();
    others.otherCrashes = milliseconds(1500);
    expectStopped(others);
}

// Guards against a verdict that is lost, or sound parts that are condemned, at a start with an
// empty memory.
TEST_P(CrashingPartTest, StopsAfterAllInstancesWereRestarted)
{
    auto restart = setting();
    restart.restartAllAt = milliseconds(2500);
    expectStopped(restart);
}

// Guards against islands of instances that each have to see all crashes.
TEST_P(CrashingPartTest, StopsWhileRegionsAreCut)
{
    auto cut = setting();
    cut.regionsCutAt = milliseconds(1000);
    expectStopped(cut);
}

// As above, among instances that have just started.
TEST_P(CrashingPartTest, StopsWhileRegionsAreCutAfterARestart)
{
    auto cut = setting();
    cut.restartAllAt = milliseconds(2500);
    cut.regionsCutAt = milliseconds(2500);
    expectStopped(cut);
}

// Guards against answers whose end shows nothing, and that clear neither sound parts nor bad ones.
TEST_P(CrashingPartTest, StopsAmongAnswersWithoutLength)
{
    auto unframed = setting();
    unframed.prompts->answersWithoutLength = true;
    expectStopped(unframed);
}

// Engines crash, and no part of a prompt is the cause. Guards against rejecting sound requests.
TEST_P(CrashingPartTest, OtherCrashesCondemnNoPart)
{
    expectNoneCondemned(4);
}

TEST_P(CrashingPartTest, OtherCrashesCondemnNoneOfManyParts)
{
    expectNoneCondemned(400);
}

// No instance hears from any other. Guards against one instance after another that waits for as
// many crashes as if it did.
TEST(CutCrashingPartTest, StopsWhenNoInstanceHearsFromAnother)
{
    CrashSetting cut;
    cut.instancesPerRegion = 2;
    cut.allCutAt = milliseconds(0);
    cut.crashingInterval = milliseconds(400);
    cut.prompts = PromptSetting();
    for (unsigned seed = 1; seed <= 5; ++seed) {
        const auto outcome = CrashSimulation(cut, seed).simulate(Played);
        EXPECT_LE(outcome.mostLateArrivalsOfAPart(), AllowedLateArrivals) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Instances, CrashingPartTest, testing::Values(2, 12, 40));

} // namespace

} // namespace LaburnumChute::Dispatch
