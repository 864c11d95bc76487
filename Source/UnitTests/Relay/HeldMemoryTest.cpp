#include <gtest/gtest.h>

#include "Relay/HeldMemory.h"

namespace LaburnumChute::Relay {

// Guards against small answers that are dropped because others have no end.
TEST(HeldMemoryTest, TheLargestHolderGivesUpFirst)
{
    HeldMemory memory(1000);
    for (HeldMemory::Holder holder = 1; holder <= 50; ++holder) {
        memory.set(holder, 10);
    }
    EXPECT_FALSE(memory.excess());
    memory.set(60, 400);
    memory.set(61, 300);
    EXPECT_EQ(memory.excess(), 60U);
    memory.set(60, 0);
    EXPECT_FALSE(memory.excess());
    EXPECT_EQ(memory.total(), 800U);
    memory.set(61, 600);
    EXPECT_EQ(memory.excess(), 61U);
}

// Guards against a total that drifts as holders grow and shrink.
TEST(HeldMemoryTest, TotalFollowsEachHolder)
{
    HeldMemory memory(1000);
    memory.set(1, 100);
    memory.set(1, 300);
    memory.set(2, 50);
    memory.set(1, 20);
    EXPECT_EQ(memory.total(), 70U);
    memory.set(2, 0);
    memory.set(3, 0);
    EXPECT_EQ(memory.total(), 20U);
}

} // namespace LaburnumChute::Relay
