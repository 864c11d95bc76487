#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

#include "Dispatch/Dispatch.h"

namespace LaburnumChute::Dispatch {

inline constexpr milliseconds Step{5};
inline constexpr milliseconds ReportInterval{250};
inline constexpr milliseconds DigestInterval{500};
/// Number of peers that receive a load report.
inline constexpr std::size_t Fanout = 16;
inline constexpr milliseconds OneWayInRegion{2};
inline constexpr milliseconds OneWayBetweenRegions{60};
/// Time that an answer takes, and time after which the crashing request ends its engine.
inline constexpr milliseconds AnswerTime{700};
inline constexpr milliseconds CrashTime{100};
/// A crashed engine returns under a new id at its address; the record of the old one expires later.
inline constexpr milliseconds RestartTime{1300};
inline constexpr milliseconds RecordExpiry{3600};
/// Time after which an instance knows that it does not hear from another one.
inline constexpr milliseconds CutNoticeTime{1500};
/// Time until an answer begins, and between its events.
inline constexpr milliseconds BeginTime{150};
inline constexpr milliseconds EventInterval{100};
inline constexpr seconds StableTime{5};
inline constexpr int Slots = 64;
inline constexpr std::uint64_t CrashingFingerprint = 4711;
inline constexpr const char *ModelName = "model";

/// Requests that are all unlike crash engines, since they have a part of their prompts in common.
struct PromptSetting
{
    std::size_t badParts = 1;
    /// Parts that ordinary requests have between the first part and their own.
    std::size_t soundParts = 4;
    /// Answers have no length, and nothing shows whether their engine ended with them.
    bool answersWithoutLength = false;
};

struct CrashSetting
{
    std::size_t regions = 2;
    std::size_t instancesPerRegion = 4;
    std::size_t enginesPerRegion = 4;
    /// Ordinary requests per second and engine.
    double ordinaryPerEngine = 50;
    /// Interval between the arrivals of the crashing request, at any instance of any region.
    milliseconds crashingInterval{300};
    /// Copies that arrive at once, at different instances.
    int copies = 1;
    int maxRuns = 2;
    /// Each repeat of the crashing request has another query.
    bool queryVaries = false;
    std::optional<PromptSetting> prompts;
    /// Interval at which an engine crashes for no reason.
    std::optional<milliseconds> otherCrashes;
    /// All instances are restarted at this time and know nothing of the crashes before.
    std::optional<milliseconds> restartAllAt;
    /// From this time on, instances of different regions do not hear from each other.
    std::optional<milliseconds> regionsCutAt;
    /// From this time on, no instance hears from any other.
    std::optional<milliseconds> allCutAt;
};

struct CrashOutcome
{
    int crashes = 0;
    /// Times at which the crashing request reached an engine.
    std::vector<Time> arrivals;
    std::vector<Time> crashTimes;
    int ordinary = 0;
    int ordinaryQuarantined = 0;

    /// A bad part of prompts: when its requests reached engines, and when engines crashed.
    struct BadPart
    {
        std::vector<Time> arrivals;
        std::vector<Time> crashes;
    };
    std::map<std::size_t, BadPart> badParts;
    /// An ordinary request: when it arrived, and whether its answer began.
    struct Sound
    {
        Time at{};
        bool begun = false;
    };
    std::map<CallId, Sound> sound;

    /// The users' rule allows three arrivals later than 5 s after the fifth crash.
    std::ptrdiff_t mostLateArrivalsOfAPart() const
    {
        std::ptrdiff_t most = 0;
        for (const auto &[index, part] : badParts) {
            if (part.crashes.size() >= 5) {
                const auto since = part.crashes[4] + StableTime;
                most = std::max(most, std::count_if(part.arrivals.begin(), part.arrivals.end(),
                                                    [since](Time at) { return at > since; }));
            }
        }
        return most;
    }
    /// Share of the ordinary requests of some time whose answers began.
    double begunShare(Time from, Time until) const
    {
        int asked = 0;
        int begun = 0;
        for (const auto &[call, request] : sound) {
            const bool counts = request.at >= from && request.at < until;
            asked += counts ? 1 : 0;
            begun += counts && request.begun ? 1 : 0;
        }
        return asked == 0 ? 1 : static_cast<double>(begun) / asked;
    }
    /// Time from which ordinary requests have to be served again.
    std::optional<Time> settledAt() const
    {
        std::optional<Time> settled;
        for (const auto &[index, part] : badParts) {
            if (!part.crashes.empty()) {
                const auto last = part.crashes[std::min<std::size_t>(part.crashes.size(), 5) - 1];
                settled = std::max(settled.value_or(Time()), last + 2 * StableTime);
            }
        }
        return settled;
    }

    /// The users' rule allows three arrivals later than 5 s after the third crash.
    std::ptrdiff_t lateArrivals() const
    {
        if (crashTimes.size() < 3) {
            return 0;
        }
        const auto since = crashTimes[2] + seconds(5);
        return std::count_if(arrivals.begin(), arrivals.end(),
                             [since](Time at) { return at > since; });
    }
};

inline constexpr seconds CrashesBegin{2};

} // namespace LaburnumChute::Dispatch
