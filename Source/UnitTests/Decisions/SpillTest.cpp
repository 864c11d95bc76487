#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Support.h"

namespace LaburnumChute::Decisions {

using namespace Testing;

namespace {

RequestFacts anywhere(const std::string &id)
{
    auto facts = request(id, id);
    facts.allowedRegions = {Sapporo, Asahikawa, Hakodate};
    return facts;
}

/// Offers a second's work to a full home region ten times a second; forwards in each second.
std::vector<int> forwardsBySecond(World &world, int seconds, int perSecond,
                                  const RegionSummary &other)
{
    std::vector<int> result;
    int serial = 0;
    for (int second = 0; second < seconds; ++second) {
        int forwards = 0;
        for (int index = 0; index < perSecond; ++index) {
            world.scheduler.updateRegions({other}, world.now);
            const auto effects = world.submit(anywhere("s" + std::to_string(serial++)));
            forwards += static_cast<int>(all<Forward>(effects).size());
            world.now += std::chrono::microseconds(1000000 / perSecond);
        }
        result.push_back(forwards);
    }
    return result;
}

// The desks of another region are idle, but say that they have no room, since a plain service has
// no decode steps to reckon by. An order whose own desk refuses it would never be sent there.
TEST(SpillTest, IdlePlainServiceHasRoomForOtherRegions)
{
    World world;
    const auto desk = Target::service(ServiceName("order-desk"));
    auto facts = engine("desk");
    facts.targets = {desk};
    world.scheduler.updateEndpoints({facts}, world.now);
    LoadReport report;
    report.batchLimit = 4;
    world.scheduler.reportLoad(EndpointId("desk"), report, world.now);
    const auto summaries = world.scheduler.regionSummary(world.now);
    ASSERT_EQ(summaries.size(), 1U);
    EXPECT_GT(summaries.front().freeTokensPerSecond, 0);
    EXPECT_DOUBLE_EQ(summaries.front().utilisation, 0);
}

TEST(SpillTest, HomeComesFirstWhileItHasRoom)
{
    World world;
    world.addEngines(2);
    world.scheduler.updateRegions({summary(Asahikawa)}, world.now);
    for (int index = 0; index < 10; ++index) {
        EXPECT_TRUE(has<Dispatch>(world.submit(anywhere("r" + std::to_string(index)))));
    }
}

// The data of a ward office may not leave Sapporo, whose engines are all lost. An answer from
// another region would be a breach; the caller is refused.
TEST(SpillTest, ResidencyIsAHardBound)
{
    World world;
    world.scheduler.updateRegions({summary(Asahikawa)}, world.now);
    const auto refusals = all<Reject>(world.submit(request("r1")));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().run, RunState::NotRun);
    EXPECT_TRUE(has<Forward>(world.submit(anywhere("r2"))));
}

// A caller of Hakodate, whose data must stay there, reaches an entry in Sapporo. Its way to
// Hakodate is not a shift of load: no rate or free share of the spill may turn it away here.
TEST(SpillTest, ARequestThatMayNotRunHereIsAlwaysForwarded)
{
    World world;
    world.addEngines(1);
    auto full = summary(Hakodate);
    full.freeTokensPerSecond = 0;
    for (int index = 0; index < 100; ++index) {
        auto facts = request("r" + std::to_string(index));
        facts.allowedRegions = {Hakodate};
        const auto forwards = all<Forward>(world.submit(facts));
        ASSERT_EQ(forwards.size(), 1U) << index;
        EXPECT_EQ(forwards.front().region, Hakodate);
        if (index == 50) {
            world.scheduler.updateRegions({full}, world.now);
        }
    }
    const auto refusals = all<Reject>(
        world.scheduler.finished(RequestId("r1"), EndpointId(), Outcome::NotStarted, world.now));
    ASSERT_EQ(refusals.size(), 1U);
    EXPECT_EQ(refusals.front().reason, RejectReason::Overloaded);
    EXPECT_GT(refusals.front().retryAfter, Duration(0));
}

// Two regions each think that the other is less busy.
TEST(SpillTest, AForwardedRequestIsNeverForwardedAgain)
{
    World world;
    world.scheduler.updateRegions({summary(Asahikawa), summary(Hakodate)}, world.now);
    auto facts = anywhere("r1");
    facts.forwardedFrom = Asahikawa;
    const auto effects = world.submit(facts);
    EXPECT_FALSE(has<Forward>(effects));
    EXPECT_TRUE(has<Reject>(effects));
}

// The other region turned the request away after all. It is run at home and goes nowhere else.
TEST(SpillTest, ARequestThatComesBackStaysAtHome)
{
    World world;
    world.scheduler.updateRegions({summary(Asahikawa), summary(Hakodate)}, world.now);
    ASSERT_TRUE(has<Forward>(world.submit(anywhere("r1"))));
    world.addEngines(1);
    const auto effects = world.take(
        world.scheduler.finished(RequestId("r1"), EndpointId(), Outcome::NotStarted, world.now));
    EXPECT_TRUE(has<Dispatch>(effects));
    EXPECT_FALSE(has<Forward>(effects));
}

// All engines of the region are lost at once while the others have a fifth of their capacity free.
// If all of its load left at once, the caches and queues of the others would collapse under it.
TEST(SpillTest, TheRateOutStartsLowAndStaysWithinTheBound)
{
    World world;
    const auto other = summary(Asahikawa);
    const auto forwards = forwardsBySecond(world, 20, 100, other);
    const double work = 100 + 500 * AdmissionOptions().prefillTokenWeight;
    const double bound = SpillOptions().freeShareWithoutHome * other.freeTokensPerSecond / work;
    EXPECT_LE(forwards.front(), 2 * SpillOptions().startShare * bound + 2);
    EXPECT_GE(forwards.back(), 0.8 * bound);
    for (const auto count : forwards) {
        EXPECT_LE(count, bound + 1);
    }
}

// Long histories over a link of 140 Mbit/s that carries everything else as well.
TEST(SpillTest, TheLinkBudgetIsKept)
{
    World world;
    auto other = summary(Asahikawa);
    other.freeTokensPerSecond = 1e9;
    other.linkMegabitsPerSecond = 1;
    const auto forwards = forwardsBySecond(world, 10, 100, other);
    const double bytes =
        500 * SpillOptions().bytesPerPromptToken + 100 * SpillOptions().bytesPerOutputToken;
    const double bound = SpillOptions().linkShare * 125000 / bytes;
    for (std::size_t second = 1; second < forwards.size(); ++second) {
        EXPECT_LE(forwards[second], bound + 1);
    }
    EXPECT_GE(forwards.back(), 1);
}

TEST(SpillTest, AStaleOrUnreachableRegionGetsNothing)
{
    World world;
    auto lost = summary(Asahikawa);
    lost.reachable = false;
    auto stale = summary(Hakodate);
    stale.age = seconds(6);
    world.scheduler.updateRegions({lost, stale}, world.now);
    EXPECT_TRUE(has<Reject>(world.submit(anywhere("r1"))));
}

/// One random step against a scheduler whose requests carry random residency rules.
struct Player
{
    static SchedulerOptions options()
    {
        auto result = tightOptions();
        // Few saved retries, so that the budget is soon what decides.
        result.retry.budgetMaximum = 1;
        result.retry.sufferingShare = 2;
        return result;
    }

