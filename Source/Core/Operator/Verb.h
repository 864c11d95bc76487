#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Operator {

/// Exit statuses of all verbs.
inline constexpr int StatusDone = 0;
/// A document is invalid, or instances disagree.
inline constexpr int StatusRefused = 1;
/// An argument or setting is invalid.
inline constexpr int StatusUsage = 2;
/// A file could not be read, or a gateway did not respond.
inline constexpr int StatusUnreachable = 3;
/// The patch is based on an outdated version.
inline constexpr int StatusConflict = 4;

struct ExitStatus
{
    int status = StatusDone;
    std::string meaning;
};

/// Arguments and streams of one invocation.
struct Invocation
{
    const Common::Settings &settings;
    /// Arguments after the verb.
    std::vector<std::string> words;
    std::ostream &out;
    std::ostream &error;
};

/// A verb of the program and its description for --help, the man page and completion.
struct Verb
{
    std::string name;
    /// Synopsis of the arguments, such as "FILE...".
    std::string operands;
    /// One line without a period.
    std::string summary;
    std::string description;
    std::vector<ExitStatus> statuses;
    /// The arguments are file names; for completion.
    bool takesFiles = false;
    std::function<void(Common::Settings &)> declareSettings;
    std::function<int(const Invocation &)> run;

    /// Settings of the verb with their default values.
    Common::Settings settings() const;
};

/// Prints one line to the error stream and returns the status.
int complain(const Invocation &invocation, const std::string &message, int status);

} // namespace LaburnumChute::Operator
