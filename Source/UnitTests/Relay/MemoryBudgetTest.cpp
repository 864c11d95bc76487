#include <gtest/gtest.h>

#include "Relay/MemoryBudget.h"

namespace LaburnumChute::Relay {

namespace {

constexpr std::size_t MachineBytes = 1000;

} // namespace

// Guards against accounts that each keep their limit and together exceed the machine.
TEST(MemoryBudgetTest, AllUsesTogetherAreLimited)
{
    MemoryBudget memory(MachineBytes);
    memory.set(MemoryUse::Requests, 1, 300);
    memory.set(MemoryUse::Unsent, 1, 100);
    EXPECT_FALSE(memory.admits(MemoryUse::Requests, 200));
    memory.set(MemoryUse::Receiving, 2, 60);
    EXPECT_FALSE(memory.excess());
    memory.set(MemoryUse::Receiving, 3, 50);
    ASSERT_TRUE(memory.excess());
    EXPECT_EQ(memory.excess()->use, MemoryUse::Receiving);
    EXPECT_EQ(memory.excess()->holder, 2U);
}

TEST(MemoryBudgetTest, TheUseWithMostOfItsShareGivesUpFirst)
{
    MemoryBudget memory(MachineBytes);
    memory.set(MemoryUse::Receiving, 1, 150);
    memory.set(MemoryUse::Requests, 1, 300);
    memory.set(MemoryUse::Answers, 7, 110);
    ASSERT_TRUE(memory.excess());
    EXPECT_EQ(memory.excess()->use, MemoryUse::Answers);
    memory.set(MemoryUse::Answers, 7, 0);
    EXPECT_FALSE(memory.excess());
}

// Guards against requests that run being given up for the memory of those that are being received.
TEST(MemoryBudgetTest, RequestsThatWereAdmittedGiveUpNothing)
{
    MemoryBudget memory(MachineBytes);
    memory.set(MemoryUse::Requests, 1, 600);
    EXPECT_FALSE(memory.admits(MemoryUse::Receiving, 1));
    EXPECT_FALSE(memory.excess());
}

TEST(MemoryBudgetTest, ASmallerMachineLowersAllLimits)
{
    MemoryBudget memory(MachineBytes);
    memory.set(MemoryUse::Receiving, 1, 150);
    EXPECT_FALSE(memory.excess());
    memory.setMachineBytes(MachineBytes / 2);
    EXPECT_TRUE(memory.excess());
}

} // namespace LaburnumChute::Relay
