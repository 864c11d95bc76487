#pragma once

#include <string>
#include <variant>
#include <vector>

#include "Cluster/Messages.h"

namespace LaburnumChute::Cluster {

struct SendGossip
{
    Address to;
    GossipMessage message;
};

/// A member of the region was discovered, changed its state or was replaced.
struct MemberChanged
{
    MemberView member;
};

/// Another process runs under this instance's id with a higher incarnation. This process was paused
/// or partitioned while the platform replaced it, and must not do any more work that may run only
/// once. (A new instance that gets this has a clock behind its predecessor's: it may restart with
/// an incarnation above the reported one.)
struct SelfSuperseded
{
    Common::Incarnation by = 0;
};

/// This process was paused, so its view of the other members may be stale.
struct ResumedAfterPause
{
    Common::milliseconds pause{0};
};

/// Requests validation of a version; the result is passed to configurationValidated().
struct ValidateConfiguration
{
    Common::ConfigurationNumber number = 0;
    std::string content;
};

/// The version is now in force.
struct ConfigurationAdopted
{
    Common::ConfigurationNumber number = 0;
    std::string content;
};

/// The version is invalid; the last valid one stays in force.
struct ConfigurationRejected
{
    Common::ConfigurationNumber number = 0;
    std::string reason;
};

/// Alarm: two contents exist under the same number. The one that this instance saw first is kept.
struct ConfigurationConflict
{
    Common::ConfigurationNumber number = 0;
    std::uint64_t keptHash = 0;
    std::uint64_t otherHash = 0;
    /// The instance that holds the other content; empty if the service returned it.
    Common::InstanceId holder;
};

/// Requests a long-polling read of the service for a version above the number; this instance is a
/// watcher. The outcome is passed to configurationRead(), configurationUnchanged() or
/// configurationReadFailed(). At most one read is outstanding.
struct ReadConfiguration
{
    Common::ConfigurationNumber afterNumber = 0;
    Common::milliseconds wait{0};
};

/// This instance is no longer a watcher: cancel the read without reporting an outcome.
struct StopReadingConfiguration
{
};

/// A new notice, or a newer version of a known one.
struct NoticeReceived
{
    Notice notice;
};

/// A region's summary is new or was updated.
struct RegionChanged
{
    RegionSummary summary;
};

using Effect = std::variant<SendGossip, MemberChanged, SelfSuperseded, ResumedAfterPause,
                            ValidateConfiguration, ConfigurationAdopted, ConfigurationRejected,
                            ConfigurationConflict, ReadConfiguration, StopReadingConfiguration,
                            NoticeReceived, RegionChanged>;
using Effects = std::vector<Effect>;

} // namespace LaburnumChute::Cluster
