#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Common/Common.h"
#include "Relay/OutboundPool.h"

namespace LaburnumChute::Relay {

enum class ConnectionState {
    Established,
    /// Nothing listens at the address.
    Refused,
    /// Neither was seen in time.
    Unknown,
};

/// Opens a connection to learn whether something listens at an address. An established one is added
/// to the pool, so that the next request to the address uses it.
class ConnectionCheck : public std::enable_shared_from_this<ConnectionCheck>
{
public:
    using ResultHandler = std::function<void(ConnectionState)>;

    /// @param onResult called once, not from within start(), unless the check is cancelled
    ConnectionCheck(std::shared_ptr<OutboundPool> pool, std::string address,
                    Common::Duration timeout, ResultHandler onResult);

    void start(Common::Time now);
    void tick(Common::Time now);
    /// Ends the check without a result.
    void cancel();

private:
    void connected(const boost::system::error_code &error);
    void finish(ConnectionState state);

    std::shared_ptr<OutboundPool> pool_;
    std::string address_;
    Common::Duration timeout_;
    ResultHandler onResult_;
    OutboundConnectionPtr connection_;
    Common::Time deadline_{};
    bool finished_ = false;
};

} // namespace LaburnumChute::Relay
