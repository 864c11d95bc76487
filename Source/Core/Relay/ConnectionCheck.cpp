#include "Relay/ConnectionCheck.h"

#include <boost/asio/post.hpp>

#include "Async/Async.h"
#include "Relay/SteadyNow.h"

namespace LaburnumChute::Relay {

ConnectionCheck::ConnectionCheck(std::shared_ptr<OutboundPool> pool, std::string address,
                                 Common::Duration timeout, ResultHandler onResult)
    : pool_(std::move(pool))
    , address_(std::move(address))
    , timeout_(timeout)
    , onResult_(std::move(onResult))
{
}

void ConnectionCheck::start(Common::Time now)
{
    deadline_ = now + timeout_;
    const auto target = Async::parseTcpAddress(address_);
    connection_ = target ? pool_->open(*target) : nullptr;
    if (!connection_) {
        asio::post(pool_->context(),
                   [self = shared_from_this()] { self->finish(ConnectionState::Unknown); });
        return;
    }
    connection_->socket.async_connect(
        *target, [self = shared_from_this()](const boost::system::error_code &error) {
            self->connected(error);
        });
}

void ConnectionCheck::connected(const boost::system::error_code &error)
{
    if (finished_) {
        return;
    }
    if (error) {
        const bool refused = error == asio::error::connection_refused;
        finish(refused ? ConnectionState::Refused : ConnectionState::Unknown);
        return;
    }
    pool_->release(address_, std::move(connection_), std::nullopt, steadyNow());
    finish(ConnectionState::Established);
}

void ConnectionCheck::finish(ConnectionState state)
{
    if (finished_) {
        return;
    }
    const auto self = shared_from_this();
    cancel();
    onResult_(state);
}

void ConnectionCheck::cancel()
{
    finished_ = true;
    if (connection_) {
        boost::system::error_code ignored;
        connection_->socket.close(ignored);
    }
}

void ConnectionCheck::tick(Common::Time now)
{
    if (now >= deadline_) {
        finish(ConnectionState::Unknown);
    }
}

} // namespace LaburnumChute::Relay
