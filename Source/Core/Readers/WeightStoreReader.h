#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Readers/HttpClient.h"

namespace LaburnumChute::Readers {

struct WeightStoreLimits
{
    double loadsPerMinute = 0;
    double megabitsPerSecond = 0;
};

/// Reads the load limits of the weight store. Engines fetch the weights themselves.
class WeightStoreReader
{
public:
    explicit WeightStoreReader(std::string address)
        : address_(std::move(address))
    {
    }

    asio::awaitable<Common::Result<WeightStoreLimits>> readLimits() const;

private:
    std::string address_;
};

} // namespace LaburnumChute::Readers
