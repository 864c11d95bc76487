#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Readers/HttpClient.h"

namespace LaburnumChute::Readers {

/// A version as the configuration service holds it.
struct PublishedVersion
{
    Common::ConfigurationNumber number = 0;
    /// JSON text.
    std::string content;
};

/// Reads the configuration service.
class ConfigurationReader
{
public:
    explicit ConfigurationReader(std::string address)
        : address_(std::move(address))
    {
    }

    /// The newest version above the number; nothing when the service has none within the wait. Each
    /// call counts as one read at the service, however long it waits.
    asio::awaitable<Common::Result<std::optional<PublishedVersion>>>
    read(Common::ConfigurationNumber after, Common::milliseconds wait) const;

private:
    std::string address_;
};

} // namespace LaburnumChute::Readers
