#pragma once

// Public header of the library Platform: readers of the platform's services, which this system only
// ever reads. See docs/PROTOCOLS.md.

#include "Readers/ConfigurationReader.h"
#include "Readers/HttpClient.h"
#include "Readers/InstanceList.h"
#include "Readers/InstanceListReader.h"
#include "Readers/WeightStoreReader.h"
