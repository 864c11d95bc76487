#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include "Common/Common.h"

namespace LaburnumChute::Async {

/// Calls a function, on the executor, if it is not destroyed within the time. The executor must run
/// on the thread that uses this object.
class TimeLimit
{
public:
    TimeLimit(const boost::asio::any_io_executor &executor, Common::Duration time,
              std::function<void()> onExpiry)
        : state_(std::make_shared<State>(executor, std::move(onExpiry)))
    {
        state_->timer.expires_after(time);
        state_->timer.async_wait([state = state_](const boost::system::error_code &error) {
            if (!error && state->onExpiry) {
                state->expired = true;
                state->onExpiry();
            }
        });
    }
    ~TimeLimit()
    {
        state_->onExpiry = nullptr;
        state_->timer.cancel();
    }
    TimeLimit(const TimeLimit &) = delete;
    TimeLimit &operator=(const TimeLimit &) = delete;

    bool expired() const
    {
        return state_->expired;
    }

private:
    struct State
    {
        State(const boost::asio::any_io_executor &executor, std::function<void()> action)
            : timer(executor)
            , onExpiry(std::move(action))
        {
        }

        boost::asio::steady_timer timer;
        /// Empty once the limit has been destroyed.
        std::function<void()> onExpiry;
        bool expired = false;
    };

    std::shared_ptr<State> state_;
};

} // namespace LaburnumChute::Async
