#include "Relay/StoreWatcher.h"

#include <algorithm>

#include "Relay/HttpText.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

/// A listing does not wait for changes, so the store answers it within milliseconds.
constexpr Common::milliseconds ListTimeout{1000};
constexpr Common::milliseconds StoreIdleTimeout{5000};
/// Pages of a listing have a megabyte; a response with changes may have several.
constexpr std::uint64_t MaxStoreResponseBytes = 8u << 20;

} // namespace

StoreWatcher::StoreWatcher(std::shared_ptr<OutboundPool> pool, Options options,
                           ChangesHandler changes, StateHandler state)
    : pool_(std::move(pool))
    , options_(options)
    , onChanges_(std::move(changes))
    , onStateChange_(std::move(state))
    , lastFailureAt_(steadyNow())
{
}

StoreWatcher::~StoreWatcher()
{
    if (call_) {
        call_->cancel();
    }
}

void StoreWatcher::setAddress(const std::string &address)
{
    if (address == address_) {
        return;
    }
    address_ = address;
    if (call_) {
        call_->cancel();
        call_.reset();
    }
    step_ = Step::List;
    listAfter_.clear();
}

void StoreWatcher::setOptions(const Options &options)
{
    options_ = options;
}

void StoreWatcher::setDuty(Fleet::WatchDuty duty)
{
    duty_ = duty;
}

bool StoreWatcher::settled(Common::Time now) const
{
    return now - lastFailureAt_ > Catalog::StoreSettled;
}

std::optional<Common::Duration> StoreWatcher::failureAge(Common::Time now) const
{
    return hasFailed_ ? std::optional(now - lastFailureAt_) : std::nullopt;
}

std::optional<Common::Duration> StoreWatcher::answerAge(Common::Time now) const
{
    if (!lastAnswerAt_) {
        return std::nullopt;
    }
    return now - *lastAnswerAt_;
}

void StoreWatcher::advance(Catalog::Revision revision)
{
    const bool listing = !listAfter_.empty();
    if (revision > 0 && !call_ && !listing) {
        revision_ = std::max(revision_, revision);
        listed_ = true;
        step_ = Step::Watch;
    }
}

void StoreWatcher::tick(Common::Time now)
{
    if (address_.empty()) {
        return;
    }
    if (call_) {
        call_->tick(now);
    }
    if (call_ && now >= deadline_) {
        call_->cancel();
        call_.reset();
        handleFailure("no answer in time", now);
    }
    // A started listing is always completed, since every page read so far has a price.
    const bool listing = !listAfter_.empty();
    const bool shouldCall = duty_ != Fleet::WatchDuty::Listens || listing;
    if (!call_ && shouldCall && now >= nextCallAt_) {
        beginCall(now);
    }
}

void StoreWatcher::beginCall(Common::Time now)
{
    const bool watching = step_ == Step::Watch;
    const auto target = watching ? Platform::watchTarget(revision_, options_.wait)
                                 : Platform::listTarget(listAfter_);
    OutboundRequest request;
    request.address = address_;
    request.head = requestHead("GET", target, {{"Host", address_}});
    request.body = std::make_shared<const std::string>();
    request.maxIdle = StoreIdleTimeout;
    request.assumedIdleTimeout = StoreIdleTimeout;
    request.maxBodyBytes = MaxStoreResponseBytes;
    CallEvents events;
    status_ = 0;
    body_.clear();
    events.head = [this](const ResponseHead &head) {
        status_ = head.status;
        return true;
    };
    events.body = [this](const std::string &bytes) { body_ += bytes; };
    events.end = [this](ResponseEnd) {
        call_.reset();
        handleResponse(steadyNow());
    };
    events.failed = [this](CallFailure, const std::string &reason) {
        call_.reset();
        handleFailure(reason, steadyNow());
    };
    callBegunAt_ = now;
    deadline_ = now + (watching ? options_.wait + options_.margin : ListTimeout);
    call_ = std::make_shared<OutboundCall>(pool_, std::move(request), std::move(events));
    call_->start(now);
}

void StoreWatcher::handleResponse(Common::Time now)
{
    if (status_ == Platform::HistoryGoneStatus) {
        noteFailure(now);
        step_ = Step::List;
        listAfter_.clear();
        nextCallAt_ = now;
        return;
    }
    if (status_ != Ok) {
        handleFailure(fmt::format("status {}", status_), now);
        return;
    }
    if (step_ == Step::List) {
        handleListing(now);
    } else {
        handleChanges(now);
    }
}

void StoreWatcher::handleListing(Common::Time now)
{
    auto page = Platform::readListing(body_);
    if (!page) {
        handleFailure(page.error().message, now);
        return;
    }
    handleSuccess(now);
    if (listAfter_.empty()) {
        listing_ = {};
        listing_.complete = true;
        // Items may change between two pages, so only the revision of the first page is certain to
        // be covered.
        listing_.upTo = page->revision;
    }
    std::move(page->items.begin(), page->items.end(), std::back_inserter(listing_.items));
    std::move(page->unreadable.begin(), page->unreadable.end(),
              std::back_inserter(listing_.unreadable));
    listAfter_ = page->nextAfter;
    nextCallAt_ = now;
    if (!listAfter_.empty()) {
        return;
    }
    revision_ = std::max(revision_, listing_.upTo);
    listed_ = true;
    step_ = Step::Watch;
    onChanges_(listing_);
    listing_ = {};
}

void StoreWatcher::handleChanges(Common::Time now)
{
    const auto changes = Platform::readChanges(body_);
    if (!changes) {
        handleFailure(changes.error().message, now);
        return;
    }
    handleSuccess(now);
    revision_ = std::max(revision_, changes->upTo);
    pause_ = changes->items.empty() ? Common::milliseconds(0) : nextPause(now);
    nextCallAt_ = now + pause_;
    onChanges_(*changes);
}

Common::milliseconds StoreWatcher::nextPause(Common::Time now) const
{
    // A call that had to wait for longer than the pause shows that changes have become rare.
    const bool changesAreFrequent = now - callBegunAt_ <= pause_;
    return changesAreFrequent ? std::clamp(pause_ * 2, options_.pause, options_.pauseMax)
                              : options_.pause;
}

void StoreWatcher::handleSuccess(Common::Time now)
{
    lastAnswerAt_ = now;
    retryDelay_ = Common::milliseconds(0);
    if (reportedState_ != StoreState::Answering) {
        reportedState_ = StoreState::Answering;
        onStateChange_(reportedState_, "");
    }
}

void StoreWatcher::noteFailure(Common::Time now)
{
    lastFailureAt_ = now;
    hasFailed_ = true;
}

void StoreWatcher::handleFailure(const std::string &reason, Common::Time now)
{
    noteFailure(now);
    retryDelay_ = std::min(options_.retryMax, std::max(options_.retryFirst, retryDelay_ * 2));
    const bool probing = duty_ == Fleet::WatchDuty::Looks;
    nextCallAt_ = now + (probing ? std::max(retryDelay_, options_.probeInterval) : retryDelay_);
    if (reportedState_ != StoreState::Failing) {
        reportedState_ = StoreState::Failing;
        onStateChange_(reportedState_, reason);
    }
}

} // namespace LaburnumChute::Relay
