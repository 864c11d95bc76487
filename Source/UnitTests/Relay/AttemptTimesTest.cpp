#include <gtest/gtest.h>

#include "Relay/AttemptTimes.h"

namespace LaburnumChute::Relay {

TEST(AttemptTimesTest, LongTimesAreForgottenSlowly)
{
    const Common::ServiceName service("desk");
    AttemptTimes times;
    EXPECT_EQ(times.longest(service), Common::Duration(0));
    times.record(service, Common::milliseconds(1000));
    times.record(service, Common::milliseconds(100));
    EXPECT_EQ(times.longest(service), Common::milliseconds(900));
    for (int index = 0; index < 50; ++index) {
        times.record(service, Common::milliseconds(100));
    }
    EXPECT_EQ(times.longest(service), Common::milliseconds(100));
}

} // namespace LaburnumChute::Relay
