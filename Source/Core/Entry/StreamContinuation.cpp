#include "Entry/StreamContinuation.h"

namespace LaburnumChute::Entry {

namespace {

constexpr std::string_view EventEnd = "\n\n";
/// Before this member stand names and times of the engine, which differ between engines.
constexpr std::string_view ContentStart = "\"choices\"";

std::uint64_t contentHash(std::string_view event)
{
    const auto start = event.find(ContentStart);
    return Common::stableHash(start == std::string_view::npos ? event : event.substr(start));
}

} // namespace

Common::Result<std::string> StreamContinuation::feed(std::string_view events)
{
    std::string out;
    while (!events.empty()) {
        const auto end = std::min(events.size(), events.find(EventEnd) + EventEnd.size());
        const auto event = events.substr(0, end);
        events.remove_prefix(end);
        const auto fresh = isNew(event);
        if (!fresh) {
            return tl::unexpected(fresh.error());
        }
        if (*fresh) {
            out.append(event);
        }
    }
    return out;
}

Common::Result<bool> StreamContinuation::isNew(std::string_view event)
{
    const auto hash = contentHash(event);
    const auto position = position_++;
    if (position >= passed_.size()) {
        passed_.push_back(hash);
        return true;
    }
    if (passed_[position] != hash) {
        return Common::makeError(Common::ErrorCode::Conflict,
                                 "another engine generates another answer");
    }
    return false;
}

} // namespace LaburnumChute::Entry
