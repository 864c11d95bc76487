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

/// Whether the platform's store answers.
enum class StoreState { Unknown, Answering, Failing };

/// Synchronizes the catalog with the platform's store: a full listing first, then repeated
/// long-polling calls that wait for changes. Starts over with a listing if the store no longer has
/// the history since the known revision.
class StoreWatcher
{
public:
    struct Options
    {
        /// Maximum wait of a long-polling call. A store that does not respond looks like one
        /// without changes; this and the margin bound the time until that is detected.
        Common::milliseconds wait{1000};
        Common::milliseconds margin{450};
        /// Retry delay after the first failed call; doubled after each further one up to the
        /// maximum.
        Common::milliseconds retryFirst{50};
        Common::milliseconds retryMax{400};
        /// Delay before the next long-polling call after one that returned changes, so that changes
        /// that follow within this time are fetched together. The number of calls is a cost, so the
        /// delay is doubled up to the maximum while every call returns changes: in a large
        /// deployment, an endpoint is replaced every few milliseconds for a long time.
        Common::milliseconds pause{60};
        Common::milliseconds pauseMax{240};
        /// Minimum retry delay of an instance that does not watch the store and only checks whether
        /// the store answers it.
        Common::milliseconds probeInterval{1500};
    };

    /// Called for each response, including those without changes.
    using ChangesHandler = std::function<void(const Catalog::ItemChanges &)>;
    /// Called with the reason when the store stops answering, and when it answers again.
    using StateHandler = std::function<void(StoreState, const std::string &reason)>;

    StoreWatcher(std::shared_ptr<OutboundPool> pool, Options options, ChangesHandler changes,
                 StateHandler state);
    ~StoreWatcher();

    void setAddress(const std::string &address);
    void setOptions(const Options &options);
    /// Sets whether calls are made, and how often.
    void setDuty(Fleet::WatchDuty duty);
    void tick(Common::Time now);
    /// Notes that changes up to the revision have been received from elsewhere.
    void advance(Catalog::Revision revision);

    /// Time since the last response, or nothing if the store has never answered this process.
    std::optional<Common::Duration> answerAge(Common::Time now) const;
    /// Time since the last failed call, or nothing if there was none.
    std::optional<Common::Duration> failureAge(Common::Time now) const;
    /// Returns true if there has been no failure for longer than `Catalog::StoreSettled`.
    bool settled(Common::Time now) const;
    /// Returns true once a listing has been read completely.
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
    Common::milliseconds nextPause(Common::Time now) const;
    void noteFailure(Common::Time now);
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
    std::optional<Common::Time> lastAnswerAt_;
    /// Start of this process until a call has failed.
    Common::Time lastFailureAt_{};
    bool hasFailed_ = false;
    Common::milliseconds retryDelay_{0};
    Common::Time callBegunAt_{};
    Common::milliseconds pause_{0};
    Catalog::Revision revision_ = 0;
    std::string listAfter_;
    Catalog::ItemChanges listing_;
    bool listed_ = false;
    StoreState reportedState_ = StoreState::Unknown;
};

} // namespace LaburnumChute::Relay
