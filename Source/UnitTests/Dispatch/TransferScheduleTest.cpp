#include <gtest/gtest.h>

#include "Dispatch/TransferSchedule.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr Time Start = Time(seconds(100));
constexpr TransferTime Usual{milliseconds(100), milliseconds(30)};
constexpr std::uint32_t A = 1;
constexpr std::uint32_t B = 2;
constexpr std::uint32_t C = 3;

} // namespace

TEST(TransferScheduleTest, TransferStartsWhenBothLinksAreFree)
{
    TransferSchedule schedule;
    schedule.add(1, A, B, Usual, Start);
    schedule.add(std::nullopt, C, B, Usual, Start);
    EXPECT_EQ(schedule.freeAt(A, Start), Start + milliseconds(100));
    EXPECT_EQ(schedule.freeAt(C, Start), Start + milliseconds(200));
    // A request that ends early lets the transfers behind it start.
    schedule.remove(1, Start + milliseconds(10));
    EXPECT_EQ(schedule.freeAt(C, Start), Start + milliseconds(110));
    EXPECT_EQ(schedule.freeAt(A, Start), Start);
}

// Guards against links that stay reserved since the end of a transfer is never known here.
TEST(TransferScheduleTest, LinkIsFreeSoonAfterTheExpectedEnd)
{
    TransferSchedule schedule;
    schedule.add(1, A, B, Usual, Start);
    EXPECT_EQ(schedule.freeAt(A, Start + milliseconds(110)), Start + milliseconds(130));
    const auto later = Start + milliseconds(131);
    EXPECT_EQ(schedule.freeAt(A, later), later);
    schedule.add(2, B, C, Usual, later);
    EXPECT_EQ(schedule.transfers().size(), 1U);
}

} // namespace LaburnumChute::Dispatch
