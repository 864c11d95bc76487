#pragma once

// Public header of the library Endpoints: HTTP/1.1 calls to model engines and plain services. A
// failed call reports whether the endpoint may have run it.

#include "Endpoints/ConnectionPool.h"
#include "Endpoints/EndpointStream.h"
#include "Endpoints/SseSplitter.h"
