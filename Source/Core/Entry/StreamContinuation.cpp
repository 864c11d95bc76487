#include "Entry/StreamContinuation.h"

namespace LaburnumChute::Entry {

namespace {

constexpr std::string_view EventEnd = "\n\n";
/// The members before this one contain engine names and times, which differ between engines.
constexpr std::string_view ContentStart = "\"choices\"";

std::uint64_t contentHash(std::string_view event)
{
    const auto start = event.find(ContentStart);
    return Common::stableHash(start == std::string_view::npos ? event : event.substr(start));
}

} // namespace

Common::Result<std::string> StreamContinuation::feed(std::string_view events)
{
    std::string newEvents;
    while (!events.empty()) {
        const auto end = std::min(events.size(), events.find(EventEnd) + EventEnd.size());
        const auto event = events.substr(0, end);
        events.remove_prefix(end);
        const auto newToCaller = isNew(event);
        if (!newToCaller) {
            return tl::unexpected(newToCaller.error());
        }
        if (*newToCaller) {
            newEvents.append(event);
        }
    }
    return newEvents;
}

Common::Result<bool> StreamContinuation::isNew(std::string_view event)
{
    const auto hash = contentHash(event);
    const auto position = position_++;
    if (position >= forwardedHashes_.size()) {
        forwardedHashes_.push_back(hash);
        return true;
    }
    if (forwardedHashes_[position] != hash) {
        return Common::makeError(Common::ErrorCode::Conflict,
                                 "another engine generates another answer");
    }
    return false;
}

} // namespace LaburnumChute::Entry
