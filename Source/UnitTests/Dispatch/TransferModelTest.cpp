#include <gtest/gtest.h>

#include "Dispatch/TransferModel.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr Time Start = Time(seconds(100));
constexpr auto Within = TransferPath::WithinRegion;
constexpr auto Between = TransferPath::BetweenRegions;
const Catalog::EngineTraits Large{16, 300000, true, 327680, 280e9};
const Catalog::EngineTraits Small{64, 300000, true, 18432, 370e9};

double expectedMs(const TransferModel &model, const Catalog::EngineTraits &traits,
                  TransferPath path, Time now = Start)
{
    return inMilliseconds(model.time(traits, 13300, path, now).expected).count();
}

/// Records copies that took that many times their nominal time.
void sample(TransferModel &model, const Catalog::EngineTraits &traits, double ratio, int count)
{
    const auto nominal = TransferModel(DispatchOptions()).time(traits, 13300, Within, Start);
    for (int index = 0; index < count; ++index) {
        const auto others = milliseconds(120);
        model.sample(traits, 13300, Within, others + scaled(nominal.expected, ratio), others,
                     Start);
    }
}

} // namespace

TEST(TransferModelTest, TimeFollowsFromSizeAndRate)
{
    const TransferModel model{DispatchOptions()};
    EXPECT_NEAR(expectedMs(model, Large, Within), 134.5, 0.1);
    EXPECT_NEAR(expectedMs(model, Small, Within), 15.3, 0.1);
    EXPECT_NEAR(expectedMs(model, Large, Between), 254.5, 0.1);
    EXPECT_FALSE(TransferModel::knows({16, 300000, true, 327680}));
    EXPECT_FALSE(TransferModel::knows({16, 300000, true, 0, 280e9}));
}

// Guards against learning from one path for the other, against one slow period that ends all copies
// for good, and against errors of the engine's wait that are taken for slow transfers.
TEST(TransferModelTest, RatioIsLearnedForEachPathAndForgotten)
{
    TransferModel model{DispatchOptions()};
    sample(model, Large, 5, 200);
    const auto slow = model.ratio(Within, Start);
    EXPECT_GT(slow, 4);
    EXPECT_EQ(model.ratio(Between, Start), 1);
    EXPECT_NEAR(model.ratio(Within, Start + seconds(30)), 1 + (slow - 1) / 2, 0.01);
    TransferModel ofSmall{DispatchOptions()};
    sample(ofSmall, Small, 4, 200);
    EXPECT_EQ(ofSmall.ratio(Within, Start), 1);
}

} // namespace LaburnumChute::Dispatch
