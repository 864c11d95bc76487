#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "Common/Common.h"
#include "Relay/OutboundCall.h"

namespace LaburnumChute::Relay {

/// What became known of the process that sent an answer, once the answer's connection was closed.
enum class EndCheckResult {
    /// It still runs, so it closed the connection itself.
    Running,
    /// It has ended: nothing listens at its address, or it closed all its connections.
    Ended,
    /// Another endpoint has its address.
    Replaced,
    /// It still runs, but has reset the connection behind the end of the answer.
    Reset,
    /// It did not answer in time, or could not be asked.
    Unanswered,
};

std::string_view toString(EndCheckResult result);

/// Shows whether the process that sends an answer without a length still runs after the connection
/// of the answer was closed. The kernel closes the connections of a process that crashes as it
/// closes those of one that has finished, and the address may soon be another process's, which may
/// even have the same id.
///
/// A health call goes to the endpoint on a connection of its own when the answer begins. If it is
/// answered while the answer's connection is open, both connections are those of one process. The
/// same connection is used again after the end, and only that process can answer on it. If the
/// answer ends first, the id in the response to the health call decides.
///
/// The answer's connection must stay open meanwhile, since an endpoint that closes it with a part
/// of the request unread may end the answer first and reset the connection later.
class EndCheck : public std::enable_shared_from_this<EndCheck>
{
public:
    using ResultHandler = std::function<void(EndCheckResult)>;
    /// Whether the response to a health call comes from the endpoint.
    using SenderCheck = std::function<bool(const ResponseHead &)>;

    /// @param request the health call
    /// @param answer the call whose answer has no length
    /// @param onResult called once after answerEnded(), not from within it, unless cancelled
    EndCheck(std::shared_ptr<OutboundPool> pool, OutboundRequest request, SenderCheck isSender,
             std::weak_ptr<OutboundCall> answer, ResultHandler onResult);
    ~EndCheck();

    void start(Common::Time now);
    /// The connection of the answer was closed.
    /// @param stoodStill this process did not run for a while, so that it is not known when it was
    /// closed; an id is then no proof, since a process that has started since may have the same one
    void answerEnded(bool stoodStill, Common::Time now);
    void tick(Common::Time now);
    /// Ends the check without a result.
    void cancel();

private:
    void ask(Common::Time now);
    void answered(bool fromSender, Common::Time now);
    void failed(CallFailure failure);
    EndCheckResult resultOfSender() const;
    void finish(EndCheckResult result);

    std::shared_ptr<OutboundPool> pool_;
    OutboundRequest request_;
    SenderCheck isSender_;
    std::weak_ptr<OutboundCall> answer_;
    ResultHandler onResult_;
    std::shared_ptr<OutboundCall> call_;
    /// Connection on which the last health call was answered.
    OutboundConnectionPtr connection_;
    /// The connection is one of the process that sends the answer.
    bool connectionShown_ = false;
    bool fromSender_ = false;
    bool ended_ = false;
    bool stoodStill_ = false;
    bool finished_ = false;
    Common::Time deadline_{};
};

} // namespace LaburnumChute::Relay
