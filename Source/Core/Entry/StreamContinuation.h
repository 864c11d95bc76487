#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Entry {

/// Continues a stream on another engine after its engine has failed, so that the caller does not
/// get an error in the middle of the response.
///
/// The new engine receives the whole request again. Its events are compared one by one with those
/// that the caller already has and discarded while they are equal; later events are forwarded, so
/// that the caller sees one response without a gap. An engine that samples differently generates
/// other text. The stream then fails, since the two parts do not belong together.
class StreamContinuation
{
public:
    /// Takes whole events and returns those that the caller does not have yet. Fails with Conflict
    /// if a repeated event differs from the one that the caller has.
    Common::Result<std::string> feed(std::string_view events);

    /// Must be called before feeding the events of another engine, which start from the beginning.
    void restart()
    {
        position_ = 0;
    }
    /// Number of events forwarded to the caller.
    std::size_t forwardedEvents() const
    {
        return forwardedHashes_.size();
    }

    /// Memory of what was forwarded.
    std::size_t bytes() const
    {
        return forwardedHashes_.size() * sizeof(forwardedHashes_.front());
    }

private:
    Common::Result<bool> isNew(std::string_view event);

    /// Content hashes of the forwarded events, in order.
    std::vector<std::uint64_t> forwardedHashes_;
    std::size_t position_ = 0;
};

} // namespace LaburnumChute::Entry
