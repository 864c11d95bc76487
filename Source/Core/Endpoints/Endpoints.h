#pragma once

// Public header of the library Endpoints: calls to model engines and plain services over HTTP/1.1,
// with what may be claimed about a call that failed.

#include "Endpoints/ConnectionPool.h"
#include "Endpoints/EndpointStream.h"
#include "Endpoints/SseSplitter.h"
