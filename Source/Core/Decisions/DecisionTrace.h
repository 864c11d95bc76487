#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "Decisions/Facts.h"
#include "Decisions/Options.h"

namespace LaburnumChute::Decisions {

/// One decision on a request, kept as values and put into words only when asked for.
struct TraceStep
{
    Time at{};
    /// A literal that says what was decided.
    const char *what = "";
    /// The endpoint, region or reason; may be empty.
    std::string subject;
    Duration expected{0};
    double tokens = 0;
};

/// The last decisions on the last requests, in bounded memory.
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
