#pragma once

// Public header of the library Readers: clients of the platform's services, all of them read-only.
// See docs/PROTOCOLS.md.

#include "Readers/ConfigurationReader.h"
#include "Readers/HttpClient.h"
#include "Readers/InstanceList.h"
#include "Readers/InstanceListReader.h"
#include "Readers/WeightStoreReader.h"
