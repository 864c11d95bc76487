#include <gtest/gtest.h>

#include "StandIns/Link.h"

using namespace LaburnumChute;

namespace {

TEST(Link, BytesQueueForTheSharedRateAndThenTravel)
{
    StandIns::Link link;
    link.change({{"delay_ms", 55}, {"megabits", 8}});
    const Common::Time start{};
    EXPECT_EQ(link.forward.send(1000, start), start + Common::milliseconds(56));
    EXPECT_EQ(link.forward.send(1000, start), start + Common::milliseconds(57));
    EXPECT_EQ(link.forward.backlog(start), Common::milliseconds(2));
    EXPECT_EQ(link.back.backlog(start), Common::Duration());
}

TEST(Link, APartitionMayBeOneWay)
{
    StandIns::Link link;
    link.change({{"hold", "back"}});
    EXPECT_FALSE(link.forward.held);
    EXPECT_TRUE(link.back.held);
}

} // namespace
