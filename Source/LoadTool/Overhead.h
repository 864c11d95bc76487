#pragma once

#include <string>

namespace LaburnumChute::LoadTool {

/// Measures what the gateway adds: the same client calls an engine straight and through the
/// gateway, in turns, in one run. The plan names {"straight", "gateway": "ip:port", "model",
/// "token", "requests", "answer_tokens", "gateway_pid", "streams", "stream_seconds"}. Prints one
/// JSON object; exit status 0 when all answers were right.
int measureOverhead(const std::string &planPath);

} // namespace LaburnumChute::LoadTool
