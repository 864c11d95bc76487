#pragma once

// Public header of the library Operator: the command line and its verbs.

#include "Operator/CommandLine.h"
#include "Operator/Status.h"
#include "Operator/Verb.h"
#include "Operator/Verbs.h"
