#include "Relay/EndCheck.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "Relay/SteadyNow.h"

namespace LaburnumChute::Relay {

namespace {

/// Endpoints that are full let health calls wait as they do requests.
constexpr Common::milliseconds Timeout{1000};

} // namespace

std::string_view toString(EndCheckResult result)
{
    switch (result) {
    case EndCheckResult::Running:
        return "running";
    case EndCheckResult::Ended:
        return "ended";
    case EndCheckResult::Replaced:
        return "replaced";
    case EndCheckResult::Reset:
        return "reset";
    case EndCheckResult::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

EndCheck::EndCheck(std::shared_ptr<OutboundPool> pool, OutboundRequest request,
                   SenderCheck isSender, std::weak_ptr<OutboundCall> answer, ResultHandler onResult)
    : pool_(std::move(pool))
    , request_(std::move(request))
    , isSender_(std::move(isSender))
    , answer_(std::move(answer))
    , onResult_(std::move(onResult))
{
}

EndCheck::~EndCheck()
{
    cancel();
}

void EndCheck::start(Common::Time now)
{
    ask(now);
}

void EndCheck::ask(Common::Time now)
{
    CallEvents events;
    events.head = [this](const ResponseHead &head) {
        fromSender_ = isSender_(head);
        return true;
    };
    events.body = [](const std::string &) {};
    events.released = [this](OutboundConnectionPtr connection) {
        connection_ = std::move(connection);
    };
    events.end = [this](ResponseEnd) { answered(fromSender_, steadyNow()); };
    events.failed = [this](CallFailure failure, const std::string &) { this->failed(failure); };
    call_ = std::make_shared<OutboundCall>(pool_, request_, std::move(events));
    call_->start(std::move(connection_), now);
}

void EndCheck::answered(bool fromSender, Common::Time now)
{
    const auto self = shared_from_this();
    call_.reset();
    if (!fromSender) {
        connection_.reset();
        connectionShown_ = false;
        if (ended_) {
            finish(EndCheckResult::Replaced);
        }
        return;
    }
    if (!ended_) {
        const auto answer = answer_.lock();
        connectionShown_ = connection_ && answer && !answer->remoteClosed();
        return;
    }
    finish(resultOfSender());
    if (connection_) {
        pool_->release(request_.address, std::move(connection_), std::nullopt, now);
    }
}

EndCheckResult EndCheck::resultOfSender() const
{
    const auto answer = answer_.lock();
    if (answer && answer->remoteReset()) {
        return EndCheckResult::Reset;
    }
    return connectionShown_ || !stoodStill_ ? EndCheckResult::Running : EndCheckResult::Unanswered;
}

void EndCheck::failed(CallFailure failure)
{
    const auto self = shared_from_this();
    call_.reset();
    const bool wasShown = std::exchange(connectionShown_, false);
    if (!ended_) {
        return;
    }
    const bool hasEnded = wasShown || failure == CallFailure::Refused;
    finish(hasEnded ? EndCheckResult::Ended : EndCheckResult::Unanswered);
}

void EndCheck::answerEnded(bool stoodStill, Common::Time now)
{
    ended_ = true;
    stoodStill_ = stoodStill;
    deadline_ = now + Timeout;
    if (!call_) {
        ask(now);
    }
}

void EndCheck::tick(Common::Time now)
{
    if (finished_) {
        return;
    }
    if (ended_ && now >= deadline_) {
        finish(EndCheckResult::Unanswered);
        return;
    }
    if (call_) {
        call_->tick(now);
    } else if (!ended_ && connection_ && now >= connection_->reusableUntil) {
        ask(now);
    }
}

void EndCheck::finish(EndCheckResult result)
{
    if (finished_) {
        return;
    }
    const auto self = shared_from_this();
    auto connection = std::move(connection_);
    cancel();
    connection_ = std::move(connection);
    onResult_(result);
}

void EndCheck::cancel()
{
    finished_ = true;
    if (call_) {
        call_->cancel();
        call_.reset();
    }
    connection_.reset();
}

} // namespace LaburnumChute::Relay
