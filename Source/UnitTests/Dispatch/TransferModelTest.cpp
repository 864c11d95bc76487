#include <gtest/gtest.h>

#include "Dispatch/TransferModel.h"
#include "Dispatch/Util.h"

namespace LaburnumChute::Dispatch {

namespace {

constexpr Time Start = Time(seconds(100));
constexpr auto Within = TransferPath::WithinDomain;
constexpr auto Between = TransferPath::BetweenDomains;
constexpr auto Regions = TransferPath::BetweenRegions;
const Catalog::EngineTraits Large{16, 300000, true, 327680, 280e9};
const Catalog::EngineTraits Small{64, 300000, true, 18432, 370e9};

double expectedMs(const TransferModel &model, const Catalog::EngineTraits &traits,
                  TransferPath path, Time now = Start)
{
    return inMilliseconds(model.time(traits, 13300, path, now).expected).count();
}

/// Records copies whose time on the link was that many times the nominal one.
void sample(TransferModel &model, const Catalog::EngineTraits &traits, TransferPath path,
            double factor, int count, Time now = Start)
{
    const TransferModel unmeasured{DispatchOptions()};
    const auto half = unmeasured.time(traits, 6650, path, now).expected;
    const auto whole = unmeasured.time(traits, 13300, path, now).expected;
    const auto onLink = 2 * (whole - half);
    const auto others = milliseconds(120);
    for (int index = 0; index < count; ++index) {
        model.sample(traits, 13300, path, others + (whole - onLink) + scaled(onLink, factor),
                     others, now);
    }
}

} // namespace

TEST(TransferModelTest, TimeFollowsFromSizeAndRate)
{
    const TransferModel model{DispatchOptions()};
    EXPECT_NEAR(expectedMs(model, Large, Within), 134.5, 0.1);
    EXPECT_NEAR(expectedMs(model, Small, Within), 15.3, 0.1);
    EXPECT_NEAR(expectedMs(model, Large, Between), 134.5, 0.1);
    EXPECT_NEAR(expectedMs(model, Large, Regions), 254.5, 0.1);
    EXPECT_FALSE(TransferModel::knows({16, 300000, true, 327680}));
    EXPECT_FALSE(TransferModel::knows({16, 300000, true, 0, 280e9}));
}

// Guards against learning from one path for the other, against one slow period that ends all copies
// for good, and against errors of the engine's wait that are taken for slow transfers.
TEST(TransferModelTest, RatioIsLearnedForEachPathAndForgotten)
{
    TransferModel model{DispatchOptions()};
    sample(model, Large, Between, 5, 200);
    const auto slow = model.factor(Between, Start).factor;
    EXPECT_GT(slow, 4);
    EXPECT_EQ(model.factor(Within, Start).factor, 1);
    EXPECT_NEAR(model.factor(Between, Start + seconds(30)).factor, 1 + (slow - 1) / 2, 0.01);
    TransferModel ofSmall{DispatchOptions()};
    sample(ofSmall, Small, Within, 10, 200);
    EXPECT_NEAR(ofSmall.factor(Within, Start).factor, 1, 1e-9);
}

} // namespace LaburnumChute::Dispatch
