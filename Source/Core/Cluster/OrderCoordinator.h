#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "Cluster/EngineOrder.h"
#include "Common/Time.h"

namespace LaburnumChute::Cluster {

struct OrderOptions
{
    /// Time without orders after this instance became the orderer. Meanwhile the former orderer
    /// learns of the change (a death reaches all within 5 s, a leave within 2 s), and its last
    /// orders become visible in the engines' states.
    Common::milliseconds quietPeriod{8000};
    /// Delay between an order and the reading of its effect, and interval between readings during a
    /// load.
    Common::milliseconds settleInterval{2000};
    /// Interval between readings when the engine is in its desired state.
    Common::milliseconds auditInterval{30000};
    /// Timeout of a reading or an order.
    Common::milliseconds answerTimeout{5000};
    /// Maximum fraction of a model's engines that may load a new version of it at the same time. An
    /// engine may unload the old version when it starts to load the new one, so without a limit no
    /// engine would serve the model during the rollout.
    double maxReloadingFraction = 0.34;
    /// Burst size of the token bucket that limits the rate of loads.
    double loadBurst = 2;
};

/// Read the engine's state and pass the outcome to stateRead() or stateReadFailed().
struct ReadEngineState
{
    Common::EndpointId endpoint;
};

/// Send the order and pass the outcome to orderAnswered().
struct SendOrder
{
    Common::EndpointId endpoint;
    EngineOrder order;
    std::uint64_t fence = 0;
};

/// Another instance has sent orders to this engine; this one pauses its own.
struct ForeignOrders
{
    Common::EndpointId endpoint;
};

using OrderEffect = std::variant<ReadEngineState, SendOrder, ForeignOrders>;
using OrderEffects = std::vector<OrderEffect>;

struct OrderAccepted
{
};
/// The engine has seen a higher fencing token; the next reading returns it.
struct OrderFenced
{
};
/// No answer or an error; the order may have been executed.
struct OrderUncertain
{
};
using OrderAnswer = std::variant<OrderAccepted, OrderFenced, OrderUncertain>;

/// Sends orders to the engines of a region, on the one instance that ClusterNode::orderer()
/// selects. Since views of the membership may differ for a while, two instances may both consider
/// themselves the orderer, and a paused one may still do so when it resumes. Four rules make this
/// safe:
/// - orders are idempotent and sent only in response to a state that was just read;
/// - a fencing token is above every token read from any engine and not below the wall clock time,
///   so that tokens increase from one orderer to the next without being stored;
/// - a new orderer, one that was paused, and one that detects foreign orders wait for a quiet
///   period;
/// - after an order whose outcome is unknown, an engine that ignores fencing tokens gets no orders
///   until that order can no longer arrive; an engine that checks them would reject it.
///
/// Loads are rate limited, since the weight store rejects reads above its rate, and an engine whose
/// load was rejected can't serve requests.
class OrderCoordinator
{
public:
    explicit OrderCoordinator(const OrderOptions &options);

    /// Sets the desired state of this region's engines according to the configuration in force.
    void setDesired(const std::vector<DesiredEngine> &engines);
    /// Sets the rate of loads that the weight store grants this region.
    void setLoadsPerMinute(double loads);
    void setOrderer(bool orderer, Common::Time now);
    /// Call after this process was paused; starts a quiet period.
    void resumed(Common::Time now);

    OrderEffects tick(Common::Time now);
    OrderEffects stateRead(const Common::EndpointId &endpoint, const EngineState &state,
                           Common::Time now, Common::WallTime wallNow);
    void stateReadFailed(const Common::EndpointId &endpoint, Common::Time now);
    void orderAnswered(const Common::EndpointId &endpoint, const OrderAnswer &answer,
                       Common::Time now);

    bool orderer() const
    {
        return orderer_;
    }
    std::uint64_t highestFence() const
    {
        return highestFence_;
    }
    /// Number of engines that were not in their desired state when last read.
    std::size_t deviating() const;

private:
    enum class Phase { Idle, Reading, Ordering };
    struct Engine
    {
        DesiredEngine desired;
        Phase phase = Phase::Idle;
        Common::Time nextRead;
        Common::Time deadline;
        bool deviates = false;
        /// A load was ordered, or the last reading showed one in progress.
        bool loading = false;
        /// Orders that the engine had seen at the last reading, plus the one sent since.
        std::optional<std::uint64_t> ordersExpected;
    };

    void startQuietPeriod(Common::Time now);
    bool takeLoadToken(Common::Time now);
    bool mayReload(const Engine &engine, const EngineState &state,
                   const Common::ModelName &model) const;
    void markUncertain(Engine &engine, Common::Time now);
    OrderEffects decide(Engine &engine, const EngineState &state, Common::Time now,
                        Common::WallTime wallNow);

    OrderOptions options_;
    bool orderer_ = false;
    std::uint64_t highestFence_ = 0;
    double loadsPerMinute_ = 0;
    double loadTokens_ = 0;
    Common::Time tokensUpdated_;
    std::map<Common::EndpointId, Engine> engines_;
    Common::Time quietUntil_;
};

} // namespace LaburnumChute::Cluster
