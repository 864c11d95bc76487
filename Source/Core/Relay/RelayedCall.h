#pragma once

#include <memory>
#include <optional>
#include <string>

#include "Catalog/Catalog.h"
#include "Dialect/Dialect.h"
#include "Dispatch/Dispatch.h"
#include "Relay/EventCutter.h"
#include "Relay/ForwardNote.h"
#include "Relay/InboundConnection.h"
#include "Relay/OutboundCall.h"

namespace LaburnumChute::Relay {

class RelayGateway;

/// What is fixed of a request as it is taken in.
struct RelayPlan
{
    Dispatch::CallFacts facts;
    Dialect::CallerMetadata head;
    /// Of the caller, without what concerns its connection alone.
    Common::Headers headers;
    std::string method;
    std::string target;
    std::shared_ptr<const std::string> body;
    bool resumable = false;
    std::optional<Common::milliseconds> gap;
    /// It came from another instance, which tells its caller.
    bool fromPeer = false;
};

/// One request on its way: carries out what the scheduler decides, passes the answer back, and
/// answers by itself what got no answer.
class RelayedCall : public std::enable_shared_from_this<RelayedCall>
{
public:
    RelayedCall(RelayGateway &gateway, RelayPlan plan,
                std::shared_ptr<InboundConnection> connection);
    ~RelayedCall();

    void start(Common::Time now);
    void tick(Common::Time now);

    // What the scheduler decides.

    void send(const Dispatch::Send &effect, Common::Time now);
    void forward(const Dispatch::Forward &effect, Common::Time now);
    void reject(const Dispatch::Reject &effect, Common::Time now);
    void fail(Common::Time now);
    void takeBack(Common::Time now);

    const RelayPlan &plan() const
    {
        return plan_;
    }
    bool over() const
    {
        return over_;
    }

private:
    /// How the answer under way is handled.
    enum class Mode {
        None,
        /// Passed on event by event.
        Events,
        /// Kept until it is whole.
        Whole,
        /// The endpoint or instance says that it has not run the request.
        NotRun,
        /// Another instance does not know what became of it.
        Unknown,
    };
    struct KeptAnswer
    {
        unsigned status = 0;
        Common::Headers headers;
        std::string body;
    };

    OutboundRequest outboundRequest(const std::string &address, const Common::Headers &headers,
                                    Common::Time now) const;
    Common::Duration connectionAge() const;
    void startCall(OutboundRequest request, Common::Time now);
    bool takeHead(const AnswerHead &head);
    void readPeerState(const AnswerHead &head);
    void recordLimit(const Dialect::EndpointResponseMetadata &facts, Common::Time now);
    void takeBody(const std::string &bytes);
    void passEvents(const std::string &events);
    void takeEnd();
    void takeFailure(CallFailure failure, const std::string &reason);
    void endTry(Dispatch::TryOutcome outcome, bool mayGoOn, Common::Time now);
    bool isSuccess() const;
    void answerKept();
    void answerOwn(unsigned status, const std::string &detail,
                   std::optional<Common::milliseconds> retryAfter, bool notRun);
    void callerGone();
    /// Ends the request instead of sending it when its caller has left; true if so.
    bool endedAsCallerLeft(Common::Time now);
    void timeOut(Common::Time now);
    void finish(const char *outcome);
    Common::milliseconds timeLeft(Common::Time now) const;

    RelayGateway &gateway_;
    RelayPlan plan_;
    std::shared_ptr<InboundConnection> connection_;
    std::shared_ptr<OutboundCall> call_;
    Mode mode_ = Mode::None;
    KeptAnswer kept_;
    /// The last answer of an endpoint that another try may still replace.
    std::optional<KeptAnswer> spare_;
    EventCutter cutter_;
    Common::EndpointId endpoint_;
    Common::InstanceId peer_;
    Common::Time sentAt_{};
    Common::Time lastEventAt_{};
    /// From taking the request to the first event passed on, and the longest pause after it.
    std::optional<Common::Duration> firstEventAfter_;
    Common::Duration longestPause_{0};
    int eventsPassed_ = 0;
    /// Rate limit stated in the last answer of an endpoint.
    std::optional<double> limitPerSecond_;
    Common::Duration expected_{0};
    std::string lastReason_;
    bool started_ = false;
    bool answering_ = false;
    bool everSent_ = false;
    bool callerGone_ = false;
    bool over_ = false;
};

} // namespace LaburnumChute::Relay
