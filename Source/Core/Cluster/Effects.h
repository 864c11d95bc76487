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

/// A member of the region became known, changed its state or was replaced.
struct MemberChanged
{
    MemberView member;
};

/// Another process lives under this instance's id with a higher incarnation. This one was paused or
/// cut off while the platform replaced it, and must not do work that may run only once any more. (A
/// fresh instance that hears this has a clock that runs behind its predecessor's: it may start
/// again with an incarnation above this one.)
struct SelfSuperseded
{
    Common::Incarnation by = 0;
};

/// This process was paused, so that what it believes of others may be old.
struct ResumedAfterPause
{
    Common::milliseconds pause{0};
};

/// Whether this version may be put in force is to be answered by configurationValidated().
struct ValidateConfiguration
{
    Common::ConfigurationNumber number = 0;
    std::string content;
};

/// This version is in force from now on.
struct ConfigurationAdopted
{
    Common::ConfigurationNumber number = 0;
    std::string content;
};

/// The version was judged invalid; the last good one stays in force.
struct ConfigurationRejected
{
    Common::ConfigurationNumber number = 0;
    std::string reason;
};

/// Alarm: two contents exist under one number. The first one that this instance met stays.
struct ConfigurationConflict
{
    Common::ConfigurationNumber number = 0;
    std::uint64_t keptHash = 0;
    std::uint64_t otherHash = 0;
    /// The instance that holds the other content; empty when the service gave it.
    Common::InstanceId holder;
};

/// This instance is a watcher: read the service for a version above the number, waiting there for
/// the given time, and report by configurationRead(), configurationUnchanged() or
/// configurationReadFailed(). Only one read is asked for at a time.
struct ReadConfiguration
{
    Common::ConfigurationNumber afterNumber = 0;
    Common::milliseconds wait{0};
};

/// This instance is no watcher any more: abandon the read, report nothing.
struct StopReadingConfiguration
{
};

/// A notice that was not known, or a newer version of one.
struct NoticeReceived
{
    Notice notice;
};

/// Another region's summary became known or newer.
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
