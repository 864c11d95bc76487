#pragma once

// Public header of the library Entry: the HTTP server for callers and operators, the parsed form of
// caller requests, and the problem documents sent in error responses.

#include "Entry/CallerRequest.h"
#include "Entry/CompletionAssembler.h"
#include "Entry/ConnectionMetrics.h"
#include "Entry/Exchange.h"
#include "Entry/HttpServer.h"
#include "Entry/Problem.h"
#include "Entry/StreamContinuation.h"
