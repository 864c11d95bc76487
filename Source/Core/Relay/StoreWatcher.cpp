#include "Relay/StoreWatcher.h"

#include <algorithm>

#include "Relay/HttpText.h"
#include "Relay/Statuses.h"
#include "Relay/SteadyNow.h"
#include "platform/Platform.h"

namespace LaburnumChute::Relay {

namespace {

/// A listing has no wait; the store answers in milliseconds.
constexpr Common::milliseconds ListTimeout{1000};
constexpr Common::milliseconds StoreIdle{5000};

} // namespace

StoreWatcher::StoreWatcher(std::shared_ptr<OutboundPool> pool, Options options,
                           ChangesHandler changes, StateHandler state)
    : pool_(std::move(pool))
    , options_(options)
    , changes_(std::move(changes))
    , state_(std::move(state))
    , lastTrouble_(steadyNow())
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
    return now - lastTrouble_ > Catalog::StoreSettled;
}

std::optional<Common::Duration> StoreWatcher::answerAge(Common::Time now) const
{
    if (!lastAnswer_) {
        return std::nullopt;
    }
    return now - *lastAnswer_;
}

void StoreWatcher::advance(Catalog::Revision revision)
{
    if (listed_ && !call_) {
        revision_ = std::max(revision_, revision);
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
    if (call_ && now >= giveUpAt_) {
        call_->cancel();
        call_.reset();
        failed("no answer in time", now);
    }
    // A listing that was begun is finished: the first one makes the instance ready.
    const bool wanted = duty_ != Fleet::WatchDuty::Listens || step_ == Step::List;
    if (!call_ && wanted && now >= nextAt_) {
        begin(now);
    }
}

void StoreWatcher::begin(Common::Time now)
{
    const bool watching = step_ == Step::Watch;
    const auto target = watching ? Platform::watchTarget(revision_, options_.wait)
                                 : Platform::listTarget(listAfter_);
    OutboundRequest request;
    request.address = address_;
    request.head = requestHead("GET", target, {{"Host", address_}});
    request.body = std::make_shared<const std::string>();
    request.maxIdle = StoreIdle;
    request.assumedKeep = StoreIdle;
    CallEvents events;
    status_ = 0;
    body_.clear();
    events.head = [this](const AnswerHead &head) {
        status_ = head.status;
        return true;
    };
    events.body = [this](const std::string &bytes) { body_ += bytes; };
    events.end = [this] {
        call_.reset();
        answered(steadyNow());
    };
    events.failed = [this](CallFailure, const std::string &reason) {
        call_.reset();
        failed(reason, steadyNow());
    };
    giveUpAt_ = now + (watching ? options_.wait + options_.margin : ListTimeout);
    call_ = std::make_shared<OutboundCall>(pool_, std::move(request), std::move(events));
    call_->start(now);
}

void StoreWatcher::answered(Common::Time now)
{
    if (status_ == Platform::HistoryGoneStatus) {
        lastTrouble_ = now;
        step_ = Step::List;
        listAfter_.clear();
        nextAt_ = now;
        return;
    }
    if (status_ != Ok) {
        failed(fmt::format("status {}", status_), now);
        return;
    }
    if (step_ == Step::List) {
        takeListing(now);
    } else {
        takeChanges(now);
    }
}

void StoreWatcher::takeListing(Common::Time now)
{
    auto page = Platform::readListing(body_);
    if (!page) {
        failed(page.error().message, now);
        return;
    }
    succeeded(now);
    if (listAfter_.empty()) {
        listing_ = {};
        listing_.complete = true;
        // Items may change between two pages; what the first page says is certain.
        listing_.upTo = page->revision;
    }
    std::move(page->items.begin(), page->items.end(), std::back_inserter(listing_.items));
    listAfter_ = page->nextAfter;
    nextAt_ = now;
    if (!listAfter_.empty()) {
        return;
    }
    revision_ = std::max(revision_, listing_.upTo);
    listed_ = true;
    step_ = Step::Watch;
    changes_(listing_);
    listing_ = {};
}

void StoreWatcher::takeChanges(Common::Time now)
{
    const auto changes = Platform::readChanges(body_);
    if (!changes) {
        failed(changes.error().message, now);
        return;
    }
    succeeded(now);
    revision_ = std::max(revision_, changes->upTo);
    nextAt_ = changes->items.empty() ? now : now + options_.pause;
    changes_(*changes);
}

void StoreWatcher::succeeded(Common::Time now)
{
    lastAnswer_ = now;
    retry_ = Common::milliseconds(0);
    if (reported_ != StoreState::Answering) {
        reported_ = StoreState::Answering;
        state_(reported_, "");
    }
}

void StoreWatcher::failed(const std::string &reason, Common::Time now)
{
    lastTrouble_ = now;
    retry_ = std::min(options_.retryMax, std::max(options_.retryFirst, retry_ * 2));
    const bool looks = duty_ == Fleet::WatchDuty::Looks;
    nextAt_ = now + (looks ? std::max(retry_, options_.lookInterval) : retry_);
    if (reported_ != StoreState::Failing) {
        reported_ = StoreState::Failing;
        state_(reported_, reason);
    }
}

} // namespace LaburnumChute::Relay
