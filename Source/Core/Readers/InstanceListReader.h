#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "Common/Common.h"
#include "Readers/HttpClient.h"
#include "Readers/InstanceList.h"

namespace LaburnumChute::Readers {

/// Reads the instance list from the viewpoint of one instance: the addresses in it are those at
/// which the viewer can reach the others.
class InstanceListReader
{
public:
    InstanceListReader(std::string address, Common::InstanceId viewer)
        : address_(std::move(address))
        , viewer_(std::move(viewer))
    {
    }

    asio::awaitable<Common::Result<InstanceList>> read() const;

private:
    std::string address_;
    Common::InstanceId viewer_;
};

} // namespace LaburnumChute::Readers
