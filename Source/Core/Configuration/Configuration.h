#pragma once

// Public header of the library Configuration: the typed model of what operators publish, its
// validation, patches, and the check of changes. Performs no I/O and reads no clock.

#include "Configuration/Change.h"
#include "Configuration/Model.h"
#include "Configuration/Parser.h"
#include "Configuration/Patch.h"
#include "Configuration/Problem.h"
#include "Configuration/Tables.h"