    World world{options(), 3};
    std::map<std::string, RequestFacts> facts;
    std::map<std::string, int> forwards;
    std::set<std::string> forwarded;
    int serial = 0;
    int notStarted = 0;

    void check(const Effects &effects)
    {
        for (const auto &sent : all<Dispatch>(effects)) {
            const auto &allowed = facts.at(sent.request.text()).allowedRegions;
            RC_ASSERT(std::find(allowed.begin(), allowed.end(), Sapporo) != allowed.end());
        }
        for (const auto &sent : all<Forward>(effects)) {
            const auto &request = facts.at(sent.request.text());
            const auto &allowed = request.allowedRegions;
            RC_ASSERT(std::find(allowed.begin(), allowed.end(), sent.region) != allowed.end());
            RC_ASSERT(request.forwardedFrom.empty());
            RC_ASSERT(++forwards[sent.request.text()] == 1);
            forwarded.insert(sent.request.text());
        }
    }

    void submit()
    {
        auto request = Testing::request("r" + std::to_string(serial++));
        request.allowedRegions.clear();
        for (const auto &region : {Sapporo, Asahikawa, Hakodate}) {
            if (*rc::gen::arbitrary<bool>()) {
                request.allowedRegions.push_back(region);
            }
        }
        request.forwardedFrom = *rc::gen::element(RegionName(), Hakodate);
        request.repeatable = *rc::gen::arbitrary<bool>();
        facts[request.id.text()] = request;
        check(world.submit(request));
    }

    void endOne()
    {
        const auto outcome = *rc::gen::element(Outcome::Completed, Outcome::NotStarted,
                                               Outcome::Failed, Outcome::EndpointDied);
        if (!forwarded.empty() && *rc::gen::arbitrary<bool>()) {
            const auto id = *forwarded.begin();
            forwarded.erase(id);
            check(world.finishOn(id, "", outcome));
            return;
        }
        for (const auto &[endpoint, requests] : world.on) {
            if (!requests.empty()) {
                notStarted += outcome == Outcome::NotStarted ? 1 : 0;
                check(world.finishOn(*requests.begin(), endpoint, outcome));
                return;
            }
        }
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            check(world.tickAfter(milliseconds(200)));
            return;
        case 1:
            world.scheduler.updateRegions({summary(Asahikawa), summary(Hakodate)}, world.now);
            return;
        case 2:
            world.addEngines(*rc::gen::inRange(0, 3));
            return;
        case 3:
            endOne();
            return;
        default:
            submit();
        }
    }
};

RC_GTEST_PROP(SpillProperty, ResidencyIsNeverBrokenAndNothingIsForwardedTwice, ())
{
    Player player;
    for (int index = 0; index < 150; ++index) {
        player.step();
    }
}

RC_GTEST_PROP(RetryProperty, TheBudgetIsNeverExceeded, ())
{
    Player player;
    for (int index = 0; index < 300; ++index) {
        player.step();
    }
    const RetryOptions retry = Player::options().retry;
    const auto first = player.facts.size();
    std::set<std::string> sent(player.world.order.begin(), player.world.order.end());
    const auto again = static_cast<double>(player.world.order.size() - sent.size());
    // What was not started may go on to another endpoint without the budget.
    RC_ASSERT(again <= player.notStarted + retry.budgetMaximum
                           + retry.budgetShare * static_cast<double>(first));
}

} // namespace

} // namespace LaburnumChute::Decisions
