#pragma once

// Public header of the library Entry: the HTTP server towards callers and operators, the typed form
// of what callers send, and the problem documents they are answered with.

#include "Entry/CallerRequest.h"
#include "Entry/Exchange.h"
#include "Entry/HttpServer.h"
#include "Entry/Problem.h"
#include "Entry/StreamContinuation.h"
#include "Entry/WholeAnswer.h"
