#include <gtest/gtest.h>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

TEST(OptionOverridesTest, SetsOnlyTheNamedOptions)
{
    const auto options =
        withOverrides(DispatchOptions(), "read-share=0.5,copy-time=20,look-ahead=3");
    ASSERT_TRUE(options);
    EXPECT_EQ(options->prefillFraction, 0.5);
    EXPECT_EQ(options->copyTime, milliseconds(20));
    EXPECT_EQ(options->lookAhead, 3U);
    EXPECT_EQ(options->queueLimit, DispatchOptions().queueLimit);
}

TEST(OptionOverridesTest, EmptyTextChangesNothing)
{
    ASSERT_TRUE(withOverrides(DispatchOptions(), ""));
}

// Guards against a mistyped option being ignored: the experiment would be taken for one with that
// option.
TEST(OptionOverridesTest, InvalidEntryIsReportedByName)
{
    for (const auto *text : {"reed-share=0.5", "read-share", "read-share=", "read-share=-1",
                             "read-share=half", "read-share=nan", "read-share=0.5,,copy-time=20"}) {
        const auto options = withOverrides(DispatchOptions(), text);
        ASSERT_FALSE(options) << text;
        EXPECT_EQ(options.error().code, Common::ErrorCode::InvalidArgument);
        EXPECT_NE(options.error().message.find('"'), std::string::npos);
    }
}

TEST(OptionOverridesTest, EveryNameCanBeSet)
{
    for (const auto &name : overridableOptions()) {
        EXPECT_TRUE(withOverrides(DispatchOptions(), name + "=1")) << name;
    }
}

} // namespace LaburnumChute::Dispatch
