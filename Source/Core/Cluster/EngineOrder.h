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

/// What a version of the configuration wants of an engine.
struct DesiredEngine
{
    Common::EndpointId endpoint;
    /// The engine refuses orders with an old fencing number.
    bool checksFences = false;
    /// Empty: any role will do.
    std::string role;
    std::vector<ModelVersion> models;
    std::vector<ModelAdapter> adapters;
};

/// What an engine says of itself.
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
    /// Orders that reached the engine in its life, from whomever.
    std::uint64_t ordersSeen = 0;
};

enum class OrderAction { SetRole, LoadModel, LoadAdapter, UnloadAdapter, UnloadModel };

/// An order names the state that shall be, so that giving it twice is the same as once.
struct EngineOrder
{
    OrderAction action = OrderAction::SetRole;
    Common::ModelName model;
    std::string version;
    Common::AdapterName adapter;
    std::string role;

    bool operator==(const EngineOrder &) const = default;
};

/// True when the order makes the engine read from the weight store.
bool readsWeights(const EngineOrder &order);

/// The next step from the state to the desired one; nothing when there is none to give, because all
/// is as desired or a load under way must end first. Loads go before unloads: an engine that drops
/// what it serves before the successor is ready serves nobody for the time of a load.
std::optional<EngineOrder> nextOrder(const DesiredEngine &desired, const EngineState &state);

} // namespace LaburnumChute::Cluster
