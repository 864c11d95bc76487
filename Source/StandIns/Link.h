#pragma once

#include <cstdint>
#include <memory>

#include <nlohmann/json.hpp>

#include "Common/Common.h"

namespace LaburnumChute::StandIns {

/// One direction of a link between two places. All that goes this way shares its rate.
struct LinkDirection
{
    Common::Duration delay{};
    /// Zero for no limit.
    double megabitsPerSecond = 0;
    /// Nothing arrives. TCP bytes come when it ends, as a sender repeats them; datagrams are lost.
    bool held = false;

    /// When the last byte accepted so far will have been sent.
    Common::Time freeAt;
    std::uint64_t bytes = 0;

    /// Takes bytes onto the link; the time at which they arrive.
    Common::Time send(std::size_t count, Common::Time now);
    /// Time that bytes taken now would wait before they are sent.
    Common::Duration backlog(Common::Time now) const;
};

/// A link with the changes that a test makes:
/// {"delay_ms", "megabits": of both directions; "hold": "none" | "forward" | "back" | "both": a
/// partition, perhaps one-way; "cut": connections are reset and new ones refused}.
struct Link
{
    LinkDirection forward;
    LinkDirection back;
    bool cut = false;

    void change(const nlohmann::json &changes);
};

/// A link as one of its two ends uses it: what is forward for one is back for the other.
class LinkEnd
{
public:
    LinkEnd(std::shared_ptr<Link> link, bool reversed);

    LinkDirection &out() const
    {
        return reversed_ ? link_->back : link_->forward;
    }
    LinkDirection &in() const
    {
        return reversed_ ? link_->forward : link_->back;
    }
    bool cut() const
    {
        return link_->cut;
    }

private:
    std::shared_ptr<Link> link_;
    bool reversed_;
};

} // namespace LaburnumChute::StandIns
