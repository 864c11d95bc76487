#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Entry/Entry.h"
#include "Peers/Peers.h"

namespace LaburnumChute::Gateway {

namespace asio = boost::asio;

/// Sends a response to a caller of this instance, or over the channel to the instance that
/// forwarded the request. The send functions return false if the receiver has disconnected.
class Responder
{
public:
    explicit Responder(Entry::Exchange &exchange)
        : receiver_(&exchange)
    {
    }
    explicit Responder(std::shared_ptr<Peers::IncomingCall> call)
        : receiver_(std::move(call))
    {
    }

    asio::awaitable<bool> sendHead(unsigned status, Common::Headers headers);
    asio::awaitable<bool> sendPiece(std::string bytes);
    asio::awaitable<bool> sendEnd();
    asio::awaitable<bool> sendWhole(unsigned status, Common::Headers headers, std::string body);
    asio::awaitable<bool> sendProblem(Entry::Problem problem);

    void onDisconnect(std::function<void()> callback);
    /// Called when the caller of the instance that forwarded the request has left.
    void onWithdrawn(std::function<void()> callback);
    bool disconnected() const;
    /// True once a part of the response was sent.
    bool started() const
    {
        return started_;
    }

private:
    using Caller = Entry::Exchange *;
    using Peer = std::shared_ptr<Peers::IncomingCall>;

    std::variant<Caller, Peer> receiver_;
    bool started_ = false;
};

} // namespace LaburnumChute::Gateway
