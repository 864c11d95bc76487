#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Common/Ids.h"

namespace LaburnumChute::Cluster {

struct ModelVersion
{
    Common::ModelName model;
    std::string version;

    auto operator<=>(const ModelVersion &) const = default; // NOLINT(modernize-use-nullptr)
};

struct ModelAdapter
{
    Common::ModelName model;
    Common::AdapterName adapter;

    auto operator<=>(const ModelAdapter &) const = default; // NOLINT(modernize-use-nullptr)
};

/// Desired state of an engine according to a version of the configuration.
struct DesiredEngine
{
    Common::EndpointId endpoint;
    /// The engine rejects orders with an old fencing token.
    bool checksFences = false;
    /// Empty: any role.
    std::string role;
    std::vector<ModelVersion> models;
    std::vector<ModelAdapter> adapters;
};

/// State reported by an engine.
struct EngineState
{
    struct Model
    {
        ModelVersion version;
        bool ready = false;
    };
    std::string role;
    std::vector<Model> models;
    std::vector<ModelAdapter> adapters;
    std::uint64_t highestFence = 0;
    /// Orders that the engine received since its start, from any instance.
    std::uint64_t ordersSeen = 0;
};

enum class OrderAction { SetRole, LoadModel, LoadAdapter, UnloadAdapter, UnloadModel };

/// An order names the desired state, which makes it idempotent.
struct EngineOrder
{
    OrderAction action = OrderAction::SetRole;
    Common::ModelName model;
    std::string version;
    Common::AdapterName adapter;
    std::string role;

    bool operator==(const EngineOrder &) const = default;
};

/// True if the order makes the engine read from the weight store.
bool readsWeights(const EngineOrder &order);

/// Returns the next order on the way to the desired state; nothing if that state is reached or a
/// load in progress must finish first. Models are loaded before others are unloaded: an engine that
/// unloads its model before the successor is ready can't serve requests during the load.
std::optional<EngineOrder> nextOrder(const DesiredEngine &desired, const EngineState &state);

} // namespace LaburnumChute::Cluster
