#include "Dispatch/OptionOverrides.h"

#include <charconv>
#include <cmath>
#include <optional>
#include <variant>

#include <fmt/format.h>

namespace LaburnumChute::Dispatch {

namespace {

using Field = std::variant<double DispatchOptions::*, int DispatchOptions::*,
                           std::int64_t DispatchOptions::*, std::size_t DispatchOptions::*,
                           milliseconds DispatchOptions::*, Duration DispatchOptions::*>;

struct Descriptor
{
    const char *name;
    Field field;
};

const Descriptor Descriptors[] = {
    {"prefill-rate", &DispatchOptions::prefillRate},
    {"first-event-floor", &DispatchOptions::firstEventFloor},
    {"read-share", &DispatchOptions::prefillFraction},
    {"notice-tokens", &DispatchOptions::noticeTokens},
    {"generation-weight", &DispatchOptions::generationWeight},
    {"disturbance-weight", &DispatchOptions::disturbanceWeight},
    {"delay-per-running", &DispatchOptions::delayPerRunning},
    {"copy-minimum-tokens", &DispatchOptions::copyMinimumTokens},
    {"copy-time", &DispatchOptions::copyTime},
    {"copy-time-between-regions", &DispatchOptions::copyTimeBetweenRegions},
    {"copy-cost", &DispatchOptions::copyCost},
    {"load-cost", &DispatchOptions::loadCost},
    {"missing-cost", &DispatchOptions::missingCost},
    {"home-tolerance", &DispatchOptions::preferredTolerance},
    {"cache-share", &DispatchOptions::cacheFraction},
    {"calm-share", &DispatchOptions::quotaThreshold},
    {"plain-queue-share", &DispatchOptions::plainQueueFraction},
    {"plain-queue-rounds", &DispatchOptions::plainQueuePerSlot},
    {"objective-share", &DispatchOptions::objectiveFraction},
    {"wait-share", &DispatchOptions::waitFraction},
    {"admission-share", &DispatchOptions::admissionFraction},
    {"priority-step", &DispatchOptions::priorityStep},
    {"look-ahead", &DispatchOptions::lookAhead},
    {"queue-limit", &DispatchOptions::queueLimit},
    {"retry-after-min", &DispatchOptions::retryAfterMin},
    {"retry-after-max", &DispatchOptions::retryAfterMax},
    {"retry-after-jitter", &DispatchOptions::retryAfterJitter},
    {"rest-first", &DispatchOptions::firstEjection},
    {"rest-max", &DispatchOptions::maxEjection},
    {"failures-in-row", &DispatchOptions::consecutiveFailures},
    {"error-weight", &DispatchOptions::errorWeight},
    {"silence-factor", &DispatchOptions::silenceFactor},
    {"silence-floor", &DispatchOptions::silenceFloor},
    {"shared-bound-use", &DispatchOptions::sharedBoundFraction},
    {"neighbours-known-after", &DispatchOptions::peersKnownAfter},
    {"region-round-trip", &DispatchOptions::regionRoundTrip},
    {"room-lifetime", &DispatchOptions::spareCapacityLifetime},
    {"spill-share", &DispatchOptions::spillFraction},
    {"spill-burst", &DispatchOptions::spillBurst},
    {"spill-memory", &DispatchOptions::spillAveragingTime},
};

const Descriptor *find(std::string_view name)
{
    for (const auto &descriptor : Descriptors) {
        if (name == descriptor.name) {
            return &descriptor;
        }
    }
    return nullptr;
}

/// Parses a finite number of at least 0.
std::optional<double> number(std::string_view text)
{
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool whole = result.ec == std::errc() && result.ptr == text.data() + text.size();
    if (!whole || !std::isfinite(value) || value < 0) {
        return std::nullopt;
    }
    return value;
}

void set(DispatchOptions &options, const Field &field, double value)
{
    struct Visitor
    {
        DispatchOptions &options;
        double value;

        void operator()(double DispatchOptions::*member) const
        {
            options.*member = value;
        }
        void operator()(int DispatchOptions::*member) const
        {
            options.*member = static_cast<int>(value);
        }
        void operator()(std::int64_t DispatchOptions::*member) const
        {
            options.*member = static_cast<std::int64_t>(value);
        }
        void operator()(std::size_t DispatchOptions::*member) const
        {
            options.*member = static_cast<std::size_t>(value);
        }
        void operator()(milliseconds DispatchOptions::*member) const
        {
            options.*member = milliseconds(static_cast<std::int64_t>(value));
        }
        void operator()(Duration DispatchOptions::*member) const
        {
            const std::chrono::duration<double, std::milli> time(value);
            options.*member = std::chrono::duration_cast<Duration>(time);
        }
    };
    std::visit(Visitor{options, value}, field);
}

Common::Result<void> applyEntry(DispatchOptions &options, std::string_view entry)
{
    const auto equals = entry.find('=');
    const auto *descriptor = find(entry.substr(0, equals));
    if (equals == std::string_view::npos || descriptor == nullptr) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 fmt::format("\"{}\": expected NAME=VALUE with one of the names {}",
                                             entry, fmt::join(overridableOptions(), ", ")));
    }
    const auto value = number(entry.substr(equals + 1));
    if (!value) {
        return Common::makeError(Common::ErrorCode::InvalidArgument,
                                 fmt::format("\"{}\": expected a number of at least 0", entry));
    }
    set(options, descriptor->field, *value);
    return {};
}

} // namespace

Common::Result<DispatchOptions> withOverrides(DispatchOptions options, std::string_view text)
{
    while (!text.empty()) {
        const auto comma = text.find(',');
        if (auto applied = applyEntry(options, text.substr(0, comma)); !applied) {
            return tl::unexpected(applied.error());
        }
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return options;
}

std::vector<std::string> overridableOptions()
{
    std::vector<std::string> names;
    for (const auto &descriptor : Descriptors) {
        names.emplace_back(descriptor.name);
    }
    return names;
}

} // namespace LaburnumChute::Dispatch
