#pragma once

#include <string>
#include <vector>

#include "Operator/Verb.h"

namespace LaburnumChute::Operator {

/// Bash script that completes verbs, their settings and file names.
std::string bashCompletion(const std::vector<Verb> &verbs);

} // namespace LaburnumChute::Operator
