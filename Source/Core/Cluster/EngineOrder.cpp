#include "Cluster/EngineOrder.h"

#include <algorithm>

namespace LaburnumChute::Cluster {

namespace {

template <typename T>
bool contains(const std::vector<T> &items, const T &item)
{
    return std::find(items.begin(), items.end(), item) != items.end();
}

const EngineState::Model *findModel(const EngineState &state, const ModelVersion &version)
{
    const auto it = std::find_if(state.models.begin(), state.models.end(),
                                 [&](const auto &model) { return model.version == version; });
    return it == state.models.end() ? nullptr : &*it;
}

std::optional<EngineOrder> nextLoad(const DesiredEngine &desired, const EngineState &state)
{
    for (const ModelVersion &version : desired.models) {
        if (findModel(state, version) == nullptr) {
            return EngineOrder{OrderAction::LoadModel, version.model, version.version, {}, {}};
        }
    }
    return std::nullopt;
}

bool allModelsReady(const DesiredEngine &desired, const EngineState &state)
{
    return std::all_of(desired.models.begin(), desired.models.end(), [&](const auto &version) {
        const auto *model = findModel(state, version);
        return model != nullptr && model->ready;
    });
}

std::string versionOf(const DesiredEngine &desired, const Common::ModelName &model)
{
    const auto it = std::find_if(desired.models.begin(), desired.models.end(),
                                 [&](const auto &version) { return version.model == model; });
    return it == desired.models.end() ? std::string() : it->version;
}

std::optional<EngineOrder> nextAdapterOrUnload(const DesiredEngine &desired,
                                               const EngineState &state)
{
    for (const ModelAdapter &adapter : desired.adapters) {
        if (!contains(state.adapters, adapter)) {
            return EngineOrder{OrderAction::LoadAdapter,
                               adapter.model,
                               versionOf(desired, adapter.model),
                               adapter.adapter,
                               {}};
        }
    }
    for (const ModelAdapter &adapter : state.adapters) {
        if (!contains(desired.adapters, adapter)) {
            return EngineOrder{OrderAction::UnloadAdapter, adapter.model, {}, adapter.adapter, {}};
        }
    }
    for (const EngineState::Model &model : state.models) {
        if (!contains(desired.models, model.version)) {
            return EngineOrder{
                OrderAction::UnloadModel, model.version.model, model.version.version, {}, {}};
        }
    }
    return std::nullopt;
}

} // namespace

bool readsWeights(const EngineOrder &order)
{
    return order.action == OrderAction::LoadModel || order.action == OrderAction::LoadAdapter;
}

std::optional<EngineOrder> nextOrder(const DesiredEngine &desired, const EngineState &state)
{
    if (!desired.role.empty() && desired.role != state.role) {
        return EngineOrder{OrderAction::SetRole, {}, {}, {}, desired.role};
    }
    auto load = nextLoad(desired, state);
    if (load) {
        return load;
    }
    if (!allModelsReady(desired, state)) {
        return std::nullopt;
    }
    return nextAdapterOrUnload(desired, state);
}

} // namespace LaburnumChute::Cluster
