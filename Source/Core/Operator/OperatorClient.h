#pragma once

#include <vector>

#include "Common/Common.h"
#include "Readers/HttpClient.h"

namespace LaburnumChute::Operator {

/// Settings of verbs that send queries to gateways.
extern const Common::Setting<Common::milliseconds> TimeoutSetting;

/// Sends all queries concurrently and returns the responses in the same order. Each query has its
/// own timeout, so that an unresponsive gateway does not affect the others.
std::vector<Common::Result<Readers::HttpClientResponse>>
fetchAll(const std::vector<Readers::HttpClientRequest> &queries);

} // namespace LaburnumChute::Operator
