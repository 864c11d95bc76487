#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Catalog/Catalog.h"
#include "Fleet/Fleet.h"
#include "Relay/OutboundCall.h"

namespace LaburnumChute::Relay {

/// How the platform's store answers.
enum class StoreState { Unknown, Answering, Failing };

/// Keeps the catalog in step with the platform's store: a listing first, then one call that waits
/// for changes, again and again; a new listing when the store has forgotten what happened since.
class StoreWatcher
{
public:
    struct Options
    {
        /// Of the waiting call. A silent store looks like a calm one: this and the margin bound the
        /// time until the difference is seen.
        Common::milliseconds wait{1000};
        Common::milliseconds margin{450};
        /// After the first failed call; doubled up to the maximum.
        Common::milliseconds retryFirst{50};
        Common::milliseconds retryMax{400};
        /// Between two waiting calls when the first brought changes: those that follow within this
        /// time come together, and each call has a price.
        Common::milliseconds pause{60};
        /// Between two calls of an instance that is no watcher and only looks whether the store
        /// answers it.
        Common::milliseconds probeInterval{1500};
    };

    /// Told of each answer: changes, or none.
    using ChangesHandler = std::function<void(const Catalog::ItemChanges &)>;
    /// Told when the store is lost or back, with the reason.
    using StateHandler = std::function<void(StoreState, const std::string &reason)>;

    StoreWatcher(std::shared_ptr<OutboundPool> pool, Options options, ChangesHandler changes,
                 StateHandler state);
    ~StoreWatcher();

    void setAddress(const std::string &address);
    void setOptions(const Options &options);
    /// Whether calls are made, and how often.
    void setDuty(Fleet::WatchDuty duty);
    void tick(Common::Time now);
    /// Changes up to the revision have come from elsewhere.
    void advance(Catalog::Revision revision);

    /// Time since the last answer; nothing when the store has never answered this process.
    std::optional<Common::Duration> answerAge(Common::Time now) const;
    /// The store has answered without a break for so long.
    bool settled(Common::Time now) const;
    /// The store's contents have been read once.
    bool listed() const
    {
        return listed_;
    }

private:
    enum class Step { List, Watch };

    void beginCall(Common::Time now);
    void handleResponse(Common::Time now);
    void handleListing(Common::Time now);
    void handleChanges(Common::Time now);
    void handleFailure(const std::string &reason, Common::Time now);
    void handleSuccess(Common::Time now);

    std::shared_ptr<OutboundPool> pool_;
    Options options_;
    ChangesHandler onChanges_;
    StateHandler onStateChange_;
    std::string address_;
    Fleet::WatchDuty duty_ = Fleet::WatchDuty::Watches;
    Step step_ = Step::List;
    std::shared_ptr<OutboundCall> call_;
    unsigned status_ = 0;
    std::string body_;
    Common::Time deadline_{};
    Common::Time nextCallAt_{};
    std::optional<Common::Time> lastAnswer_;
    Common::Time lastFailureAt_{};
    Common::milliseconds retryDelay_{0};
    Catalog::Revision revision_ = 0;
    std::string listAfter_;
    Catalog::ItemChanges listing_;
    bool listed_ = false;
    StoreState reportedState_ = StoreState::Unknown;
};

} // namespace LaburnumChute::Relay
