#pragma once

// Public header of the library Async: the thread pool that runs coroutines, and a queue between
// threads.

#include "Async/AsyncQueue.h"
#include "Async/ByteBudget.h"
#include "Async/IoPool.h"
#include "Async/ReadFinalHead.h"
#include "Async/RunOn.h"
#include "Async/SocketWrite.h"
#include "Async/TcpAddress.h"
#include "Async/TimeLimit.h"
