#pragma once

#include <vector>

#include "Common/Common.h"
#include "Readers/HttpClient.h"

namespace LaburnumChute::Operator {

/// Settings of the verbs that call gateways.
extern const Common::Setting<Common::milliseconds> TimeoutSetting;

/// Sends all queries at once and waits for all answers, in the order of the queries. Each has its
/// own timeout, so that one silent gateway does not hide the others.
std::vector<Common::Result<Readers::HttpClientResponse>>
fetchAll(const std::vector<Readers::HttpClientRequest> &queries);

} // namespace LaburnumChute::Operator
