#pragma once

#include <string>

namespace LaburnumChute::LoadTool {

/// Measures what the gateway adds: the same client calls an engine straight and through the
/// gateway, in turns, in one run. The plan names {"straight", "gateway": "ip:port", "model",
/// "token", "requests", "answer_tokens", "connections", "load_seconds", "streams", "gateway_pid",
/// "time", "memory"}; the last two choose the halves to run. Prints one JSON object; exit status 0
/// when all answers were right.
int measureOverhead(const std::string &planPath);

} // namespace LaburnumChute::LoadTool
