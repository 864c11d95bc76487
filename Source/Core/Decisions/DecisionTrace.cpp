#include "Decisions/DecisionTrace.h"

#include <fmt/format.h>

namespace LaburnumChute::Decisions {

DecisionTrace::DecisionTrace(const TraceOptions &options)
    : options_(options)
{
}

void DecisionTrace::add(const RequestId &request, TraceStep step)
{
    const auto [position, isNew] = steps_.try_emplace(request);
    if (isNew) {
        byAge_.push_back(request);
    }
    if (position->second.size() < options_.linesPerRequest) {
        position->second.push_back(std::move(step));
    }
    if (byAge_.size() > options_.requests) {
        steps_.erase(byAge_.front());
        byAge_.pop_front();
    }
}

std::vector<std::string> DecisionTrace::explain(const RequestId &request) const
{
    const auto found = steps_.find(request);
    if (found == steps_.end()) {
        return {};
    }
    std::vector<std::string> lines;
    const Time start = found->second.front().at;
    for (const auto &step : found->second) {
        lines.push_back(fmt::format("+{:.3f}s {} {} (expected {:.3f}s, {:.0f} tokens)",
                                    Common::toSeconds(step.at - start), step.decision, step.subject,
                                    Common::toSeconds(step.expected), step.tokens));
    }
    return lines;
}

} // namespace LaburnumChute::Decisions
