#pragma once

#include <vector>

#include "Operator/Verb.h"

namespace LaburnumChute::Operator {

/// Reads configuration files and says all that is wrong with them.
Verb checkVerb();
/// Asks a gateway what a patch makes of the version in force.
Verb patchVerb();
/// Prints the state of one gateway.
Verb dumpVerb();
/// Compares the states of several gateways.
Verb statusVerb();
/// Print the completion script and the man page of the program with these verbs (and these two).
Verb completionVerb(std::vector<Verb> others);
Verb manVerb(std::vector<Verb> others);

/// The verb given, such as "gateway", followed by all verbs for operators.
std::vector<Verb> withOperatorVerbs(Verb first);

} // namespace LaburnumChute::Operator
