#pragma once

// Public header of the library Async: the threads that run coroutines, and a mailbox between them.

#include "Async/AsyncQueue.h"
#include "Async/IoPool.h"
#include "Async/RunOn.h"
#include "Async/TcpAddress.h"
