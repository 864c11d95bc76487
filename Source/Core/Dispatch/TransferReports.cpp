#include "Dispatch/TransferReports.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace LaburnumChute::Dispatch {

namespace {

/// Older samples count for less than a tenth of what they did.
constexpr milliseconds MaxAge{120000};
/// Factors and weights are reported in percent.
constexpr double Percent = 100;

std::uint16_t inPercent(double value)
{
    constexpr double Largest = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::lround(std::clamp(value * Percent, 0.0, Largest)));
}

} // namespace

TransferReports::TransferReports(const DispatchOptions &options)
    : options_(&options)
{
}

TransferModel &TransferReports::model(const ServiceName &service)
{
    return models_.try_emplace(service, *options_).first->second;
}

std::vector<TransferReport> TransferReports::reports(Time now) const
{
    std::vector<TransferReport> reports;
    for (const auto &[service, model] : models_) {
        for (const auto path : TransferPaths) {
            const auto own = model.samples(path).own();
            if (!own || now - own->at > MaxAge) {
                continue;
            }
            const auto age = std::chrono::duration_cast<milliseconds>(now - own->at).count();
            reports.push_back({shortId(service), static_cast<std::uint8_t>(path),
                               inPercent(own->weight), inPercent(own->factor),
                               inPercent(own->deviation),
                               static_cast<std::uint32_t>(std::max<std::int64_t>(0, age))});
        }
    }
    return reports;
}

void TransferReports::learn(const InstanceId &instance, const std::vector<TransferReport> &reports,
                            const std::map<ServiceName, Catalog::Service> &services, Time now)
{
    for (const auto &report : reports) {
        const auto service = std::find_if(services.begin(), services.end(), [&](const auto &item) {
            return shortId(item.first) == report.service;
        });
        const auto age = milliseconds(report.ageMs);
        if (service == services.end() || report.path >= TransferPaths.size() || age > MaxAge) {
            continue;
        }
        model(service->first)
            .samples(TransferPaths.at(report.path))
            .learn(instance, {report.weightPercent / Percent, report.factorPercent / Percent,
                              report.deviationPercent / Percent, now - age});
    }
}

void TransferReports::keep(const std::vector<InstanceId> &instances)
{
    for (auto &[service, model] : models_) {
        for (const auto path : TransferPaths) {
            model.samples(path).keep(instances);
        }
    }
}

} // namespace LaburnumChute::Dispatch
