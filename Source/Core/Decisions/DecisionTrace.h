#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// A decision about a request. Stored as values and formatted only on demand.
struct TraceStep
{
    Time at{};
    /// String literal that describes the decision.
    const char *decision = "";
    /// Endpoint, region or reason; may be empty.
    std::string subject;
    Duration expected{0};
    double tokens = 0;
};

/// Decisions about the most recent requests, in bounded memory: the first linesPerRequest of each
/// request.
class DecisionTrace
{
public:
    explicit DecisionTrace(const TraceOptions &options);

    void add(const RequestId &request, TraceStep step);
    std::vector<std::string> explain(const RequestId &request) const;

private:
    TraceOptions options_;
    std::unordered_map<RequestId, std::vector<TraceStep>> steps_;
    std::deque<RequestId> byAge_;
};

} // namespace LaburnumChute::Decisions
