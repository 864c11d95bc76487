#include "Decisions/DemandMeter.h"

#include <cmath>

namespace LaburnumChute::Decisions {

DemandMeter::DemandMeter(Duration window, std::size_t windows)
    : window_(window)
    , windows_(windows)
{
}

void DemandMeter::advance(Series &series, Time now) const
{
    // After a long time without requests only the windows that are kept need to be filled.
    if (now - series.start > window_ * (static_cast<int>(windows_) + 1)) {
        series.complete.assign(windows_, 0);
        series.current = 0;
        series.start = now;
        return;
    }
    while (now - series.start >= window_) {
        series.complete.push_back(series.current);
        series.current = 0;
        series.start += window_;
        if (series.complete.size() > windows_) {
            series.complete.pop_front();
        }
    }
}

void DemandMeter::add(const Target &target, double workTokens, Time now)
{
    const auto [position, isNew] = series_.try_emplace(target);
    auto &series = position->second;
    if (isNew) {
        series.start = now;
    }
    advance(series, now);
    series.current += workTokens;
}

std::vector<TargetDemand> DemandMeter::demand(Time now) const
{
    std::vector<TargetDemand> result;
    const double seconds = Common::toSeconds(window_);
    for (const auto &[target, stored] : series_) {
        Series series = stored;
        advance(series, now);
        const auto count = static_cast<double>(series.complete.size());
        if (series.complete.empty()) {
            continue;
        }
        double sum = 0;
        double squares = 0;
        for (const auto tokens : series.complete) {
            sum += tokens / seconds;
            squares += tokens / seconds * tokens / seconds;
        }
        const double mean = sum / count;
        result.push_back({target, mean, std::sqrt(std::max(0.0, squares / count - mean * mean))});
    }
    return result;
}

} // namespace LaburnumChute::Decisions
