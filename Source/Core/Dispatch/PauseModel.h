#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include <nlohmann/json.hpp>

#include "Dispatch/Facts.h"
#include "Dispatch/LoadReports.h"

namespace LaburnumChute::Dispatch {

/// Classes of prompts by tokens to prefill: none that is worth noticing, then by powers of two.
inline constexpr std::size_t PauseClasses = 7;

std::size_t pauseClass(double prefillTokens);

/// Prompts that are or were recently prefilled on one engine.
class RecentPrompts
{
public:
    /// Records a prompt of any instance.
    /// @param until when it is expected to have been prefilled
    void began(std::int64_t prefillTokens, Time sentAt, Time until);
    /// Class of the largest prompt that has been prefilled since, apart from the request itself.
    /// @param sentAt when the request was sent
    std::size_t largest(Time since, Time sentAt) const;

private:
    struct Prompt
    {
        Time sentAt{};
        Time until{};
    };
    /// The last one of each class.
    std::array<Prompt, PauseClasses> last_{};
};

struct PauseCount
{
    double streams = 0;
    double paused = 0;
};
using PauseCounts = std::array<PauseCount, PauseClasses>;

/// Share of a service's streams that are paused for longer than their callers allow, by the largest
/// prompt that their engine prefills meanwhile.
///
/// Load pattern: engines that prefill in large chunks between the tokens of their streams. How long
/// an event then takes depends on sizes that engines do not report, so ended streams are counted.
class PauseModel
{
public:
    /// Records a stream of this instance that has ended.
    void ended(std::size_t largestPrompt, bool paused, Time now);
    /// Replaces what another instance of the region counted.
    void learn(const InstanceId &instance, const PauseReport &report, Time now);
    /// Removes the counts of instances that are not in the list.
    void keep(const std::vector<InstanceId> &instances);
    PauseReport report(Time now) const;

    /// Recomputes the shares if there are new counts.
    void refresh(Time now);
    /// Whether prompts are known to cause pauses. All shares are 0 otherwise.
    bool active() const
    {
        return active_;
    }
    /// Additional share of streams that are paused while the tokens are prefilled on their engine.
    double share(double prefillTokens) const;
    /// Mean of the shares over the streams that were beside a prompt.
    double meanShare() const
    {
        return active_ ? meanShare_ : 0;
    }
    nlohmann::json dump() const;

private:
    struct Counted
    {
        PauseCounts counts{};
        Time at{};

        PauseCounts decayed(Time now) const;
    };

    std::vector<PauseCounts> countsOfOthers(Time now) const;
    void update(const PauseCounts &sum, bool certain);

    Counted own_;
    std::map<InstanceId, Counted> others_;
    PauseCounts sum_{};
    std::array<double, PauseClasses> shares_{};
    double meanShare_ = 0;
    bool active_ = false;
    bool changed_ = false;
    Time refreshedAt_{};
};

/// The models of all services.
class PauseModels
{
public:
    PauseModel &of(const ServiceName &service);
    /// Applies a load report of another instance of the region.
    void learn(const InstanceId &instance, const std::vector<PauseReport> &reports, Time now);
    void keep(const std::vector<InstanceId> &instances);
    std::vector<PauseReport> reports(Time now) const;

private:
    struct Entry
    {
        std::uint32_t id = 0;
        PauseModel model;
    };

    std::map<ServiceName, Entry> models_;
};

} // namespace LaburnumChute::Dispatch
