#include <gtest/gtest.h>

#include "Common/Common.h"

namespace LaburnumChute::Common {

namespace {

constexpr const char *Part = "test";
const Setting<std::int64_t> Port{"test-port",
                                 Part,
                                 8080,
                                 "Port to listen on",
                                 "a whole number from 1 to 65535",
                                 [](const std::int64_t &port) { return port > 0 && port < 65536; }};
const Setting<milliseconds> Patience{"test-patience", Part, milliseconds(1500), "Time to wait",
                                     "a duration such as 250ms or 2s"};

const Setting<bool> Verbose{"test-verbose", Part, false, "Say more", "true or false"};

class SettingsTest : public ::testing::Test
{
protected:
    SettingsTest()
    {
        settings_.declare(Port);
        settings_.declare(Patience);
        settings_.declare(Verbose);
    }

    Settings settings_;
};

TEST_F(SettingsTest, FlagHidesEnvironmentAndEnvironmentHidesDefault)
{
    const auto words =
        settings_.parse({"gateway", "--test-port=9000"}, {{"LABURNUMCHUTE_TEST_PORT", "9001"},
                                                          {"LABURNUMCHUTE_TEST_PATIENCE", "2s"}});
    ASSERT_TRUE(words);
    EXPECT_EQ(*words, std::vector<std::string>{"gateway"});
    EXPECT_EQ(settings_.get(Port), 9000);
    EXPECT_EQ(settings_.get(Patience), seconds(2));
    EXPECT_EQ(settings_.layer("test-port"), SettingLayer::Flag);
    EXPECT_EQ(settings_.layer("test-patience"), SettingLayer::Environment);
}

TEST_F(SettingsTest, ValueMayFollowItsFlagAsAWordOfItsOwn)
{
    ASSERT_TRUE(settings_.parse({"--test-port", "9002", "--test-patience", "2.5s"}, {}));
    EXPECT_EQ(settings_.get(Port), 9002);
    EXPECT_EQ(settings_.get(Patience), milliseconds(2500));
}

TEST_F(SettingsTest, SwitchNeedsNoValueAndTakesNoWord)
{
    const auto words = settings_.parse({"--test-verbose", "word"}, {});
    ASSERT_TRUE(words);
    EXPECT_EQ(*words, std::vector<std::string>{"word"});
    EXPECT_TRUE(settings_.get(Verbose));
    ASSERT_TRUE(settings_.parse({"--test-verbose=false"}, {}));
    EXPECT_FALSE(settings_.get(Verbose));
}

TEST_F(SettingsTest, BadValueIsNamedWithWhatWasExpected)
{
    const auto words = settings_.parse({"--test-port=70000"}, {});
    ASSERT_FALSE(words);
    EXPECT_EQ(
        words.error().message,
        "--test-port: the value \"70000\" is not valid; expected a whole number from 1 to 65535");
}

TEST_F(SettingsTest, UnknownFlagAndUnknownVariableAreErrors)
{
    EXPECT_FALSE(settings_.parse({"--test-prot=1"}, {}));
    EXPECT_FALSE(settings_.parse({}, {{"LABURNUMCHUTE_TEST_PROT", "1"}}));
    EXPECT_FALSE(settings_.parse({"--test-port"}, {}));
    EXPECT_FALSE(settings_.parse({"--test-patience=5"}, {}));
}

} // namespace

} // namespace LaburnumChute::Common
