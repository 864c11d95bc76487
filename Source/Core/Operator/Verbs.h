#pragma once

#include <vector>

#include "Operator/Verb.h"

namespace LaburnumChute::Operator {

/// Validates configuration files and prints all problems.
Verb checkVerb();
/// Has a gateway apply a patch to the version in force.
Verb patchVerb();
/// Prints the state of a gateway.
Verb dumpVerb();
/// Compares the states of several gateways.
Verb statusVerb();
/// Print the completion script and the man page of the program with these verbs and themselves.
Verb completionVerb(std::vector<Verb> others);
Verb manVerb(std::vector<Verb> others);

/// Returns the given verb, such as "gateway", followed by all verbs for operators.
std::vector<Verb> withOperatorVerbs(Verb first);

} // namespace LaburnumChute::Operator
