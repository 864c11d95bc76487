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

/// The way back of an answer: to a caller on this instance, or over the channel to the instance
/// that the caller spoke to. All that send give false when nobody takes the answer any more.
class Responder
{
public:
    explicit Responder(Entry::Exchange &exchange)
        : way_(&exchange)
    {
    }
    explicit Responder(std::shared_ptr<Peers::IncomingCall> call)
        : way_(std::move(call))
    {
    }

    asio::awaitable<bool> head(unsigned status, Common::Headers headers);
    asio::awaitable<bool> piece(std::string bytes);
    asio::awaitable<bool> end();
    asio::awaitable<bool> whole(unsigned status, Common::Headers headers, std::string body);
    asio::awaitable<bool> problem(Entry::Problem problem);

    void onGone(std::function<void()> callback);
    bool gone() const;
    /// True once a part of the answer has been sent.
    bool started() const
    {
        return started_;
    }

private:
    using Caller = Entry::Exchange *;
    using Peer = std::shared_ptr<Peers::IncomingCall>;

    std::variant<Caller, Peer> way_;
    bool started_ = false;
};

} // namespace LaburnumChute::Gateway
