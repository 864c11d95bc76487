#include "StandIns/Link.h"

#include <algorithm>
#include <string>

namespace LaburnumChute::StandIns {

Common::Time LinkDirection::send(std::size_t count, Common::Time now)
{
    bytes += count;
    freeAt = std::max(freeAt, now);
    if (megabitsPerSecond > 0) {
        const std::chrono::duration<double> time(static_cast<double>(count) * 8
                                                 / (megabitsPerSecond * 1e6));
        freeAt += std::chrono::duration_cast<Common::Duration>(time);
    }
    return freeAt + delay;
}

Common::Duration LinkDirection::backlog(Common::Time now) const
{
    return std::max(freeAt - now, Common::Duration());
}

void Link::change(const nlohmann::json &changes)
{
    if (changes.contains("delay_ms")) {
        const std::chrono::duration<double, std::milli> delay(changes.at("delay_ms").get<double>());
        forward.delay = std::chrono::duration_cast<Common::Duration>(delay);
        back.delay = forward.delay;
    }
    forward.megabitsPerSecond = changes.value("megabits", forward.megabitsPerSecond);
    back.megabitsPerSecond = changes.value("megabits", back.megabitsPerSecond);
    cut = changes.value("cut", cut);
    if (changes.contains("hold")) {
        const auto hold = changes.at("hold").get<std::string>();
        forward.held = hold == "forward" || hold == "both";
        back.held = hold == "back" || hold == "both";
    }
}

LinkEnd::LinkEnd(std::shared_ptr<Link> link, bool reversed)
    : link_(std::move(link))
    , reversed_(reversed)
{
}

} // namespace LaburnumChute::StandIns
