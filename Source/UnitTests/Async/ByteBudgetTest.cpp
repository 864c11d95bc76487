#include <memory>

#include <gtest/gtest.h>

#include "Async/Async.h"

namespace LaburnumChute::Async {

namespace {

constexpr auto Uncounted = ByteReservation::UncountedBytes;

TEST(ByteBudgetTest, AllReservationsTogetherAreLimited)
{
    ByteBudget budget(1000);
    ByteReservation first(budget);
    ByteReservation second(budget);
    EXPECT_TRUE(first.resize(Uncounted + 600));
    EXPECT_FALSE(second.resize(Uncounted + 500));
    EXPECT_EQ(budget.used(), 600U);
    EXPECT_TRUE(first.resize(Uncounted + 100));
    EXPECT_TRUE(second.resize(Uncounted + 500));
}

// Guards against a few calls with endless data that keep all others from being served.
TEST(ByteBudgetTest, SmallDataFitsWhenOthersHaveUsedTheBudget)
{
    ByteBudget budget(1000);
    ByteReservation large(budget);
    ByteReservation small(budget);
    ASSERT_TRUE(large.resize(Uncounted + 1000));
    EXPECT_TRUE(small.resize(Uncounted));
}

TEST(ByteBudgetTest, EndedCallReturnsItsShare)
{
    ByteBudget budget(1000);
    auto ended = std::make_unique<ByteReservation>(budget);
    ASSERT_TRUE(ended->resize(Uncounted + 1000));
    ended.reset();
    EXPECT_EQ(budget.used(), 0U);
}

} // namespace

} // namespace LaburnumChute::Async
