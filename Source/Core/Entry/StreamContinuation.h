#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Common.h"

namespace LaburnumChute::Entry {

/// Lets another engine continue a stream whose engine has died.
///
/// What goes wrong without it: an engine goes down in mid-stream and the caller, who has half an
/// answer, gets an error. The other engine is given the whole request anew; what it generates is
/// compared, event by event, with what the caller has, and dropped while it is the same. From then
/// on its events are passed on, so that the caller sees one answer without a gap. Engines that
/// sample differently generate something else; then the stream has to be given up, since the halves
/// do not belong together.
class StreamContinuation
{
public:
    /// Takes whole events and returns those that are new to the caller. Fails with Conflict when a
    /// repeated event differs from the one that the caller has.
    Common::Result<std::string> feed(std::string_view events);

    /// Another engine begins from the start.
    void restart()
    {
        position_ = 0;
    }
    /// Events that the caller has.
    std::size_t passed() const
    {
        return passed_.size();
    }

private:
    Common::Result<bool> isNew(std::string_view event);

    /// What each event said, as a hash, in order.
    std::vector<std::uint64_t> passed_;
    std::size_t position_ = 0;
};

} // namespace LaburnumChute::Entry
