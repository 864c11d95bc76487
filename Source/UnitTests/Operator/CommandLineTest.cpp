#include <sstream>

#include <gtest/gtest.h>

#include "Operator/Completion.h"
#include "Operator/ManPage.h"
#include "Operator/Operator.h"

namespace LaburnumChute::Operator {

namespace {

const Common::Setting<std::int64_t> Colour{"test-colour", "test", 7, "Colour of the sign",
                                           "a whole number"};

Verb paintVerb()
{
    Verb verb;
    verb.name = "paint";
    verb.summary = "Paint a sign";
    verb.statuses = {{StatusDone, "it is painted"}};
    verb.declareSettings = [](Common::Settings &settings) { settings.declare(Colour); };
    verb.run = [](const Invocation &invocation) {
        invocation.out << invocation.settings.get(Colour);
        return StatusDone;
    };
    return verb;
}

class CommandLineTest : public ::testing::Test
{
protected:
    int run(const std::vector<std::string> &arguments,
            const std::map<std::string, std::string> &environment = {})
    {
        out_.str("");
        error_.str("");
        return CommandLine(withOperatorVerbs(paintVerb()), out_, error_)
            .run(arguments, environment);
    }

    std::ostringstream out_;
    std::ostringstream error_;
};

TEST_F(CommandLineTest, RunsTheVerbWithItsSettings)
{
    EXPECT_EQ(run({"paint", "--test-colour=9"}), StatusDone);
    EXPECT_EQ(out_.str(), "9");
    EXPECT_EQ(run({"paint"}, {{"LABURNUMCHUTE_TEST_COLOUR", "8"}}), StatusDone);
    EXPECT_EQ(out_.str(), "8");
}

TEST_F(CommandLineTest, VariableOfAnotherVerbIsNoErrorAndAMisspeltOneIs)
{
    EXPECT_EQ(run({"completion", "bash"}, {{"LABURNUMCHUTE_TEST_COLOUR", "8"}}), StatusDone);
    EXPECT_EQ(run({"completion", "bash"}, {{"LABURNUMCHUTE_TEST_COLOR", "8"}}), StatusUsage);
}

TEST_F(CommandLineTest, WrongVerbNamesTheChoices)
{
    EXPECT_EQ(run({"pant"}), StatusUsage);
    EXPECT_NE(error_.str().find("\"pant\" is no verb; expected one of: paint, check"),
              std::string::npos);
    EXPECT_EQ(run({}), StatusUsage);
    EXPECT_EQ(run({"check"}), StatusUsage);
    EXPECT_EQ(run({"patch", "a", "b"}), StatusUsage);
    EXPECT_EQ(run({"status"}), StatusUsage);
    EXPECT_EQ(run({"completion", "fish"}), StatusUsage);
}

TEST_F(CommandLineTest, EveryVerbHasHelpWithSettingsAndStatuses)
{
    for (const auto &verb : withOperatorVerbs(paintVerb())) {
        EXPECT_EQ(run({verb.name, "--help"}), StatusDone);
        EXPECT_NE(out_.str().find("Exit status:\n  0  "), std::string::npos) << verb.name;
        EXPECT_FALSE(verb.summary.empty());
    }
    EXPECT_EQ(run({"paint", "--help"}), StatusDone);
    EXPECT_NE(out_.str().find("--test-colour"), std::string::npos);
}

TEST_F(CommandLineTest, ManPageAndCompletionNameEveryVerbAndSetting)
{
    const auto verbs = withOperatorVerbs(paintVerb());
    const auto page = manPage(verbs);
    const auto script = bashCompletion(verbs);
    for (const auto &verb : verbs) {
        EXPECT_NE(page.find("laburnumchute " + verb.name), std::string::npos) << verb.name;
        EXPECT_NE(script.find("        " + verb.name + ") flags="), std::string::npos) << verb.name;
    }
    EXPECT_NE(page.find("\\-\\-test\\-colour"), std::string::npos);
    EXPECT_NE(script.find("--test-colour="), std::string::npos);
}

} // namespace

} // namespace LaburnumChute::Operator
