#pragma once

#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "Operator/Verb.h"

namespace LaburnumChute::Operator {

/// Runs the verb that is named by the first argument with its settings.
class CommandLine
{
public:
    CommandLine(std::vector<Verb> verbs, std::ostream &out, std::ostream &error);

    /// @return the exit status of the program
    int run(const std::vector<std::string> &arguments,
            const std::map<std::string, std::string> &environment) const;

private:
    const Verb *find(const std::string &name) const;
    std::string overview() const;
    int runVerb(const Verb &verb, const std::vector<std::string> &arguments,
                const std::map<std::string, std::string> &environment) const;
    std::map<std::string, std::string>
    environmentOf(const Common::Settings &settings,
                  const std::map<std::string, std::string> &environment) const;

    std::vector<Verb> verbs_;
    std::ostream &out_;
    std::ostream &error_;
};

/// Text of "laburnumchute VERB --help".
std::string helpText(const Verb &verb);

} // namespace LaburnumChute::Operator
