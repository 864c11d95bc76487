#include <gtest/gtest.h>

#include "Herd.h"

namespace LaburnumChute::Dispatch {

namespace {

class HerdTest : public testing::Test, protected Herd
{
};

// Guards against the thundering herd of twelve instances at a peak. Load reports are a quarter of a
// second old, and in that time every engine gets ten requests: all instances would choose the same
// seemingly idle engine, and callers would wait there behind forty others while other engines are
// idle.
TEST_F(HerdTest, InstancesDoNotOverloadOneEngine)
{
    build(12, 16, ModelName, 16);
    simulate(700, milliseconds(4000), milliseconds(600), milliseconds(330));
    EXPECT_LE(mostWaiting(), 4U);
    EXPECT_GT(counts_.inTime, counts_.submitted * 95 / 100);
}

// The same for a plain service with few slots and short calls, where the requests in a load report
// of a quarter of a second ago have ended. Instances that use such reports unchanged leave slots
// empty and reject callers.
TEST_F(HerdTest, ShortCallsKeepAllSlotsOfAPlainServiceBusy)
{
    build(12, 3, DeskName, 6);
    // Nine tenths of the capacity of three endpoints with six slots and calls of 60 ms.
    simulate(270, milliseconds(4000), milliseconds(500), milliseconds(60));
    EXPECT_LT(counts_.rejected, counts_.submitted / 50);
    EXPECT_GT(counts_.inTime, counts_.submitted * 95 / 100);
}

} // namespace

} // namespace LaburnumChute::Dispatch
