#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Readers/HttpClient.h"

namespace LaburnumChute::Readers {

/// A configuration version as stored by the configuration service.
struct PublishedVersion
{
    Common::ConfigurationNumber number = 0;
    /// JSON document.
    std::string content;
};

/// Long-polls the configuration service for new versions.
class ConfigurationReader
{
public:
    explicit ConfigurationReader(std::string address)
        : address_(std::move(address))
    {
    }

    /// Returns the newest version with a number greater than `after`, or nullopt if none appears
    /// within `wait`. The service counts each call as one read, regardless of the wait.
    asio::awaitable<Common::Result<std::optional<PublishedVersion>>>
    read(Common::ConfigurationNumber after, Common::milliseconds wait) const;

private:
    std::string address_;
};

} // namespace LaburnumChute::Readers
