#pragma once

#include <string>
#include <vector>

#include "Operator/Verb.h"

namespace LaburnumChute::Operator {

/// laburnumchute(1) as roff for man(1).
std::string manPage(const std::vector<Verb> &verbs);

} // namespace LaburnumChute::Operator
