#pragma once

// Public header of the library Operator: the verbs of the program and the command line that chooses
// among them.

#include "Operator/CommandLine.h"
#include "Operator/Status.h"
#include "Operator/Verb.h"
#include "Operator/Verbs.h"
