#include <algorithm>
#include <vector>

#include <gtest/gtest.h>

#include "Dispatch/SlotQuota.h"

namespace LaburnumChute::Dispatch {

namespace {

// Every slot is assigned to exactly one instance, and the instances' numbers of slots differ by at
// most one: an instance with fewer would reject callers while others have free slots.
TEST(SlotQuotaTest, SlotsAreAssignedEvenlyAndWithoutRemainder)
{
    for (std::size_t instances : {1U, 2U, 5U, 13U, 40U}) {
        for (const int slots : {1, 6, 16, 64}) {
            constexpr std::size_t Engines = 9;
            std::vector<int> assigned(instances, 0);
            for (std::size_t engine = 0; engine < Engines; ++engine) {
                int ofEngine = 0;
                for (std::size_t instance = 0; instance < instances; ++instance) {
                    const auto quota = slotQuota(engine, slots, instance, instances);
                    ofEngine += quota;
                    assigned[instance] += quota;
                }
                EXPECT_EQ(ofEngine, slots);
            }
            const auto [least, most] = std::minmax_element(assigned.begin(), assigned.end());
            EXPECT_LE(*most - *least, 1);
        }
    }
}

TEST(SlotQuotaTest, SingleInstanceHasAllSlots)
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
