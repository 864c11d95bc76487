#include "Dispatch/Brittleness.h"

#include <algorithm>

namespace LaburnumChute::Dispatch {

namespace {

/// How long the end is reported, so that it reaches every instance of the region.
constexpr milliseconds EndReportTime{3000};

} // namespace

bool Brittleness::update(std::uint32_t service, bool brittle, Time at)
{
    const auto found = statements_.find(service);
    if (found == statements_.end() && !brittle) {
        return false;
    }
    auto &statement = found != statements_.end() ? found->second : statements_[service];
    if (at <= statement.at) {
        return false;
    }
    statement.at = at;
    statement.brittleAt = brittle ? at : statement.brittleAt;
    return std::exchange(statement.brittle, brittle) != brittle;
}

bool Brittleness::brittle(const ServiceName &service) const
{
    if (statements_.empty()) {
        return false;
    }
    const auto found = statements_.find(shortId(service));
    return found != statements_.end() && found->second.brittle;
}

void Brittleness::learn(const std::vector<BrittleReport> &reports, Time now)
{
    for (const auto &report : reports) {
        update(report.service, report.brittle, now - milliseconds(report.ageMs));
    }
}

std::vector<BrittleReport> Brittleness::reports(Time now) const
{
    std::vector<BrittleReport> reports;
    for (const auto &[service, statement] : statements_) {
        if (statement.brittle || now - statement.brittleAt < EndReportTime) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - statement.at).count();
            reports.push_back({service, statement.brittle, static_cast<std::uint32_t>(age)});
        }
    }
    return reports;
}

} // namespace LaburnumChute::Dispatch
