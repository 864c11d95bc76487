#include "Configuration/Change.h"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>

namespace LaburnumChute::Configuration {

using nlohmann::json;

namespace {

const json::json_pointer Root;

int total(const RunnersByRegion &runners)
{
    return std::accumulate(runners.begin(), runners.end(), 0,
                           [](int sum, const auto &entry) { return sum + entry.second; });
}

int totalOf(const Configuration &configuration, const ModelName &model)
{
    const auto &placements = configuration.tables().modelPlacements;
    const auto found = placements.find(model);
    return found == placements.end() ? 0 : total(found->second.runners);
}

int totalOf(const Configuration &configuration, const ServiceName &service)
{
    const auto &placements = configuration.tables().servicePlacements;
    const auto found = placements.find(service);
    return found == placements.end() ? 0 : total(found->second);
}

bool exists(const Configuration &configuration, const ModelName &model)
{
    return configuration.model(model) != nullptr;
}

bool exists(const Configuration &configuration, const ServiceName &service)
{
    return configuration.service(service) != nullptr;
}

/// Finds targets of a route of the old version that the new version does not serve.
class StrandedTarget
{
public:
    StrandedTarget(const Configuration &before, const Configuration &after, Problems &problems)
        : before_(before)
        , after_(after)
        , problems_(problems)
    {
    }

    void operator()(const ModelName &model) const
    {
        check(model, "models");
    }

    void operator()(const ServiceName &service) const
    {
        check(service, "services");
    }

private:
    template <typename Name>
    void check(const Name &name, const char *section) const
    {
        if (totalOf(before_, name) == 0) {
            return;
        }
        if (!exists(after_, name)) {
            problems_.push_back(makeMissing(Root / section / name.text(), Expected));
        } else if (totalOf(after_, name) == 0) {
            problems_.push_back(
                makeMissing(Root / "placements" / section / name.text() / "runners", Expected));
        }
    }

    static constexpr const char *Expected =
        "at least one runner, since routes of the version before lead here; first publish a change "
        "that takes away the routes";

    const Configuration &before_;
    const Configuration &after_;
    Problems &problems_;
};

void checkAdapters(const ModelName &model, const ModelPlacement &placement,
                   const Configuration &after, Problems &problems)
{
    const auto *newModel = after.model(model);
    if (!newModel) {
        return;
    }
    for (const auto &[adapter, runners] : placement.adapters) {
        const auto &kept = newModel->adapters;
        if (total(runners) > 0 && std::find(kept.begin(), kept.end(), adapter) == kept.end()) {
            problems.push_back(makeMissing(
                Root / "models" / model.text() / "adapters",
                fmt::format("the adapter \"{}\", since the version before placed it on {} runners; "
                            "first publish a change that takes away its placement",
                            adapter, total(runners))));
        }
    }
}

} // namespace

Problems checkChange(const Configuration &before, const Configuration &after)
{
    Problems problems;
    const StrandedTarget stranded(before, after, problems);
    for (const auto &[name, route] : before.tables().routes) {
        std::visit(stranded, route.target);
    }
    for (const auto &[model, placement] : before.tables().modelPlacements) {
        checkAdapters(model, placement, after, problems);
    }
    // Several routes may lead to one model.
    std::vector<Problem> distinct;
    for (auto &problem : problems) {
        if (std::find(distinct.begin(), distinct.end(), problem) == distinct.end()) {
            distinct.push_back(std::move(problem));
        }
    }
    return distinct;
}

} // namespace LaburnumChute::Configuration
