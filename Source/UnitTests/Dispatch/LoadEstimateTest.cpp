#include <numeric>

#include <gtest/gtest.h>

#include "Dispatch/LoadEstimate.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr std::uint32_t Service = 7;
const Time Now = Time(seconds(1000));

EndpointLoad endpoint(std::uint32_t id, int slots)
{
    EndpointLoad load;
    load.endpoint = id;
    load.slots = slots;
    return load;
}

RegionLoadReport loadReport(std::vector<EndpointUse> uses, std::uint16_t sentPerSecond)
{
    RegionLoadReport loadReport;
    loadReport.uses = std::move(uses);
    ServiceWork work;
    work.service = Service;
    work.sentPerSecond = sentPerSecond;
    loadReport.services = {work};
    return loadReport;
}

double total(const std::vector<EndpointLoad> &loads)
{
    return std::accumulate(loads.begin(), loads.end(), 0.0, [](double sum, const auto &load) {
        return sum + load.known + load.assumed;
    });
}

} // namespace

TEST(LoadEstimateTest, FreshReportIsUsedUnchanged)
{
    LoadEstimate estimate;
    estimate.reported(InstanceId("two"), loadReport({{1, 6}}, 12), Now);
    std::vector<EndpointLoad> loads = {endpoint(1, 16), endpoint(2, 16)};
    estimate.estimate(Service, loads, true, Now);
    EXPECT_DOUBLE_EQ(loads[0].known, 6);
    EXPECT_DOUBLE_EQ(loads[1].known + loads[1].assumed, 0);
}

// Requests take half a second. Instances that used a one second old report unchanged would all send
// to the endpoint that was idle then.
TEST(LoadEstimateTest, OldReportTellsHowManyButNotWhere)
{
    LoadEstimate estimate;
    estimate.reported(InstanceId("two"), loadReport({{1, 12}}, 24), Now);
    std::vector<EndpointLoad> loads = {endpoint(1, 16), endpoint(2, 16)};
    estimate.estimate(Service, loads, true, Now + seconds(5));
    EXPECT_NEAR(total(loads), 12, 1e-3);
    EXPECT_NEAR(loads[0].known + loads[0].assumed, 6, 0.01);
    EXPECT_NEAR(loads[1].known + loads[1].assumed, 6, 0.01);
}

// If a report does not show how long requests take, nothing indicates that they have ended.
TEST(LoadEstimateTest, RequestsOfAnInstanceThatSendsNothingStay)
{
    LoadEstimate estimate;
    estimate.reported(InstanceId("two"), loadReport({{1, 12}}, 0), Now);
    std::vector<EndpointLoad> loads = {endpoint(1, 16), endpoint(2, 16)};
    estimate.estimate(Service, loads, true, Now + seconds(5));
    EXPECT_DOUBLE_EQ(loads[0].known, 12);
}

TEST(LoadEstimateTest, InstanceThatIsGoneCountsNoMore)
{
    LoadEstimate estimate;
    estimate.reported(InstanceId("two"), loadReport({{1, 12}}, 24), Now);
    estimate.keep({InstanceId("one")});
    std::vector<EndpointLoad> loads = {endpoint(1, 16)};
    estimate.estimate(Service, loads, true, Now);
    EXPECT_DOUBLE_EQ(total(loads), 0);
}

// Guards against endpoints that look busy while no report follows a notice.
TEST(LoadEstimateTest, NoticeExpiresWithoutAReport)
{
    LoadEstimate estimate;
    estimate.noticed(InstanceId("two"), 1, Now);
    std::vector<EndpointLoad> loads = {endpoint(1, 16)};
    estimate.estimate(Service, loads, false, Now + milliseconds(200));
    EXPECT_DOUBLE_EQ(loads[0].known, 1);
    loads = {endpoint(1, 16)};
    estimate.estimate(Service, loads, false, Now + milliseconds(300));
    EXPECT_DOUBLE_EQ(loads[0].known, 0);
}

// Other instances avoid the busiest endpoints, so the requests that they have sent since are on the
// rest.
TEST(LoadEstimateTest, UnlocatedRequestsAreExpectedOnTheLeastBusyEndpoints)
{
    std::vector<EndpointLoad> loads = {endpoint(1, 16), endpoint(2, 16), endpoint(3, 16)};
    loads[0].known = 12;
    loads[1].known = 4;
    spreadEvenly(loads, 10);
    EXPECT_NEAR(loads[0].assumed, 0, 1e-3);
    EXPECT_NEAR(loads[1].assumed, 3, 1e-3);
    EXPECT_NEAR(loads[2].assumed, 7, 1e-3);
}

TEST(LoadEstimateTest, RequestsBeyondAllSlotsAreSpreadOverAllEndpoints)
{
    std::vector<EndpointLoad> loads = {endpoint(1, 16), endpoint(2, 8)};
    spreadEvenly(loads, 36);
    EXPECT_NEAR(loads[0].assumed, 24, 1e-3);
    EXPECT_NEAR(loads[1].assumed, 12, 1e-3);
}

TEST(LoadEstimateTest, EndpointsThatTakeNoWorkGetNone)
{
    std::vector<EndpointLoad> loads = {endpoint(1, 16), endpoint(2, 16)};
    loads[0].acceptsRequests = false;
    spreadEvenly(loads, 5);
    EXPECT_DOUBLE_EQ(loads[0].assumed, 0);
    EXPECT_NEAR(loads[1].assumed, 5, 1e-3);
    spreadEvenly(loads, 0);
}

// The other instances do not know yet what this instance has sent since its last report, so it does
// not affect where they send.
TEST(LoadEstimateTest, OwnRequestsSinceTheLastReportDoNotMoveTheOthers)
{
    std::vector<EndpointLoad> loads = {endpoint(1, 16), endpoint(2, 16)};
    loads[0].reportedOwn = 4;
    spreadEvenly(loads, 8);
    EXPECT_NEAR(loads[0].assumed, 2, 1e-3);
    EXPECT_NEAR(loads[1].assumed, 6, 1e-3);
}

} // namespace LaburnumChute::Dispatch
