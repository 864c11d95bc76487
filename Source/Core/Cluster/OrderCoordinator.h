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
    /// After this instance became the orderer it gives no orders for this long. In that time the
    /// former orderer learns of the change (a death takes up to 5 s to be believed by all of a
    /// region of 94, a leave under 2 s) and what it gave last shows in the engines' states.
    Common::milliseconds quietPeriod{8000};
    /// Between an order and the reading that shows its effect, and between readings during a load.
    Common::milliseconds settleInterval{2000};
    /// Between readings when all is as desired.
    Common::milliseconds auditInterval{30000};
    /// An unanswered reading or order counts as failed after this long.
    Common::milliseconds answerTimeout{5000};
    /// Share of the engines of a model that may be loading while they served it before. An engine
    /// may drop the old version when it begins to load the new one; a new version given to all at
    /// once would leave nobody to serve the model.
    double maxReloadingFraction = 0.34;
    /// Loads that may be given one right after the other, when none were for a while.
    double loadBurst = 2;
};

/// Read the engine's state and report by stateRead() or stateReadFailed().
struct ReadEngineState
{
    Common::EndpointId endpoint;
};

/// Give the order and report by orderAnswered().
struct SendOrder
{
    Common::EndpointId endpoint;
    EngineOrder order;
    std::uint64_t fence = 0;
};

/// Somebody else gave this engine orders meanwhile; this instance holds back.
struct ForeignOrders
{
    Common::EndpointId endpoint;
};

using OrderEffect = std::variant<ReadEngineState, SendOrder, ForeignOrders>;
using OrderEffects = std::vector<OrderEffect>;

struct OrderAccepted
{
};
/// The engine has seen a higher fencing number; the next reading tells which.
struct OrderFenced
{
};
/// No answer, or an error: the order may have been carried out.
struct OrderUncertain
{
};
using OrderAnswer = std::variant<OrderAccepted, OrderFenced, OrderUncertain>;

/// Gives the engines of a region their orders, on the one instance that ClusterNode::orderer()
/// names. Views of the membership differ for a while, so that two instances may both believe to be
/// the orderer, and one that was paused believes it when it wakes. Four things keep that harmless:
/// - orders name a state and are given only on a state that was just read;
/// - a fencing number is above every number read from any engine, and above the wall clock, so that
///   it grows from one orderer to the next without a store;
/// - a new orderer, one that was paused, and one that meets foreign orders keep quiet for a while;
/// - after an order whose fate is unknown, an engine that ignores fencing numbers is left alone
/// until
///   the order can no longer arrive; one that checks them refuses it then.
/// Loads are paced, since the weight store turns away what exceeds its rate, and an engine whose
/// load was turned away serves nothing.
class OrderCoordinator
{
public:
    explicit OrderCoordinator(const OrderOptions &options);

    /// The engines of this region as the configuration in force wants them.
    void setDesired(const std::vector<DesiredEngine> &engines);
    /// This region's share of what the store gives.
    void setLoadsPerMinute(double loads);
    void setOrderer(bool orderer, Common::Time now);
    /// This process was paused.
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
    /// Engines whose last reading was not as desired.
    std::size_t deviating() const;

private:
    enum class Phase { Idle, Reading, Ordering };
    struct Engine
    {
        DesiredEngine desired;
        Phase phase = Phase::Idle;
        Common::Time next;
        Common::Time deadline;
        bool deviates = false;
        /// It was told to load, or the last reading showed a load.
        bool loading = false;
        /// Orders the engine had seen at the last reading, with the one given since.
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
