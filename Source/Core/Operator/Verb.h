#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Operator {

/// Exit statuses, the same for all verbs.
inline constexpr int StatusDone = 0;
/// The answer is no: a document is not valid, or instances do not agree.
inline constexpr int StatusRefused = 1;
/// A word or a setting is wrong.
inline constexpr int StatusUsage = 2;
/// A file could not be read, or a gateway did not answer.
inline constexpr int StatusUnreachable = 3;
/// The patch is based on a version that is no longer the current one.
inline constexpr int StatusConflict = 4;

struct ExitStatus
{
    int status = StatusDone;
    std::string meaning;
};

/// One call of a verb.
struct Invocation
{
    const Common::Settings &settings;
    /// The words after the verb.
    std::vector<std::string> words;
    std::ostream &out;
    std::ostream &error;
};

/// A verb of the program with all that --help, the man page and the completion say of it.
struct Verb
{
    std::string name;
    /// The words that follow the name: "FILE...".
    std::string operands;
    /// One line without a full stop.
    std::string summary;
    std::string description;
    std::vector<ExitStatus> statuses;
    /// Whether the operands are files, for completion.
    bool takesFiles = false;
    std::function<void(Common::Settings &)> declareSettings;
    std::function<int(const Invocation &)> run;

    /// The verb's settings with nothing but their defaults.
    Common::Settings settings() const;
};

/// Prints one line on the error stream and gives the status back.
int complain(const Invocation &invocation, const std::string &message, int status);

} // namespace LaburnumChute::Operator
