#include <algorithm>

#include <fmt/format.h>

#include "Configuration/Configuration.h"
#include "Operator/TextFile.h"
#include "Operator/Verbs.h"

namespace LaburnumChute::Operator {

namespace {

const Common::Setting<std::string> AgainstSetting{
    "against", "operator", "", "File with the version in force: also check the change from it",
    "the name of a file"};

void printProblems(std::ostream &stream, const std::string &file, const char *kind,
                   const Configuration::Problems &problems)
{
    for (const auto &problem : problems) {
        stream << file << ": " << kind << ": " << Configuration::toString(problem) << '\n';
    }
}

/// Checks all files, each against the same earlier version.
class Checker
{
public:
    Checker(const Invocation &invocation,
            std::shared_ptr<const Configuration::Configuration> before)
        : invocation_(invocation)
        , before_(std::move(before))
    {
    }

    int check(const std::string &file) const
    {
        const auto content = readTextFile(file);
        if (!content) {
            return complain(invocation_, content.error().message, StatusUnreachable);
        }
        auto report = Configuration::check(*content);
        if (before_ && report.configuration) {
            report.problems = Configuration::checkChange(*before_, *report.configuration);
        }
        printProblems(invocation_.error, file, "error", report.problems);
        printProblems(invocation_.error, file, "warning", report.warnings);
        if (!report.problems.empty()) {
            return StatusRefused;
        }
        invocation_.out << file << ": valid\n";
        return StatusDone;
    }

private:
    const Invocation &invocation_;
    std::shared_ptr<const Configuration::Configuration> before_;
};

int run(const Invocation &invocation)
{
    if (invocation.words.empty()) {
        return complain(invocation, "check: expected the name of at least one file", StatusUsage);
    }
    std::shared_ptr<const Configuration::Configuration> before;
    const auto against = invocation.settings.get(AgainstSetting);
    if (!against.empty()) {
        const auto content = readTextFile(against);
        if (!content) {
            return complain(invocation, content.error().message, StatusUnreachable);
        }
        auto parsed = Configuration::parse(*content);
        if (!parsed) {
            return complain(invocation, against + ": " + parsed.error().message, StatusRefused);
        }
        before = *parsed;
    }
    const Checker checker(invocation, before);
    int worst = StatusDone;
    for (const auto &file : invocation.words) {
        worst = std::max(worst, checker.check(file));
    }
    return worst;
}

} // namespace

Verb checkVerb()
{
    Verb verb;
    verb.name = "check";
    verb.operands = "FILE...";
    verb.summary = "Check configuration documents";
    verb.description = "Prints all problems of each document with its position as a JSON Pointer, "
                       "the value found and what was expected. Warnings name callers that would "
                       "always be refused; they do not change the exit status.";
    verb.statuses = {{StatusDone, "all documents are valid"},
                     {StatusRefused, "a document is not valid, or its change strands a model"},
                     {StatusUsage, "a word or a setting is wrong"},
                     {StatusUnreachable, "a file cannot be read"}};
    verb.takesFiles = true;
    verb.declareSettings = [](Common::Settings &settings) { settings.declare(AgainstSetting); };
    verb.run = run;
    return verb;
}

} // namespace LaburnumChute::Operator
