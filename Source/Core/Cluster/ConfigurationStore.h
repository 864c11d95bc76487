#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "Cluster/Effects.h"
#include "Common/Error.h"

namespace LaburnumChute::Cluster {

/// The version in force, the one being validated, and what is known about others. Every path by
/// which a version reaches this instance ends in offer(), which enforces these rules:
/// - the number in force only grows; lower ones are ignored, whether they come from a stale
/// service,
///   one restored from a backup, or a peer on the other side of a partition;
/// - the first content seen under a number is kept, and a different content under it raises an
///   alarm;
/// - an invalid version is not requested again, and the last valid one stays in force.
class ConfigurationStore
{
public:
    explicit ConfigurationStore(std::size_t historyBytes);

    /// Offers a complete version from the service (no holder) or from a peer.
    void offer(const ConfigurationVersion &version, const Common::InstanceId &holder,
               Effects &effects);
    /// Checks a peer's version against the content first seen under its number.
    void compare(const ConfigurationDigest &digest, const Common::InstanceId &holder,
                 Effects &effects);
    void validated(Common::ConfigurationNumber number, const Common::Result<void> &result,
                   Effects &effects);
    /// Ends the join hold, during which offers are stored but no version is adopted. A new instance
    /// has no version, so a stale service could make it adopt an older one than its peers have. The
    /// hold is released once its peers have been heard.
    void release(Effects &effects);
    bool held() const
    {
        return held_;
    }

    /// True if the version should be fetched: it is newer than the one in force and any pending
    /// one, and neither rejected nor in conflict.
    bool isNeeded(const ConfigurationDigest &digest) const;
    const ConfigurationVersion &current() const
    {
        return current_;
    }
    ConfigurationDigest digest() const
    {
        return digest_;
    }
    /// The highest number that is in force, being validated, queued for validation or rejected; the
    /// service is read for versions above it.
    Common::ConfigurationNumber newestSeen() const;
    /// The content of the current or a recent version; null if it is not kept.
    const std::string *content(const ConfigurationDigest &digest) const;
    std::uint64_t staleOffers() const
    {
        return staleOffers_;
    }
    const std::set<Common::ConfigurationNumber> &conflicts() const
    {
        return conflictNumbers_;
    }

private:
    struct StoredVersion
    {
        ConfigurationDigest digest;
        std::string content;
    };

    void checkHash(const ConfigurationDigest &digest, const Common::InstanceId &holder,
                   Effects &effects);
    void recordHash(const ConfigurationDigest &digest);
    void validateNext(Effects &effects);
    void adopt(StoredVersion version, Effects &effects);

    std::size_t historyBytes_;
    bool held_ = true;
    ConfigurationVersion current_;
    ConfigurationDigest digest_;
    std::optional<StoredVersion> validating_;
    /// Offered while another version was being validated or during the join hold.
    std::optional<StoredVersion> next_;
    std::map<Common::ConfigurationNumber, std::uint64_t> hashes_;
    std::map<Common::ConfigurationNumber, std::uint64_t> rejected_;
    std::set<std::pair<Common::ConfigurationNumber, std::uint64_t>> reportedConflicts_;
    std::set<Common::ConfigurationNumber> conflictNumbers_;
    std::deque<StoredVersion> history_;
    std::uint64_t staleOffers_ = 0;
};

} // namespace LaburnumChute::Cluster
