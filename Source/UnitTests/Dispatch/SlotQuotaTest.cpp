#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "Dispatch/SlotQuota.h"

namespace LaburnumChute::Dispatch {

namespace {

// Every slot belongs to exactly one instance, and no instance has more than one slot more than
// another: one with fewer would turn callers away while its neighbours have room.
TEST(SlotQuotaTest, SlotsAreDealtOutEvenlyAndWithoutRemainder)
{
    for (std::size_t instances : {1U, 2U, 5U, 13U, 40U}) {
        for (const int slots : {1, 6, 16, 64}) {
            constexpr std::size_t Engines = 9;
            std::vector<int> dealt(instances, 0);
            for (std::size_t engine = 0; engine < Engines; ++engine) {
                int ofEngine = 0;
                for (std::size_t instance = 0; instance < instances; ++instance) {
                    const auto quota = slotQuota(engine, slots, instance, instances);
                    ofEngine += quota;
                    dealt[instance] += quota;
                }
                EXPECT_EQ(ofEngine, slots);
            }
            const auto [least, most] = std::minmax_element(dealt.begin(), dealt.end());
            EXPECT_LE(*most - *least, 1);
        }
    }
}

TEST(SlotQuotaTest, AnInstanceAloneHasAllSlots)
{
    EXPECT_EQ(slotQuota(3, 16, 0, 1), 16);
}

TEST(SlotQuotaTest, WithoutSlotsOrInstancesThereIsNone)
{
    EXPECT_EQ(slotQuota(0, 0, 0, 4), 0);
    EXPECT_EQ(slotQuota(0, 16, 0, 0), 0);
}

} // namespace

} // namespace LaburnumChute::Dispatch
