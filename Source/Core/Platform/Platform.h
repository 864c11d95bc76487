#pragma once

// Public header of the library Platform: readers of the platform's services, which this system only
// ever reads. See docs/PROTOCOLS.md.

#include "Platform/ConfigurationReader.h"
#include "Platform/HttpClient.h"
#include "Platform/InstanceList.h"
#include "Platform/InstanceListReader.h"
#include "Platform/WeightStoreReader.h"
