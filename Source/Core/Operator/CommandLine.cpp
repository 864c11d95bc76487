#include "Operator/CommandLine.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace LaburnumChute::Operator {

namespace {

bool asksForHelp(const std::string &word)
{
    return word == "--help" || word == "-help" || word == "-h" || word == "help";
}

std::set<std::string> variablesOf(const Common::Settings &settings)
{
    std::set<std::string> names;
    for (const auto &info : settings.all()) {
        names.insert(Common::environmentName(info.name));
    }
    return names;
}

} // namespace

Common::Settings Verb::settings() const
{
    Common::Settings result;
    if (declareSettings) {
        declareSettings(result);
    }
    return result;
}

int complain(const Invocation &invocation, const std::string &message, int status)
{
    invocation.error << "laburnumchute: " << message << '\n';
    return status;
}

std::string helpText(const Verb &verb)
{
    auto text = fmt::format("usage: laburnumchute {} [settings] {}\n\n{}.\n{}\n", verb.name,
                            verb.operands, verb.summary, verb.description);
    const auto settings = verb.settings();
    if (!settings.all().empty()) {
        text += "\nSettings (each also as an environment variable, --NAME as LABURNUMCHUTE_NAME):\n"
                + settings.helpText();
    }
    text += "\nExit status:\n";
    for (const auto &status : verb.statuses) {
        text += fmt::format("  {}  {}\n", status.status, status.meaning);
    }
    return text;
}

CommandLine::CommandLine(std::vector<Verb> verbs, std::ostream &out, std::ostream &error)
    : verbs_(std::move(verbs))
    , out_(out)
    , error_(error)
{
}

const Verb *CommandLine::find(const std::string &name) const
{
    const auto found = std::find_if(verbs_.begin(), verbs_.end(),
                                    [&](const Verb &verb) { return verb.name == name; });
    return found == verbs_.end() ? nullptr : &*found;
}

std::string CommandLine::overview() const
{
    std::string text = "usage: laburnumchute VERB [settings] [words]\n\nVerbs:\n";
    for (const auto &verb : verbs_) {
        text += fmt::format("  {:<12}{}\n", verb.name, verb.summary);
    }
    return text
           + "\n\"laburnumchute VERB --help\" lists the settings and exit statuses of a verb.\n";
}

int CommandLine::run(const std::vector<std::string> &arguments,
                     const std::map<std::string, std::string> &environment) const
{
    if (arguments.empty()) {
        error_ << "laburnumchute: the verb is missing; --help lists the verbs\n";
        return StatusUsage;
    }
    if (asksForHelp(arguments[0])) {
        out_ << overview();
        return StatusDone;
    }
    const auto *verb = find(arguments[0]);
    if (!verb) {
        std::vector<std::string> names;
        std::transform(verbs_.begin(), verbs_.end(), std::back_inserter(names),
                       [](const Verb &candidate) { return candidate.name; });
        error_ << fmt::format("laburnumchute: \"{}\" is no verb; expected one of: {}\n",
                              arguments[0], fmt::join(names, ", "));
        return StatusUsage;
    }
    return runVerb(*verb, {arguments.begin() + 1, arguments.end()}, environment);
}

std::map<std::string, std::string>
CommandLine::environmentOf(const Common::Settings &settings,
                           const std::map<std::string, std::string> &environment) const
{
    // The environment may contain variables for another verb. Variables that no verb declares are
    // kept, so that misspelled ones are still reported.
    const auto own = variablesOf(settings);
    std::set<std::string> others;
    for (const auto &verb : verbs_) {
        others.merge(variablesOf(verb.settings()));
    }
    auto result = environment;
    for (const auto &name : others) {
        if (own.count(name) == 0) {
            result.erase(name);
        }
    }
    return result;
}

int CommandLine::runVerb(const Verb &verb, const std::vector<std::string> &arguments,
                         const std::map<std::string, std::string> &environment) const
{
    auto settings = verb.settings();
    const auto words = settings.parse(arguments, environmentOf(settings, environment));
    if (settings.helpWanted()) {
        out_ << helpText(verb);
        return StatusDone;
    }
    if (!words) {
        error_ << "laburnumchute: " << words.error().message << '\n';
        return StatusUsage;
    }
    return verb.run({settings, *words, out_, error_});
}

} // namespace LaburnumChute::Operator
